//! Links to other routers: attempts and control messages over one connection a pair.
//!
//! Each connection carries many streams. A stream has a window of its own in each direction, and
//! the task that reads a connection never waits for a receiver, so that a slow caller stalls
//! nobody but itself. docs/design/links.md tells how the limits fit together.

mod calls;
mod connection;
mod counted;
mod dial;
mod dispatch;
mod error;
mod flow;
mod handshake;
mod liveness;
mod meters;
mod outbox;
mod peers;
mod socket;
mod streams;
mod watch;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use teaselworks_policy::name::Name;
use teaselworks_wire::message::Purpose;
use tokio::sync::oneshot;

pub use error::{LinkError, LinkErrorKind};
pub use peers::Links;

use crate::exchange::Incoming;

/// Who this router is on its links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkIdentity {
    /// Name, unique in the fleet.
    pub router: Name,
    /// Incarnation: wall clock at the start of the process in milliseconds.
    pub incarnation: u64,
}

/// A router to reach.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Name, unique in the fleet.
    pub router: Name,
    /// Where it listens for links.
    pub address: SocketAddr,
}

/// A control message from a peer that waits for an answer.
#[derive(Debug)]
pub struct ControlRequest {
    /// What it is for.
    pub purpose: Purpose,
    /// Router that asks.
    pub from: Name,
    /// The request.
    pub bytes: Bytes,
    /// Takes the answer; dropping it declines the request.
    pub answer: oneshot::Sender<Bytes>,
}

/// What is done with what peers send; both run on the task that reads a link and must not block.
#[derive(Clone)]
pub struct LinkHandlers {
    /// Takes an attempt.
    pub incoming: Arc<dyn Fn(Incoming) + Send + Sync>,
    /// Takes a control message.
    pub control: Arc<dyn Fn(ControlRequest) + Send + Sync>,
}

impl fmt::Debug for LinkHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkHandlers").finish_non_exhaustive()
    }
}
