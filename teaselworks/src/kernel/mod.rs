//! Infrastructure shared by all services: a registry to look services up by name, and the phases of
//! a planned stop.

mod registry;
mod shutdown;

pub use registry::{ServiceError, ServiceName, ServiceRegistry};
pub use shutdown::{Shutdown, ShutdownPhase};
