//! Streams of a link: one attempt each, from the entry router to the owner.

use std::collections::hash_map::Entry;
use std::sync::Arc;

use bytes::Bytes;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};
use teaselworks_wire::frame::{Frame, StreamKey};
use teaselworks_wire::message::{LoadSample, Open, Reply, ReplyData, ReplyRefusal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::connection::{Link, LinkEnd};
use super::error::{LinkError, LinkErrorKind};
use super::flow::{Allowance, Credit, PART_COST_BYTES, Window, part_cost, reply_cost};
use super::meters::DropCause;
use super::outbox::OutboxError;
use crate::event;
use crate::exchange::{Exchange, Incoming};

/// Replies that the owner may hand over before the link has taken them.
const REPLIES_LENGTH: usize = 16;

/// Body parts that wait outside the window; their memory is not counted, so it is one.
const BODY_LENGTH: usize = 1;

/// Replies that are not counted by the window: the finish, and the head where it overdraws.
const FREE_REPLIES: usize = 4;

/// A stream of a link.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) tag: u64,
    /// What this end may send.
    pub(super) credit: Arc<Credit>,
    /// What this end must accept.
    pub(super) allowance: Arc<Allowance>,
    pub(super) side: Side,
}

/// Which end of an attempt a stream serves.
#[derive(Debug)]
pub(super) enum Side {
    /// This router is the entry.
    Entry {
        /// Takes replies; dropped at the end.
        replies: mpsc::Sender<Reply>,
        /// Set at the end.
        ended: CancellationToken,
    },
    /// This router is the owner.
    Owner {
        /// Takes body parts; dropped at the body's end.
        body: Option<mpsc::UnboundedSender<Bytes>>,
        /// Set when the entry gave up or was lost.
        cancelled: CancellationToken,
    },
}

impl Stream {
    /// Ends the stream without a result.
    pub(super) fn cut(self) {
        match self.side {
            Side::Entry { ended, .. } => ended.cancel(),
            // Cancelled before the body's sender is dropped: a body that merely ends looks whole,
            // and its receiver would send a truncated request upstream.
            Side::Owner { cancelled, .. } => cancelled.cancel(),
        }
    }
}

/// Cancels an attempt when its exchange is dropped before the end.
struct EntryGuard {
    link: Arc<Link>,
    key: StreamKey,
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        let Ok(stream) = self.link.remove_stream(self.key) else {
            return;
        };
        stream.cut();
        self.link.send(&Frame::Cancel(self.key));
    }
}

impl Link {
    /// Opens a stream for an attempt; fails with verdict not run when nothing was sent.
    pub(super) fn open(
        self: &Arc<Self>,
        open: Open,
        body: mpsc::Receiver<Bytes>,
    ) -> Result<Exchange, LinkError> {
        let mut window = Window::new(self.pool.clone(), self.windows);
        let window_bytes = window.grow();
        let capacity =
            window_bytes / PART_COST_BYTES + self.windows.overdraft_bytes / PART_COST_BYTES;
        let (sender, receiver) = mpsc::channel(capacity as usize + FREE_REPLIES);
        let ended = CancellationToken::new();
        let credit = Arc::new(Credit::new(self.limits.window_bytes));
        let side = Side::Entry { replies: sender, ended: ended.clone() };
        let (allowance, attempt) = (window.allowance(), open.attempt.clone());
        let key = {
            let mut state = self.lock();
            if !state.is_usable() {
                return Err(LinkError::not_run(LinkErrorKind::Lost));
            }
            if state.opened >= self.limits.streams {
                return Err(LinkError::not_run(LinkErrorKind::Full));
            }
            let stream = state.next_stream;
            if state.streams.contains_key(&stream) {
                return Err(LinkError::not_run(LinkErrorKind::Full));
            }
            let key = StreamKey::new(stream, &attempt);
            // Pushed under the lock: an answer cannot arrive before the stream is known.
            self.outbox.push(&Frame::Open { key, window_bytes, open }).map_err(not_sent)?;
            state.next_stream = stream.wrapping_add(2);
            state.opened += 1;
            let stream = Stream { tag: key.tag, credit: credit.clone(), allowance, side };
            state.streams.insert(key.stream, stream);
            self.watch(&mut state);
            state.liveness.ask();
            key
        };
        self.shared.meters.add_streams(1);
        tokio::spawn(send_body(self.clone(), key, body, credit, ended));
        Ok(self.exchange(key, receiver, window))
    }

