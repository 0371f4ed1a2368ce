//! Forwards the requests of callers to upstreams and streams the answers back.

mod attempt;
mod body;
mod caller;
mod caller_connection;
mod connection_pool;
mod crashes;
mod dispatch;
mod ended_requests;
mod event_splitter;
mod event_stream;
mod forwarded;
mod in_flight;
mod io;
mod load_exchange;
mod open_connections;
mod origin;
mod part_change;
mod request;
mod request_progress;
mod request_state;
mod serve;
mod shared;
mod silence;
mod stream;
mod stream_origins;
mod upstream_connection;
mod write_gate;

pub use self::body::{OutgoingBody, empty_body};
pub use self::caller::CallerPort;
pub use self::connection_pool::ConnectionPool;
pub use self::event_splitter::{EventSplitter, SplitError};
pub use self::forwarded::serve_forwarded;
pub use self::open_connections::OpenCallerConnections;
pub use self::part_change::PartChange;
pub use self::shared::Shared;
pub use self::write_gate::{GatedStream, WriteGate};
