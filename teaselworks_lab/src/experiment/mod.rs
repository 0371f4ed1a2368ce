//! Drives the decision code with seeded workloads over fakes of engines and links.

mod candidates;
pub mod design;
mod engine;
pub mod fleet;
pub mod report;
mod router;
mod sizes;
mod trial;
pub mod workload;

pub use router::state_kb;
