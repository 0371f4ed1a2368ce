//! What entry routers ask of the owner of a workspace's budget.

use serde::{Deserialize, Serialize};

use super::limit::{BudgetLimit, BudgetPeriod};
use crate::name::Name;

/// Asks for tokens of a workspace's budget, or gives some back.
///
/// It is sent at most once: repeated after a lost answer, tokens given back would be added twice.
/// What a lost message asked for or gave back stays unused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedAsk", from = "PackedAsk")]
pub struct BudgetAsk {
    /// Workspace.
    pub workspace: Name,
    /// Period that the tokens are for.
    pub period: BudgetPeriod,
    /// Size of the budget in tokens, by the configuration in force at the asker.
    pub budget_tokens: u64,
    /// Tokens wanted at once.
    pub need_tokens: u64,
    /// Tokens that will probably be wanted soon.
    pub ahead_tokens: u64,
    /// Tokens given back.
    pub returned_tokens: u64,
    /// Tokens used since the last message.
    pub used_tokens: u64,
}

/// Answer to a [`BudgetAsk`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum BudgetGrant {
    /// Tokens that the asker may use, at least as many as it needs.
    Granted(u64),
    /// The budget has not as many left.
    Spent,
    /// The platform did not answer, and what was drawn ahead does not suffice.
    Unavailable,
}

impl BudgetAsk {
    /// Returns the budget's size and period.
    pub fn limit(&self) -> BudgetLimit {
        BudgetLimit { tokens: self.budget_tokens, period_ms: self.period.length_ms }
    }
}

#[derive(Clone, Serialize, Deserialize)]
struct PackedAsk(Name, BudgetPeriod, u64, u64, u64, u64, u64);

impl From<BudgetAsk> for PackedAsk {
    fn from(ask: BudgetAsk) -> Self {
        Self(
            ask.workspace,
            ask.period,
            ask.budget_tokens,
            ask.need_tokens,
            ask.ahead_tokens,
            ask.returned_tokens,
            ask.used_tokens,
        )
    }
}

impl From<PackedAsk> for BudgetAsk {
    fn from(packed: PackedAsk) -> Self {
        Self {
            workspace: packed.0,
            period: packed.1,
            budget_tokens: packed.2,
            need_tokens: packed.3,
            ahead_tokens: packed.4,
            returned_tokens: packed.5,
            used_tokens: packed.6,
        }
    }
}
