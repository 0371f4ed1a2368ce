//! Counting of use and budgets: what each workspace used, by model and adapter.

mod budget_store;
mod budgets;
mod clock;
mod fleet;
mod message;
mod meters;
mod parts;
mod recorded;
mod reservation;
mod routes;
mod runner;
mod seen;
mod service;
mod slots;
mod witness;

pub use budget_store::{BudgetStore, ReadBudget, ReadBudgets, WriteBudget};
pub use fleet::{fleet_of, watched_in};
pub use parts::{FleetSource, Later, PeerCall, UsageParts, WatchedSource};
pub use reservation::Reservation;
pub use routes::{UseReport, WorkspaceRow, routes};
pub use service::{USAGE, UsageService};
pub use slots::{ReadMonth, ReadSlot, Slots, WriteSlot};
pub use witness::{Watched, Witness};
