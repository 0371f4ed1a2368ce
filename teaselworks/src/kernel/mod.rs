//! Infrastructure shared by all services: a registry to look services up by name, the phases of a
//! planned stop, and the times at which the event loop waited.

mod registry;
mod shutdown;
mod wakeups;

pub use registry::{ServiceError, ServiceName, ServiceRegistry};
pub use shutdown::{Shutdown, ShutdownPhase};
pub use wakeups::{Wakeups, block_signals};
