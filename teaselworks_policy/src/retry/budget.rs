//! Retry budgets: a ratio of requests, for each workspace and overall, with a small burst.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::Name;

/// Time in which an unused budget fills up without requests.
pub const REFILL: Duration = Duration::from_secs(60);
/// Workspaces held before idle ones are looked for.
const FIRST_SWEEP: usize = 64;

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries that one workspace may save up.
    pub workspace_burst: f64,
    /// Retries that all workspaces together may save up.
    pub overall_burst: f64,
}

/// Retries left, at a time.
#[derive(Clone, Copy, Debug)]
struct Balance {
    retries: f64,
    updated: Duration,
}

/// Retries left to each workspace and overall.
///
/// What goes wrong without it: when upstreams fail, every request is sent several times, and the
/// load that made them fail is multiplied; it shows as retries that keep pace with requests. A
/// retry is therefore paid for by earlier requests, of the workspace and of all together.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    overall: Balance,
    workspaces: HashMap<Name, Balance>,
    sweep_at: usize,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            overall: Balance { retries: settings.overall_burst, updated: Duration::ZERO },
            workspaces: HashMap::new(),
            sweep_at: FIRST_SWEEP,
        }
    }

    /// Changes the settings; balances above a smaller burst are cut at their next use.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Returns the number of workspaces whose balance is held.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Tells whether no workspace's balance is held.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Earns the ratio for a request; its retries do not earn.
    pub fn on_request(&mut self, now: Duration, workspace: &Name) {
        let BudgetSettings { ratio, workspace_burst, overall_burst } = self.settings;
        self.overall.fill(now, overall_burst);
        self.overall.earn(ratio, overall_burst);
        // A workspace without a balance has a full one and nothing to earn.
        let Some(balance) = self.workspaces.get_mut(workspace) else { return };
        balance.fill(now, workspace_burst);
        balance.earn(ratio, workspace_burst);
    }

    /// Takes one retry from the workspace's and the overall budget; false, and nothing is taken,
    /// when either is spent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::retry::budget::{BudgetSettings, RetryBudget};
    ///
    /// let settings = BudgetSettings { ratio: 0.1, workspace_burst: 1.0, overall_burst: 10.0 };
    /// let mut budget = RetryBudget::new(settings);
    /// assert!(budget.try_take(Duration::ZERO, &"school".into()));
    /// assert!(!budget.try_take(Duration::ZERO, &"school".into()));
    /// ```
    pub fn try_take(&mut self, now: Duration, workspace: &Name) -> bool {
        self.try_take_above(now, workspace, 0.0)
    }

    /// As [`RetryBudget::try_take`], but leaves `kept_share` of both full budgets to others.
    pub fn try_take_above(&mut self, now: Duration, workspace: &Name, kept_share: f64) -> bool {
        let BudgetSettings { workspace_burst, overall_burst, .. } = self.settings;
        self.overall.fill(now, overall_burst);
        let full = Balance { retries: workspace_burst, updated: now };
        let mut balance = self.workspaces.get(workspace).copied().unwrap_or(full);
        balance.fill(now, workspace_burst);
        let overall_least = 1.0 + overall_burst * kept_share;
        let least = 1.0 + workspace_burst * kept_share;
        if self.overall.retries < overall_least || balance.retries < least {
            return false;
        }
        self.overall.retries -= 1.0;
        balance.retries -= 1.0;
        self.sweep(now);
        self.workspaces.insert(workspace.clone(), balance);
        true
    }

    /// Drops full balances, now and then: a workspace without one counts as full.
    fn sweep(&mut self, now: Duration) {
        if self.workspaces.len() < self.sweep_at {
            return;
        }
        let burst = self.settings.workspace_burst;
        self.workspaces.retain(|_, balance| {
            balance.fill(now, burst);
            balance.retries < burst
        });
        self.sweep_at = FIRST_SWEEP.max(self.workspaces.len() * 2);
    }
}

impl Balance {
    fn fill(&mut self, now: Duration, burst: f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.earn(burst * elapsed / REFILL.as_secs_f64(), burst);
    }

    fn earn(&mut self, retries: f64, burst: f64) {
        self.retries = (self.retries + retries).min(burst);
    }
}
