//! Links of one router by peer: opened when needed, shared by everything that talks to the peer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Once, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use teaselworks_config::settings::LinkSettings;
use teaselworks_policy::name::Name;
use teaselworks_wire::handshake::Secret;
use teaselworks_wire::message::{Open, Purpose};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::connection::{Link, LinkEnd, Shared};
use super::dial::Dial;
use super::error::{LinkError, LinkErrorKind};
use super::handshake::{self, Failure, Socket};
use super::liveness::LivenessTiming;
use super::meters::Meters;
use super::socket::Halves;
use super::watch::{self as watching, Watched};
use super::{LinkHandlers, LinkIdentity, Peer, socket};
use crate::connection;
use crate::event;
use crate::exchange::Exchange;
use crate::metrics::Metrics;

/// Handshakes under way at once; further connections wait in the listener's backlog, so that
/// connections which never prove the secret cannot exhaust the memory.
const HANDSHAKES: usize = 256;

/// Times that a message is tried on another link because the one found had just closed.
const TRIES: usize = 3;

/// Pause after the listener failed to take a connection, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Links of one router to its peers.
#[derive(Debug)]
pub struct Links {
    pub(super) shared: Arc<Shared>,
    peers: Mutex<HashMap<Name, Slot>>,
    pub(super) stopping: CancellationToken,
    emptied: watch::Sender<usize>,
    watching: Once,
}

/// Links to one peer, oldest first.
///
/// There is one as a rule. There are two for a while when both ends dial at once, when one end
/// lost the link and dials before the other noticed, or when one retires. The newest usable one
/// takes what is new; the others end when they are done, silent or quiet.
#[derive(Debug, Default)]
pub(super) struct Slot {
    pub(super) links: Vec<Arc<Link>>,
    pub(super) dial: Option<Dial>,
}

