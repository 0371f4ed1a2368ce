//! Budgets: tokens that a workspace may use in a period, drawn by bounded reservations.
//!
//! The owner of a workspace draws tokens from the platform ahead of need and grants them to entry
//! routers, which reserve from them for their requests.

mod limit;
mod message;
mod slices;
mod value;
mod vault;

pub use limit::{BudgetLimit, BudgetPeriod};
pub use message::{BudgetAsk, BudgetGrant};
pub use slices::{ReserveOutcome, Slices};
pub use value::{BudgetValue, Drawn};
pub use vault::{BudgetOutcome, BudgetReading, BudgetStep, BudgetWrite, DRAWN_AHEAD, Vault};
