//! Orders to engines: what to load next, whose role to change, and until when a holder may order
//! at all.

mod holder;
mod pace;
mod plan;
mod roles;

pub use holder::{HolderTerm, HolderTiming, ORDER_TIMEOUT, ReleaseTerm};
pub use pace::round_interval;
pub use plan::{
    Goal, LONGEST_LOAD, ModelGoal, Order, OrderKind, OrderOutcome, Release, Rollout, Weights,
};
pub use roles::RELEASE_TIME;
