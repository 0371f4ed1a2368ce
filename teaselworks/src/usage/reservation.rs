//! A request's claim on its workspace's budget.

use std::sync::Arc;

use teaselworks_policy::budget::BudgetPeriod;
use teaselworks_policy::name::Name;

use super::service::UsageService;

/// Tokens reserved for one request; dropped unsettled, all of them count as used.
///
/// A request whose end nobody saw may have run to its estimate. Counting that keeps the budget
/// from being overspent; the workspace is never charged by it, only by usage records.
#[derive(Debug)]
pub struct Reservation {
    hold: Option<Hold>,
}

/// What a reservation holds of a budget.
#[derive(Debug)]
struct Hold {
    service: Arc<UsageService>,
    workspace: Name,
    period: BudgetPeriod,
    estimate_tokens: u64,
}

impl Reservation {
    /// Makes the reservation of a workspace without a budget.
    pub(super) fn unlimited() -> Self {
        Self { hold: None }
    }

    /// Makes a reservation that the budget's slice already counts.
    pub(super) fn held(
        service: Arc<UsageService>,
        workspace: Name,
        period: BudgetPeriod,
        estimate_tokens: u64,
    ) -> Self {
        Self { hold: Some(Hold { service, workspace, period, estimate_tokens }) }
    }

    /// Replaces the estimate by the tokens that all attempts used; zero when none ran.
    pub fn settle(mut self, used_tokens: u64) {
        self.finish(Some(used_tokens));
    }

    fn finish(&mut self, used_tokens: Option<u64>) {
        let Some(hold) = self.hold.take() else {
            return;
        };
        let Hold { service, workspace, period, estimate_tokens } = hold;
        let used_tokens = used_tokens.unwrap_or(estimate_tokens);
        service.budgets().settle(&workspace, period, estimate_tokens, used_tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.finish(None);
    }
}
