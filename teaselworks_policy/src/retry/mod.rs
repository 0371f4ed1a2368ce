//! Whether a request whose attempt failed is sent to another upstream.

mod budget;
mod decision;

pub use self::budget::{BudgetSettings, RetryBudget};
pub use self::decision::{AttemptHistory, Failure, RetryDecision, RetryReason, decide_retry};
