//! Test doubles for the platform's store, model engines and services, a fault-injecting TCP proxy,
//! and fleets of real router processes. Used by the integration tests, the soak test and the demo.

pub mod caller;
pub mod configuration;
pub mod early;
pub mod endless;
pub mod engine;
pub mod fleet;
pub mod links;
pub mod message;
pub mod port;
pub mod program;
pub mod proxy;
pub mod router;
pub mod soak;
pub mod store;
pub mod stream_fleet;
pub mod upstream;
