//! The router process: builds its services, serves, and stops in order.

mod control;
mod error;
mod fleet;
mod limits;
mod orders;
mod port;
mod rate;
mod serve;
mod services;
mod stop;

pub use error::StartError;
pub use fleet::FleetView;
pub use port::Port;
pub use serve::run;
pub use stop::planned_stop;
