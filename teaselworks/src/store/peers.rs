//! How the configuration service reaches the other routers, whatever carries it.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use teaselworks_policy::name::Name;

/// Another router that is taken for live.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
}

type ListPeers = Box<dyn Fn() -> Vec<Peer> + Send + Sync>;
type IsFound = Box<dyn Fn() -> bool + Send + Sync>;
type CallPeer =
    Box<dyn Fn(Name, Bytes, Duration) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The other routers, and calls to them.
pub struct Peers {
    /// This router.
    pub own: Peer,
    list: ListPeers,
    call: CallPeer,
    is_found: IsFound,
}

impl Peers {
    /// Makes peers from two closures: one lists the live routers without this one, the other sends
    /// a message for `Store::handle` and returns its answer, `None` when none came in time.
    pub fn new(
        own: Peer,
        list: impl Fn() -> Vec<Peer> + Send + Sync + 'static,
        call: impl Fn(Name, Bytes, Duration) -> BoxFuture<'static, Option<Bytes>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self { own, list: Box::new(list), call: Box::new(call), is_found: Box::new(|| true) }
    }

    /// Sets the closure that tells whether the list is worth a reading: the others were found, or
    /// there are none. Without it the list counts from the first moment on.
    pub fn found_when(self, is_found: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self { is_found: Box::new(is_found), ..self }
    }

    /// Makes peers of a router that is alone.
    pub fn none(own: Peer) -> Self {
        Self::new(own, Vec::new, |_, _, _| Box::pin(async { None }))
    }

    /// Returns the other live routers.
    pub fn list(&self) -> Vec<Peer> {
        (self.list)()
    }

    /// Tells whether the others were found, or that there are none.
    pub fn is_found(&self) -> bool {
        (self.is_found)()
    }

    /// Sends a message to a router and waits for its answer.
    pub async fn call(&self, peer: &Name, message: Bytes, timeout: Duration) -> Option<Bytes> {
        (self.call)(peer.clone(), message, timeout).await
    }
}
