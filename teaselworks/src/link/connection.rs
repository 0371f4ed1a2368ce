//! One established link: what it carries and how it ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use teaselworks_config::settings::LinkSettings;
use teaselworks_policy::name::Name;
use teaselworks_wire::frame::Frame;
use teaselworks_wire::handshake::{Limits, Secret};
use tokio_util::sync::CancellationToken;

use super::calls::Calls;
use super::flow::{Pool, WindowSizes};
use super::liveness::{Liveness, LivenessTiming};
use super::meters::Meters;
use super::outbox::{Outbox, OutboxError};
use super::streams::Stream;
use super::watch::Watched;
use super::{LinkHandlers, LinkIdentity};
use crate::exchange::Doubt;

/// Smallest first window of a stream; the memory limit divided by it bounds the streams of a link.
const FIRST_WINDOW_BYTES: u32 = 2 << 10;

/// How a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LinkEnd {
    /// Both ends were done with it.
    Closed,
    /// The connection broke.
    Broken,
    /// The peer said nothing while something was awaited.
    Silent,
    /// The peer broke the protocol.
    Violation,
    /// The peer read nothing while frames for it gathered.
    Overflow,
}

impl LinkEnd {
    /// Every end, in the order of the metrics.
    pub(super) const ALL: [LinkEnd; 5] =
        [LinkEnd::Closed, LinkEnd::Broken, LinkEnd::Silent, LinkEnd::Violation, LinkEnd::Overflow];

    /// Returns the name in metrics and logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            LinkEnd::Closed => "closed",
            LinkEnd::Broken => "broken",
            LinkEnd::Silent => "silent",
            LinkEnd::Violation => "violation",
            LinkEnd::Overflow => "overflow",
        }
    }
}

/// What all links of one router share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) identity: LinkIdentity,
    pub(super) settings: LinkSettings,
    pub(super) secret: Secret,
    pub(super) meters: Meters,
    pub(super) handlers: OnceLock<LinkHandlers>,
    pub(super) liveness: LivenessTiming,
    pub(super) watched: Watched,
}

impl Shared {
    /// Returns what this router takes on a link. Half of a link's memory is set aside so that each
    /// stream has its first window; the streams are fewer where the memory is short.
    pub(super) fn limits(&self) -> Limits {
        let reserved_bytes = self.settings.memory_bytes / 2;
        let streams = self.settings.streams.min(reserved_bytes / FIRST_WINDOW_BYTES).max(1);
        let window_bytes = (reserved_bytes / streams)
            .clamp(FIRST_WINDOW_BYTES, self.settings.stream_window_bytes.max(FIRST_WINDOW_BYTES));
        Limits { frame_size_bytes: self.settings.frame_size_bytes, window_bytes, streams }
    }
}

/// Streams and control messages of one link.
#[derive(Debug, Default)]
pub(super) struct LinkState {
    pub(super) streams: HashMap<u32, Stream>,
    /// Streams that this end opened.
    pub(super) opened: u32,
    pub(super) next_stream: u32,
    pub(super) calls: Calls,
    pub(super) liveness: Liveness,
    /// Whether the watching task has the link.
    pub(super) watched: bool,
    /// Sweeps since the link was last used.
    pub(super) quiet_sweeps: u32,
    closing_sent: bool,
    closing_received: bool,
    over: bool,
}

impl LinkState {
    /// Tells whether this end may still open streams and ask control messages.
    pub(super) fn is_usable(&self) -> bool {
        !self.over && !self.closing_sent
    }

    fn is_in_use(&self) -> bool {
        !self.streams.is_empty() || !self.calls.is_empty()
    }

    /// Tells whether anything is expected from the peer.
    pub(super) fn is_awaited(&self) -> bool {
        !self.over && (self.is_in_use() || self.closing_sent)
    }

    /// Tells whether the peer owes an answer that this end asked for.
    pub(super) fn is_owed(&self) -> bool {
        self.opened > 0 || self.calls.is_owed()
    }

    fn is_done(&self) -> bool {
        self.closing_sent && self.closing_received && !self.is_in_use()
    }
}

/// One established link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: Name,
    pub(super) incarnation: u64,
    /// Where this end made the connection to; `None` when the peer made it.
    pub(super) address: Option<SocketAddr>,
    /// What the peer takes.
    pub(super) limits: Limits,
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) pool: Arc<Pool>,
    pub(super) windows: WindowSizes,
    /// Set when the link is over; `end` then says how.
    pub(super) over: CancellationToken,
    end: OnceLock<LinkEnd>,
    received: AtomicBool,
    /// Raised while a ping is unanswered for too long.
    pub(super) doubt: Arc<Doubt>,
    state: Mutex<LinkState>,
}

