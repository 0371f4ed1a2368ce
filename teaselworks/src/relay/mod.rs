//! Carries requests of callers to upstreams and their answers back.

mod attempt;
mod body;
mod caller;
mod caller_connection;
mod connection_pool;
mod events;
mod in_flight;
mod io;
mod outcome;
mod request;
mod request_state;
mod serve;
mod shared;
mod stream;
mod upstream_connection;

pub use self::caller::{CallerPort, OpenConnections};
pub use self::connection_pool::ConnectionPool;
pub use self::events::EventSplitter;
pub use self::shared::Shared;
