//! Chooses the upstream that a request is sent to, or refuses the request.

mod admission;
mod choice;
mod cold;
mod detour;
mod narrow;
mod prompt;
mod rendezvous;
mod request;
mod retry_after;
mod scan;

pub use self::choice::place;
pub(crate) use self::choice::try_place;
pub use self::detour::Detours;
pub use self::prompt::{Prompt, PromptPart};
pub use self::rendezvous::{hash_upstream_id, rendezvous_score};
pub(crate) use self::request::Refused;
pub use self::request::{Placement, PlacementReason, PlacementRequest, PlacementSettings};
pub use self::retry_after::RetryAfterSchedule;
