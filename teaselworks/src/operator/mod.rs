//! The operators' port: health, readiness, metrics, status and what the services add.

mod server;
mod status;

pub use server::{OperatorParts, routes};
pub use status::{RouterStatus, Status, UpstreamStatus};
