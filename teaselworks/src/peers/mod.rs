//! What routers ask each other: what the store said to the one that is asked.

mod client;
mod error;
pub mod message;
mod server;

pub use self::client::Peer;
pub use self::error::PeerError;
pub use self::message::{PeerQuery, PeerResponse};
pub use self::server::serve;
