//! Retries: whether a request whose attempt failed is sent to another upstream, and the budget that
//! limits how often that happens.

mod budget;
mod decision;
mod excess;

pub use self::budget::{BudgetReading, BudgetSettings, RetryBudget, SlackShare};
pub use self::decision::{AttemptHistory, Decision, Failure, RetryReason, decide_retry};
pub use self::excess::BudgetExcess;
