//! Small stand-ins for the platform, engines and services, a fault-injecting proxy, and a fleet of
//! real router processes, for tests and the demonstration.

pub mod caller;
pub mod configuration;
pub mod engine;
pub mod fleet;
pub mod message;
pub mod port;
pub mod program;
pub mod proxy;
pub mod router;
pub mod soak;
pub mod store;
pub mod upstream;