    fn exchange(
        self: &Arc<Self>,
        key: StreamKey,
        receiver: mpsc::Receiver<Reply>,
        mut window: Window,
    ) -> Exchange {
        let guard = EntryGuard { link: self.clone(), key };
        Exchange::remote(receiver, self.doubt.clone(), move |reply| {
            if let Some(bytes) = window.take(reply_cost(reply)) {
                guard.link.send(&Frame::Credit { key, bytes });
            }
        })
    }

    /// Takes an attempt from the peer.
    pub(super) fn accept(self: &Arc<Self>, key: StreamKey, window_bytes: u32, open: Open) {
        let Some(handlers) = self.shared.handlers.get() else {
            return self.refuse(key, RefusalReason::NotOwner, "The router serves no attempts.");
        };
        let (body_sender, body_parts) = mpsc::unbounded_channel();
        let (body_handler, body) = mpsc::channel(BODY_LENGTH);
        let (replies, reply_parts) = mpsc::channel(REPLIES_LENGTH);
        let cancelled = CancellationToken::new();
        let credit = Arc::new(Credit::new(window_bytes));
        let window = Window::new(self.pool.clone(), self.windows);
        let stream = Stream {
            tag: key.tag,
            credit: credit.clone(),
            allowance: window.allowance(),
            side: Side::Owner { body: Some(body_sender), cancelled: cancelled.clone() },
        };
        match self.insert_accepted(key, stream) {
            Ok(()) => {}
            Err(Rejected::Full) => {
                return self.refuse(key, RefusalReason::Overloaded, "The link is full.");
            }
            Err(Rejected::Reused) => return self.fail(LinkEnd::Violation),
        }
        self.shared.meters.add_streams(1);
        tokio::spawn(hand_over_body(self.clone(), key, body_parts, body_handler, window));
        tokio::spawn(send_replies(self.clone(), key, reply_parts, credit, cancelled.clone()));
        (handlers.incoming)(Incoming { open, body, replies, cancelled });
    }

    fn insert_accepted(self: &Arc<Self>, key: StreamKey, stream: Stream) -> Result<(), Rejected> {
        let mut state = self.lock();
        if state.streams.contains_key(&key.stream) || (key.stream % 2 == 1) == self.is_dialed() {
            return Err(Rejected::Reused);
        }
        let accepted = state.streams.len() - state.opened as usize;
        if accepted >= self.shared.limits().streams as usize {
            return Err(Rejected::Full);
        }
        state.streams.insert(key.stream, stream);
        self.watch(&mut state);
        Ok(())
    }

    fn refuse(&self, key: StreamKey, reason: RefusalReason, detail: &str) {
        let refusal = Refusal::not_run(reason, None, detail);
        let refusal = ReplyRefusal { refusal, tokens: None, load: LoadSample::default() };
        self.send(&Frame::Reply { key, reply: Reply::Refusal(refusal) });
    }

    /// Removes a stream; fails when it is not there or carries another attempt.
    pub(super) fn remove_stream(&self, key: StreamKey) -> Result<Stream, DropCause> {
        let mut state = self.lock();
        let stream = match state.streams.entry(key.stream) {
            Entry::Occupied(entry) if entry.get().tag == key.tag => entry.remove(),
            Entry::Occupied(_) => return Err(DropCause::ForeignAttempt),
            Entry::Vacant(_) => return Err(DropCause::UnknownStream),
        };
        if matches!(stream.side, Side::Entry { .. }) {
            state.opened -= 1;
        }
        self.settle(state);
        self.shared.meters.add_streams(-1);
        Ok(stream)
    }
}

enum Rejected {
    Full,
    Reused,
}

fn not_sent(error: OutboxError) -> LinkError {
    match error {
        OutboxError::Closed => LinkError::not_run(LinkErrorKind::Lost),
        OutboxError::Overflow => LinkError::not_run(LinkErrorKind::Full),
        OutboxError::Codec(_) => LinkError::not_run(LinkErrorKind::TooLarge),
    }
}

/// Sends a request body as credit allows, until its end or the stream's.
async fn send_body(
    link: Arc<Link>,
    key: StreamKey,
    mut body: mpsc::Receiver<Bytes>,
    credit: Arc<Credit>,
    ended: CancellationToken,
) {
    let send = async {
        while let Some(mut bytes) = body.recv().await {
            while !bytes.is_empty() {
                let piece = next_piece(&link, &credit, &mut bytes).await;
                link.send(&Frame::Body { key, bytes: piece });
            }
        }
        link.send(&Frame::BodyEnd(key));
    };
    ended.run_until_cancelled(send).await;
}