impl Link {
    /// Makes a link whose handshake is done.
    pub(super) fn new(
        shared: Arc<Shared>,
        peer: Name,
        incarnation: u64,
        address: Option<SocketAddr>,
        limits: Limits,
    ) -> Self {
        let ours = shared.limits();
        let reserved_bytes = u64::from(ours.window_bytes) * u64::from(ours.streams);
        let pool_bytes = u64::from(shared.settings.memory_bytes).saturating_sub(reserved_bytes);
        let windows = WindowSizes {
            first_bytes: ours.window_bytes,
            largest_bytes: shared.settings.stream_window_bytes.max(ours.window_bytes),
            overdraft_bytes: ours.frame_size_bytes,
        };
        let state = LinkState {
            next_stream: if address.is_some() { 1 } else { 2 },
            ..LinkState::default()
        };
        Self {
            peer,
            incarnation,
            address,
            limits,
            shared,
            outbox: Outbox::new(limits.frame_size_bytes),
            pool: Arc::new(Pool::new(pool_bytes)),
            windows,
            over: CancellationToken::new(),
            end: OnceLock::new(),
            received: AtomicBool::new(false),
            doubt: Arc::default(),
            state: Mutex::new(state),
        }
    }

    /// Locks the link's state; never held across an await.
    pub(super) fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("link lock is never poisoned")
    }

    /// Tells whether this end made the connection.
    pub(super) fn is_dialed(&self) -> bool {
        self.address.is_some()
    }

    /// Tells whether the link leads to a peer's present address, as far as this end knows.
    pub(super) fn leads_to(&self, address: SocketAddr) -> bool {
        self.address.is_none_or(|dialed| dialed == address)
    }

    /// Tells whether this end opens nothing further on the link.
    pub(super) fn is_retired(&self) -> bool {
        self.lock().closing_sent
    }

    /// Tells whether streams may be opened on the link.
    pub(super) fn is_usable(&self) -> bool {
        !self.over.is_cancelled() && self.lock().is_usable()
    }

    /// Notes that the peer said something.
    pub(super) fn note_received(&self) {
        self.received.store(true, Ordering::Relaxed);
        self.doubt.settle();
    }

    /// Tells whether the peer said anything since the last call.
    pub(super) fn take_received(&self) -> bool {
        self.received.swap(false, Ordering::Relaxed)
    }

    /// Sends a frame that must not wait; a link that cannot take it is over.
    pub(super) fn send(&self, frame: &Frame) {
        match self.outbox.push(frame) {
            Ok(()) | Err(OutboxError::Closed) => {}
            Err(OutboxError::Overflow) => self.fail(LinkEnd::Overflow),
            Err(OutboxError::Codec(_)) => self.fail(LinkEnd::Violation),
        }
    }

    /// Ends the link with a cause; the first one counts.
    pub(super) fn fail(&self, end: LinkEnd) {
        let _ = self.end.set(end);
        self.over.cancel();
    }

    /// Returns how the link ended.
    pub(super) fn end(&self) -> LinkEnd {
        self.end.get().copied().unwrap_or(LinkEnd::Broken)
    }

    /// Opens nothing further and closes the link once both ends are done.
    ///
    /// Just closing an idle link would race with an attempt that the peer has begun to send: the
    /// peer could not tell whether it ran. So each end first says that it sends no more, and
    /// serves what arrives until the other has said so too.
    pub(super) fn retire(self: &Arc<Self>) {
        let mut state = self.lock();
        if state.is_usable() {
            self.send(&Frame::Closing);
            state.closing_sent = true;
            self.watch(&mut state);
        }
        self.settle(state);
    }

    /// Handles the peer's word that it opens nothing further.
    pub(super) fn peer_retired(self: &Arc<Self>) {
        self.lock().closing_received = true;
        self.retire();
    }

    /// Closes the link when nothing is left to do on it.
    pub(super) fn settle(&self, state: MutexGuard<'_, LinkState>) {
        if state.is_done() {
            self.outbox.finish();
        }
    }

    /// Lets go of everything the link carried, after its end.
    pub(super) fn dissolve(&self) {
        let (streams, calls) = {
            let mut state = self.lock();
            state.over = true;
            (std::mem::take(&mut state.streams), std::mem::take(&mut state.calls))
        };
        self.outbox.discard();
        self.over.cancel();
        self.shared.meters.add_streams(-(streams.len() as i64));
        for stream in streams.into_values() {
            stream.cut();
        }
        calls.cut();
    }
}
