//! Finds a link to a peer, and makes one when there is none that may be used.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselworks_policy::name::Name;
use tokio::sync::watch;

use super::Peer;
use super::connection::Link;
use super::error::{LinkError, LinkErrorKind};
use super::handshake;
use super::peers::{Links, Slot};

/// A connection attempt that everybody who needs the peer waits for.
#[derive(Clone, Debug)]
pub(super) struct Dial {
    address: SocketAddr,
    outcome: Outcome,
}

/// What becomes of a connection attempt; `None` while it is under way.
type Outcome = watch::Receiver<Option<Result<Arc<Link>, LinkError>>>;

/// A way to a peer.
enum Found {
    /// A usable link.
    Open(Arc<Link>),
    /// A connection attempt.
    Dialing {
        /// Its outcome.
        outcome: Outcome,
        /// Whether there is a link, whose peer left a ping unanswered.
        doubted: bool,
    },
}

impl Found {
    async fn wait(self) -> Result<Arc<Link>, LinkError> {
        let mut outcome = match self {
            Found::Open(link) => return Ok(link),
            Found::Dialing { outcome, .. } => outcome,
        };
        let outcome = outcome.wait_for(Option::is_some).await;
        let lost = Err(LinkError::not_run(LinkErrorKind::Lost));
        outcome.map_or(None, |outcome| outcome.clone()).unwrap_or(lost)
    }
}

impl Links {
    /// As [`Links::link`], but does not wait for a peer that leaves a ping unanswered.
    ///
    /// Each attempt would otherwise wait for a connection to a router that is most likely lost,
    /// while others could serve it. The connection is made all the same: only the old one may be
    /// dead.
    pub(super) async fn undoubted(self: &Arc<Self>, peer: &Peer) -> Result<Arc<Link>, LinkError> {
        let found = self.find(peer)?;
        match found {
            Found::Dialing { doubted: true, .. } => Err(LinkError::not_run(LinkErrorKind::Doubted)),
            found => found.wait().await,
        }
    }

    /// Tells whether a peer left a ping unanswered on every link to it.
    pub fn is_doubted(&self, peer: &Name) -> bool {
        let peers = self.lock();
        let links = peers.get(peer).map(|slot| &slot.links[..]).unwrap_or_default();
        !links.is_empty() && links.iter().all(|link| link.doubt.is_raised())
    }

    /// Returns a usable link to a peer and makes one when there is none.
    pub(super) async fn link(self: &Arc<Self>, peer: &Peer) -> Result<Arc<Link>, LinkError> {
        self.find(peer)?.wait().await
    }

    fn find(self: &Arc<Self>, peer: &Peer) -> Result<Found, LinkError> {
        let mut peers = self.lock();
        let slot = peers.entry(peer.router.clone()).or_default();
        // A VM that was replaced under its name has another address; the link to the old one may
        // seem open until a timeout shows that nobody is there.
        let fits = |link: &&Arc<Link>| link.leads_to(peer.address) && link.is_usable();
        let mut doubted = false;
        for link in slot.links.iter().rev().filter(fits) {
            if !link.doubt.is_raised() {
                return Ok(Found::Open(link.clone()));
            }
            doubted = true;
        }
        if self.stopping.is_cancelled() {
            return Err(LinkError::not_run(LinkErrorKind::Stopping));
        }
        let outcome = match &slot.dial {
            Some(dial) if dial.address == peer.address => dial.outcome.clone(),
            _ => self.start_dial(slot, peer),
        };
        Ok(Found::Dialing { outcome, doubted })
    }

    fn start_dial(self: &Arc<Self>, slot: &mut Slot, peer: &Peer) -> Outcome {
        let (sender, outcome) = watch::channel(None);
        slot.dial = Some(Dial { address: peer.address, outcome: outcome.clone() });
        let (links, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let result = links.dial(&peer).await;
            links.end_dial(&peer);
            let _ = sender.send(Some(result));
        });
        outcome
    }

    async fn dial(self: &Arc<Self>, peer: &Peer) -> Result<Arc<Link>, LinkError> {
        match handshake::dial(self.shared.clone(), peer).await {
            Ok((link, socket)) => Ok(self.register(link, socket)),
            Err(failure) => {
                self.note_failure(failure, format_args!("peer={} {}", peer.router, peer.address));
                Err(failure.into())
            }
        }
    }

    fn end_dial(&self, peer: &Peer) {
        let mut peers = self.lock();
        if let Some(slot) = peers.get_mut(&peer.router) {
            slot.dial.take_if(|dial| dial.address == peer.address);
            if slot.links.is_empty() && slot.dial.is_none() {
                peers.remove(&peer.router);
            }
        }
    }
}