/// Cuts off as much of `bytes` as may be sent now.
async fn next_piece(link: &Link, credit: &Credit, bytes: &mut Bytes) -> Bytes {
    let wanted = bytes.len().min(link.outbox.part_size_bytes());
    let allowed = credit.take(part_cost(wanted)).await - PART_COST_BYTES;
    link.outbox.space().await;
    bytes.split_to(wanted.min(allowed as usize))
}

/// Hands body parts to the attempt's handler and allows more as it takes them.
async fn hand_over_body(
    link: Arc<Link>,
    key: StreamKey,
    mut parts: mpsc::UnboundedReceiver<Bytes>,
    body: mpsc::Sender<Bytes>,
    mut window: Window,
) {
    while let Some(bytes) = parts.recv().await {
        let cost = part_cost(bytes.len());
        // A handler that has no use for the rest drops its receiver; the parts are then discarded.
        let _ = body.send(bytes).await;
        if let Some(bytes) = window.take(cost) {
            link.send(&Frame::Credit { key, bytes });
        }
    }
}

/// Sends the handler's replies as credit allows, until the last one.
async fn send_replies(
    link: Arc<Link>,
    key: StreamKey,
    mut replies: mpsc::Receiver<Reply>,
    credit: Arc<Credit>,
    cancelled: CancellationToken,
) {
    let send = async {
        while let Some(reply) = replies.recv().await {
            match reply {
                Reply::Data(data) => send_data(&link, key, &credit, data).await,
                Reply::Head(_) => {
                    credit.take_whole(reply_cost(&reply)).await;
                    link.outbox.space().await;
                    if !link.send_reply(key, reply) {
                        return;
                    }
                }
                Reply::Finish(_) | Reply::Refusal(_) => {
                    link.send_reply(key, reply);
                    return link.forget_stream(key);
                }
            }
        }
        link.send(&Frame::Abort(key));
        link.forget_stream(key);
    };
    cancelled.run_until_cancelled(send).await;
}

/// Sends a part of an answer, in pieces where it exceeds the credit or the largest frame.
///
/// Pieces of a part that counts tokens are marked, and joined by the receiver: were the stream cut
/// between two of them, an answer resumed after its last token would go on behind half an event.
async fn send_data(link: &Link, key: StreamKey, credit: &Credit, data: ReplyData) {
    let ReplyData { mut offset_bytes, output_tokens, mut bytes, .. } = data;
    loop {
        let piece = next_piece(link, credit, &mut bytes).await;
        let size_bytes = piece.len() as u64;
        let last = bytes.is_empty();
        let more = !last && output_tokens > 0;
        let data = ReplyData { offset_bytes, output_tokens, more, bytes: piece };
        link.send(&Frame::Reply { key, reply: Reply::Data(data) });
        offset_bytes += size_bytes;
        if last {
            return;
        }
    }
}

impl Link {
    /// Sends a head or a last reply; returns false when it had to end the stream instead.
    ///
    /// An upstream's headers may exceed the peer's largest frame. Only the attempt that they
    /// belong to may fail then: a link that ended would cut the others.
    fn send_reply(&self, key: StreamKey, reply: Reply) -> bool {
        let frame = Frame::Reply { key, reply };
        match self.outbox.push(&frame) {
            Err(OutboxError::Codec(error)) => {
                event::REPLY_TOO_LARGE.log(format_args!("peer={} stream={key} {error}", self.peer));
                let Frame::Reply { reply, .. } = frame else {
                    return false;
                };
                self.send(&Frame::Reply { key, reply: Reply::Refusal(shortened(reply)) });
                if let Ok(stream) = self.remove_stream(key) {
                    stream.cut();
                }
                false
            }
            Err(OutboxError::Overflow) => {
                self.fail(LinkEnd::Overflow);
                false
            }
            Ok(()) | Err(OutboxError::Closed) => true,
        }
    }

    /// Forgets a stream of which the handler has said all; nothing is cancelled.
    fn forget_stream(&self, key: StreamKey) {
        // Fails when the entry's cancellation crossed with the last frame.
        let _ = self.remove_stream(key);
    }
}

/// Returns what to say in place of a reply that no frame can hold.
fn shortened(reply: Reply) -> ReplyRefusal {
    let detail = "The answer of the upstream exceeds the largest frame.".to_owned();
    if let Reply::Refusal(mut refusal) = reply {
        refusal.refusal.detail = detail;
        return refusal;
    }
    let (reason, verdict) = (RefusalReason::UpstreamFailed, Verdict::Ran);
    let refusal = Refusal { reason, verdict, retry_after_ms: None, detail };
    ReplyRefusal { refusal, tokens: None, load: LoadSample::default() }
}
