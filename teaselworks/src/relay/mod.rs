//! Forwards the requests of callers to upstreams and streams the answers back.

mod attempt;
mod body;
mod caller;
mod caller_connection;
mod connections;
mod event_splitter;
mod in_flight;
mod io;
mod request;
mod request_progress;
mod serve;
mod serving;
mod shared;
mod stream;
mod upstream_connection;

pub use self::caller::{CallerPort, OpenCallerConnections};
pub use self::connections::Connections;
pub use self::event_splitter::EventSplitter;
pub use self::shared::Shared;
