//! Why a router could not be asked.

use std::fmt;

/// Why a router could not be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// No connection could be opened.
    Connect,
    /// The connection broke or was no WebSocket.
    Broken,
    /// The answer was not understood.
    Malformed,
    /// No answer came in time.
    Timeout,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerError::Connect => "cannot connect",
            PeerError::Broken => "the connection broke",
            PeerError::Malformed => "answer not understood",
            PeerError::Timeout => "no answer in time",
        })
    }
}

impl std::error::Error for PeerError {}
