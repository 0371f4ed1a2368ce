//! Errors of queries to other routers.

use std::fmt;

/// Error of a query to another router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// The TCP connection could not be opened.
    Connect,
    /// The connection ended early, or the other side did not speak WebSocket.
    Broken,
    /// A message could not be encoded or decoded.
    Malformed,
    /// No message or handshake arrived in time.
    Timeout,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerError::Connect => "cannot connect to the router",
            PeerError::Broken => "the WebSocket connection to the router failed",
            PeerError::Malformed => "a message between routers cannot be encoded or decoded",
            PeerError::Timeout => "no response from the router in time",
        })
    }
}

impl std::error::Error for PeerError {}
