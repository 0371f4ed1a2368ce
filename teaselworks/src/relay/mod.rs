//! Forwards the requests of callers to upstreams and streams the answers back.

mod attempt;
mod body;
mod caller;
mod caller_connection;
mod connection_pool;
mod event_splitter;
mod in_flight;
mod io;
mod request;
mod request_progress;
mod request_state;
mod serve;
mod shared;
mod stream;
mod upstream_connection;

pub use self::caller::{CallerPort, OpenCallerConnections};
pub use self::connection_pool::ConnectionPool;
pub use self::event_splitter::EventSplitter;
pub use self::shared::Shared;