impl Links {
    /// Makes the links of a router, none of them open.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use teaselworks::link::{LinkHandlers, LinkIdentity, Links, Peer};
    /// use teaselworks::metrics::Metrics;
    /// use teaselworks_wire::message::Purpose;
    ///
    /// let links = |router: &str| {
    ///     let settings = r#"{ "secret": "a secret of the fleet" }"#;
    ///     let settings = serde_json::from_str(settings).expect("valid settings");
    ///     let identity = LinkIdentity { router: router.into(), incarnation: 1 };
    ///     Links::new(identity, settings, Arc::new(Metrics::new()))
    /// };
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let handlers = LinkHandlers {
    ///     incoming: Arc::new(|incoming| drop(incoming)),
    ///     control: Arc::new(|request| drop(request.answer.send(request.bytes))),
    /// };
    /// let address = links("b").listen("127.0.0.1:0".parse().unwrap(), handlers).await.unwrap();
    /// let peer = Peer { router: "b".into(), address };
    /// let timeout = Duration::from_secs(10);
    /// let answer = links("a").call(&peer, Purpose::Usage, "7".into(), timeout).await;
    /// assert_eq!(answer.unwrap(), "7");
    /// # });
    /// ```
    pub fn new(identity: LinkIdentity, settings: LinkSettings, metrics: Arc<Metrics>) -> Arc<Self> {
        let probe_timeout = Duration::from_millis(settings.probe_timeout_ms);
        let idle_timeout = Duration::from_millis(settings.idle_timeout_ms);
        let shared = Shared {
            identity,
            liveness: LivenessTiming::new(probe_timeout, idle_timeout),
            watched: Watched::default(),
            secret: Secret::new(&settings.secret),
            settings,
            meters: Meters::new(metrics),
            handlers: OnceLock::new(),
        };
        Arc::new(Self {
            shared: Arc::new(shared),
            peers: Mutex::default(),
            stopping: CancellationToken::new(),
            emptied: watch::Sender::new(0),
            watching: Once::new(),
        })
    }

    /// Takes links on `address` until shutdown and returns the address bound; fails when it
    /// cannot be bound.
    ///
    /// Attempts and control messages of peers go to `handlers`, on links of either side's making.
    pub async fn listen(
        self: &Arc<Self>,
        address: SocketAddr,
        handlers: LinkHandlers,
    ) -> io::Result<SocketAddr> {
        let listener = connection::listen(address)?;
        let address = listener.local_addr()?;
        // A second listener shares the handlers of the first.
        let _ = self.shared.handlers.set(handlers);
        let (links, stopping) = (self.clone(), self.stopping.clone());
        tokio::spawn(async move {
            stopping.run_until_cancelled(links.take_connections(listener)).await;
        });
        Ok(address)
    }

    /// Opens an attempt at a peer; fails with verdict not run when nothing of it was sent.
    ///
    /// The exchange's replies end without a last one when the peer or the link is lost; whether
    /// the attempt ran is then unknown.
    pub async fn open(
        self: &Arc<Self>,
        peer: &Peer,
        open: Open,
        body: mpsc::Receiver<Bytes>,
    ) -> Result<Exchange, LinkError> {
        let mut link = self.undoubted(peer).await?;
        for _ in 1..TRIES {
            if link.is_usable() {
                break;
            }
            link = self.undoubted(peer).await?;
        }
        link.open(open, body)
    }

    /// Asks a peer a control message and waits for its answer.
    pub async fn call(
        self: &Arc<Self>,
        peer: &Peer,
        purpose: Purpose,
        request: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, LinkError> {
        let deadline = time::Instant::now() + timeout;
        let connect_timeout = LinkError::not_run(LinkErrorKind::ConnectTimeout);
        for tried in 1.. {
            let link = time::timeout_at(deadline, self.link(peer));
            let link = link.await.unwrap_or(Err(connect_timeout))?;
            let call = time::timeout_at(deadline, link.call(purpose, request.clone()));
            let timeout = LinkError::may_have_run(LinkErrorKind::Timeout);
            let answer = call.await.unwrap_or(Err(timeout));
            let closed = answer == Err(LinkError::not_run(LinkErrorKind::Lost));
            if !closed || tried == TRIES {
                return answer;
            }
        }
        Err(connect_timeout)
    }

    /// Returns the peers that links are open to, in no order.
    pub fn peers(&self) -> Vec<Name> {
        let peers = self.lock();
        let open = peers.iter().filter(|(_, slot)| !slot.links.is_empty());
        open.map(|(peer, _)| peer.clone()).collect()
    }

    /// Takes no further connections, opens nothing further, and returns when the streams in
    /// progress have ended on both sides and every link is closed.
    pub async fn shutdown(&self) {
        self.stopping.cancel();
        for link in self.open_links() {
            link.retire();
        }
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self.emptied.subscribe().wait_for(|open| *open == 0).await;
    }

    /// Returns every open link, in no order.
    pub(super) fn open_links(&self) -> Vec<Arc<Link>> {
        self.lock().values().flat_map(|slot| slot.links.clone()).collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<Name, Slot>> {
        self.peers.lock().expect("links lock is never poisoned")
    }

    async fn take_connections(self: Arc<Self>, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(HANDSHAKES));
        loop {
            let Ok(permit) = handshakes.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, address)) = listener.accept().await else {
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let links = self.clone();
            tokio::spawn(async move {
                links.take_connection(stream, address).await;
                drop(permit);
            });
        }
    }

    async fn take_connection(self: &Arc<Self>, stream: TcpStream, address: SocketAddr) {
        match handshake::accept(self.shared.clone(), stream).await {
            Ok((link, socket)) => drop(self.register(link, socket)),
            Err(failure) => self.note_failure(failure, format_args!("address={address}")),
        }
    }

    pub(super) fn note_failure(&self, failure: Failure, whom: std::fmt::Arguments<'_>) {
        let Failure::Handshake(error) = failure else {
            return event::LINK_FAILED.log(format_args!("{whom} cause={failure:?}"));
        };
        self.shared.meters.add_handshake_failure(error);
        event::LINK_REFUSED.log(format_args!("{whom} cause={error}"));
    }

    /// Starts the tasks that watch all links.
    fn start_watching(self: &Arc<Self>) {
        tokio::spawn(watching::watch_awaited(self.shared.clone()));
        let quiet = Duration::from_millis(self.shared.settings.quiet_close_ms);
        let (links, stopping) = (self.clone(), self.stopping.clone());
        tokio::spawn(async move {
            stopping.run_until_cancelled(watching::close_quiet(links, quiet)).await;
        });
    }

    /// Serves a link whose handshake is done.
    pub(super) fn register(self: &Arc<Self>, link: Link, socket: Socket) -> Arc<Link> {
        self.watching.call_once(|| self.start_watching());
        let link = Arc::new(link);
        let replaced = {
            let mut peers = self.lock();
            let slot = peers.entry(link.peer.clone()).or_default();
            let is_replaced =
                |old: &&Arc<Link>| old.incarnation != link.incarnation || old.doubt.is_raised();
            let old = slot.links.iter().filter(is_replaced);
            let replaced: Vec<_> = old.cloned().collect();
            slot.links.push(link.clone());
            self.emptied.send_modify(|open| *open += 1);
            replaced
        };
        // The old process is gone or going, or the old connection carries nothing any more; what is
        // still in progress may end.
        for old in replaced {
            event::LINK_REPLACED.log(format_args!("peer={}", old.peer));
            old.retire();
        }
        self.shared.meters.add_link();
        event::LINK_OPENED.log(format_args!("peer={} dialed={}", link.peer, link.is_dialed()));
        if self.stopping.is_cancelled() {
            link.retire();
        }
        tokio::spawn(self.clone().serve(link.clone(), socket.split()));
        link
    }

    async fn serve(self: Arc<Self>, link: Arc<Link>, halves: Halves) {
        socket::serve(link.clone(), halves).await;
        let end = link.end();
        self.shared.meters.add_end(end);
        let detail = format_args!("peer={} cause={}", link.peer, end.as_str()).to_string();
        if end == LinkEnd::Closed {
            event::LINK_CLOSED.log(format_args!("{detail}"));
        } else {
            event::LINK_LOST.log(format_args!("{detail}"));
            self.distrust_others(&link);
        }
        // Last, for what was cut is tried again at once.
        link.dissolve();
        self.forget(&link);
    }

    /// Opens nothing further on the other links to a peer of which one has just broken.
    ///
    /// What broke one connection has likely broken the others, which nothing probes while they are
    /// quiet. A retry that took one of them would wait out the timeout once more; a new connection
    /// shows at once whether the peer is there.
    fn distrust_others(&self, broken: &Arc<Link>) {
        // The end of a link that was replaced before tells nothing of its successor.
        if broken.is_retired() {
            return;
        }
        let others = self.lock().get(&broken.peer).map(|slot| slot.links.clone());
        for other in others.unwrap_or_default() {
            if !Arc::ptr_eq(&other, broken) {
                other.retire();
            }
        }
    }

    fn forget(&self, link: &Arc<Link>) {
        let mut peers = self.lock();
        if let Some(slot) = peers.get_mut(&link.peer) {
            slot.links.retain(|other| !Arc::ptr_eq(other, link));
            if slot.links.is_empty() && slot.dial.is_none() {
                peers.remove(&link.peer);
            }
        }
        drop(peers);
        self.emptied.send_modify(|open| *open -= 1);
    }
}
