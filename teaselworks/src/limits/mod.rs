//! Limits of workspaces over the fleet: what this router grants itself, asks for and lends.

mod ask;
mod lending;
mod message;
mod meters;
mod ownership;
mod permit;
mod service;

pub use permit::HeldPermit;
pub use service::{LIMITS, LimitsParts, LimitsService, PeerCall};
