//! Queries between routers: what the queried router has read from the store, and what the routers
//! observed of upstreams.

mod client;
mod error;
pub mod message;
mod server;

pub use self::client::PeerClient;
pub use self::error::PeerError;
pub use self::message::{PeerQuery, PeerResponse};
pub use self::server::serve;
