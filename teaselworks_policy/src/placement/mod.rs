//! Which upstream a request is sent to.

mod choice;
mod prompt;
mod rendezvous;

pub use self::choice::{Demand, Placement, PlacementSettings, Reason, place};
pub use self::prompt::{Part, Prompt};
pub use self::rendezvous::score;
