//! The kernel: services register under a name, find each other by it, and stop in order.

mod registry;
mod shutdown;

pub use registry::{Registry, ServiceError, ServiceName};
pub use shutdown::{Shutdown, ShutdownPhase};
