//! One attempt between an entry router and an owner, the same whether both are one process or two.

use std::fmt;
use std::future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use teaselworks_wire::message::{Open, Reply, ReplyData};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Largest part of a chat's answer: a piece of an engine's stream and the event that it ends.
const PART_SIZE_BYTES: usize = 4 << 20;

/// Replies or body parts that may wait between two tasks.
const CHANNEL_LENGTH: usize = 16;

/// Entry side of an attempt; dropping it cancels the attempt at the owner and the upstream.
#[derive(Debug)]
pub struct Exchange {
    /// Replies in order; ends without `Finish` or `Refusal` only when the owner was lost.
    pub replies: Replies,
    doubt: Option<Arc<Doubt>>,
    _cancel: Option<DropGuard>,
}

impl Exchange {
    /// Makes the entry side of an attempt whose owner is another process.
    ///
    /// `taken` runs on each reply as it is taken and is dropped with the exchange; `doubt` tells
    /// whether the owner leaves signs of life to be desired.
    pub fn remote(
        receiver: mpsc::Receiver<Reply>,
        doubt: Arc<Doubt>,
        taken: impl FnMut(&Reply) + Send + Sync + 'static,
    ) -> Self {
        let taken: Taken = Box::new(taken);
        let replies = Replies { receiver, taken: Some(taken), pieces: Pieces::default() };
        Self { replies, doubt: Some(doubt), _cancel: None }
    }

    /// Waits for the next reply; `None` after the last one, or once the owner is in doubt.
    ///
    /// An owner in doubt may be lost, or merely slow: whoever asks another one drops the exchange,
    /// which cancels the attempt should the owner come back.
    pub async fn recv_unless_doubted(&mut self) -> Option<Reply> {
        let Some(doubt) = &self.doubt else {
            return self.replies.recv().await;
        };
        tokio::select! {
            biased;
            reply = self.replies.recv() => reply,
            () = doubt.raised() => None,
        }
    }
}

/// Whether the router at the other end may be lost.
#[derive(Debug, Default)]
pub struct Doubt {
    is_raised: AtomicBool,
    changed: Notify,
}

impl Doubt {
    /// Notes that the router left a question for a sign of life unanswered.
    pub fn raise(&self) {
        self.is_raised.store(true, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Notes that the router said something.
    pub fn settle(&self) {
        // Read first: this runs on every message, and doubt is rare.
        if self.is_raised() {
            self.is_raised.store(false, Ordering::Release);
        }
    }

    /// Tells whether the router may be lost.
    ///
    /// ```
    /// let doubt = teaselworks::exchange::Doubt::default();
    /// doubt.raise();
    /// assert!(doubt.is_raised());
    /// doubt.settle();
    /// assert!(!doubt.is_raised());
    /// ```
    pub fn is_raised(&self) -> bool {
        self.is_raised.load(Ordering::Acquire)
    }

    /// Waits until the router may be lost.
    pub async fn raised(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_raised() {
                return;
            }
            changed.await;
        }
    }
}

/// Replies to one attempt, in order.
pub struct Replies {
    receiver: mpsc::Receiver<Reply>,
    taken: Option<Taken>,
    pieces: Pieces,
}

type Taken = Box<dyn FnMut(&Reply) + Send + Sync>;

impl Replies {
    /// Waits for the next reply; `None` after the last one.
    pub async fn recv(&mut self) -> Option<Reply> {
        future::poll_fn(|context| self.poll_recv(context)).await
    }

    /// Polls for the next reply.
    pub fn poll_recv(&mut self, context: &mut Context<'_>) -> Poll<Option<Reply>> {
        while !self.pieces.is_too_large() {
            let Some(reply) = std::task::ready!(self.receiver.poll_recv(context)) else { break };
            if let Some(whole) = self.take(reply) {
                return Poll::Ready(Some(whole));
            }
        }
        Poll::Ready(None)
    }

    /// Takes the next reply if one is there; fails when none is, or none will be.
    pub fn try_recv(&mut self) -> Result<Reply, mpsc::error::TryRecvError> {
        while !self.pieces.is_too_large() {
            let reply = self.receiver.try_recv()?;
            if let Some(whole) = self.take(reply) {
                return Ok(whole);
            }
        }
        Err(mpsc::error::TryRecvError::Disconnected)
    }

    /// Counts a reply as taken; returns it, or the whole part that it completes.
    fn take(&mut self, reply: Reply) -> Option<Reply> {
        if let Some(taken) = &mut self.taken {
            taken(&reply);
        }
        match reply {
            Reply::Data(data) => self.pieces.join(data).map(Reply::Data),
            reply => Some(reply),
        }
    }
}

/// Pieces of a part that is not whole yet.
#[derive(Default)]
struct Pieces {
    offset_bytes: u64,
    bytes: BytesMut,
}

impl Pieces {
    /// Adds a piece; returns the part once it is whole.
    ///
    /// A piece that does not follow the last one is passed on alone: its offset shows the receiver
    /// that a part of the answer is missing.
    fn join(&mut self, data: ReplyData) -> Option<ReplyData> {
        let end_bytes = self.offset_bytes + self.bytes.len() as u64;
        let follows = self.bytes.is_empty() || data.offset_bytes == end_bytes;
        if !follows || (self.bytes.is_empty() && !data.more) {
            self.bytes.clear();
            return Some(data);
        }
        if self.bytes.is_empty() {
            self.offset_bytes = data.offset_bytes;
        }
        self.bytes.extend_from_slice(&data.bytes);
        if data.more {
            return None;
        }
        let bytes = std::mem::take(&mut self.bytes).freeze();
        Some(ReplyData { offset_bytes: self.offset_bytes, bytes, ..data })
    }

    /// Tells whether the part exceeds all that an owner reads at once; its answer then counts as
    /// lost, and does not fill the memory.
    fn is_too_large(&self) -> bool {
        self.bytes.len() > PART_SIZE_BYTES
    }
}

impl fmt::Debug for Replies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replies").field("remote", &self.taken.is_some()).finish_non_exhaustive()
    }
}

/// Owner side of an attempt.
#[derive(Debug)]
pub struct Incoming {
    /// What is asked for.
    pub open: Open,
    /// The request body; closed at its end.
    pub body: mpsc::Receiver<Bytes>,
    /// Where replies go.
    pub replies: mpsc::Sender<Reply>,
    /// Set when the entry gave up on the attempt.
    pub cancelled: CancellationToken,
}

/// Makes both ends of an attempt; `body` carries the request body.
pub fn pair(open: Open, body: mpsc::Receiver<Bytes>) -> (Exchange, Incoming) {
    let (sender, receiver) = mpsc::channel(CHANNEL_LENGTH);
    let cancelled = CancellationToken::new();
    let replies = Replies { receiver, taken: None, pieces: Pieces::default() };
    let exchange = Exchange { replies, doubt: None, _cancel: Some(cancelled.clone().drop_guard()) };
    let incoming = Incoming { open, body, replies: sender, cancelled };
    (exchange, incoming)
}
