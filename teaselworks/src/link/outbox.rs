//! Frames on their way to the socket of one link.
//!
//! Frames are encoded back to back into batches, and each batch goes out as one WebSocket message:
//! while a write is under way, frames gather, so that a busy link makes few system calls.

use std::collections::VecDeque;
use std::sync::Mutex;

use teaselworks_wire::codec::{self, CodecError};
use teaselworks_wire::frame::{self, Frame};
use teaselworks_wire::message::Purpose;
use tokio::sync::Notify;

/// Size at which a batch is full, unless one frame alone is larger. Both ends of a link keep a
/// buffer of the largest message that they have seen, and a router has several hundred links.
const BATCH_SIZE_BYTES: usize = 2 << 10;

/// Queue length from which senders of parts wait.
const SOFT_LIMIT_BYTES: usize = 256 << 10;

/// Queue length from which the link is given up. Credits, cancellations and short answers don't
/// wait, lest two reading tasks wait for each other's sockets; a peer that asks for them without
/// ever reading would fill the memory. The stalled link is ended with cause `overflow` instead.
const HARD_LIMIT_BYTES: usize = 8 << 20;

/// Frames that go out as one message.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// The encoded frames.
    pub(super) bytes: Vec<u8>,
    /// How many of the bytes are whose.
    pub(super) sizes: PurposeSizes,
}

/// Control bytes by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PurposeSizes {
    sizes_bytes: [usize; Purpose::ALL.len()],
    header_purpose: Option<Option<Purpose>>,
}

impl PurposeSizes {
    /// Adds a frame; the first one of a message also answers for the message's header.
    pub(super) fn add(&mut self, purpose: Option<Purpose>, size_bytes: usize) {
        self.header_purpose.get_or_insert(purpose);
        if let Some(purpose) = purpose {
            self.sizes_bytes[purpose as usize] += size_bytes;
        }
    }

    /// Calls `count` for each purpose that has bytes, the message's header included.
    pub(super) fn count(mut self, header_bytes: usize, mut count: impl FnMut(Purpose, usize)) {
        if let Some(Some(purpose)) = self.header_purpose {
            self.sizes_bytes[purpose as usize] += header_bytes;
        }
        for purpose in Purpose::ALL {
            let size_bytes = self.sizes_bytes[purpose as usize];
            if size_bytes > 0 {
                count(purpose, size_bytes);
            }
        }
    }
}

/// What the writing task does next.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// Send these.
    Batches(VecDeque<Batch>),
    /// Send a ping.
    Ping,
    /// Close the connection; nothing follows.
    Close,
}

/// Why a frame was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum OutboxError {
    /// The link is over.
    Closed,
    /// The peer reads nothing and the queue is full.
    Overflow,
    /// The frame cannot be sent.
    Codec(CodecError),
}

#[derive(Debug, Default)]
struct Queue {
    batches: VecDeque<Batch>,
    size_bytes: usize,
    ping: bool,
    closing: bool,
    closed: bool,
}

/// Queue of frames for the writing task.
#[derive(Debug)]
pub(super) struct Outbox {
    queue: Mutex<Queue>,
    filled: Notify,
    drained: Notify,
    frame_size_bytes: usize,
}

impl Outbox {
    /// Makes an empty queue for a peer that takes frames up to `frame_size_bytes`.
    pub(super) fn new(frame_size_bytes: u32) -> Self {
        Self {
            queue: Mutex::default(),
            filled: Notify::new(),
            drained: Notify::new(),
            frame_size_bytes: frame_size_bytes as usize,
        }
    }

    /// Returns the largest part of a body, an answer or a control message that is sent in one
    /// piece.
    pub(super) fn part_size_bytes(&self) -> usize {
        BATCH_SIZE_BYTES.min(self.frame_size_bytes) - frame::OVERHEAD_SIZE_BYTES
    }

    /// Takes a frame at once; fails when the link is over or the frame too large.
    pub(super) fn push(&self, frame: &Frame) -> Result<(), OutboxError> {
        let mut queue = self.queue.lock().expect("outbox lock is never poisoned");
        if queue.closed || queue.closing {
            return Err(OutboxError::Closed);
        }
        if queue.size_bytes > HARD_LIMIT_BYTES {
            return Err(OutboxError::Overflow);
        }
        let mut batch = queue.batches.pop_back().unwrap_or_default();
        let start = batch.bytes.len();
        let encoded = codec::append(&mut batch.bytes, frame, self.frame_size_bytes);
        let full = batch.bytes.len() > BATCH_SIZE_BYTES.min(self.frame_size_bytes);
        let split = (full && start > 0).then(|| batch.bytes.split_off(start));
        if let (Ok(size_bytes), None) = (&encoded, &split) {
            batch.sizes.add(frame.purpose(), *size_bytes);
        }
        if !batch.bytes.is_empty() {
            queue.batches.push_back(batch);
        }
        if let Some(bytes) = split {
            let mut batch = Batch { bytes, ..Batch::default() };
            batch.sizes.add(frame.purpose(), batch.bytes.len());
            queue.batches.push_back(batch);
        }
        queue.size_bytes += encoded.map_err(OutboxError::Codec)?;
        drop(queue);
        self.filled.notify_one();
        Ok(())
    }

    /// Waits until the queue is short or the link is over.
    pub(super) async fn space(&self) {
        loop {
            let drained = self.drained.notified();
            {
                let queue = self.queue.lock().expect("outbox lock is never poisoned");
                if queue.closed || queue.size_bytes < SOFT_LIMIT_BYTES {
                    return;
                }
            }
            drained.await;
        }
    }

    /// Asks for a ping.
    pub(super) fn ping(&self) {
        self.change(|queue| queue.ping = true);
    }

    /// Takes no more frames; the writing task closes the connection after those queued.
    pub(super) fn finish(&self) {
        self.change(|queue| queue.closing = true);
    }

    /// Drops everything; whoever waits for space goes on.
    pub(super) fn discard(&self) {
        self.change(|queue| *queue = Queue { closed: true, ..Queue::default() });
        self.drained.notify_waiters();
    }

    fn change(&self, change: impl FnOnce(&mut Queue)) {
        change(&mut self.queue.lock().expect("outbox lock is never poisoned"));
        self.filled.notify_one();
    }

    /// Waits until there may be work for the writing task.
    pub(super) async fn filled(&self) {
        self.filled.notified().await;
    }

    /// Takes work of the writing task; `None` when all is done for now.
    pub(super) fn next(&self) -> Option<Outgoing> {
        let mut queue = self.queue.lock().expect("outbox lock is never poisoned");
        if std::mem::take(&mut queue.ping) {
            return Some(Outgoing::Ping);
        }
        if !queue.batches.is_empty() {
            let batches = std::mem::take(&mut queue.batches);
            queue.size_bytes = 0;
            drop(queue);
            self.drained.notify_waiters();
            return Some(Outgoing::Batches(batches));
        }
        queue.closing.then_some(Outgoing::Close)
    }
}
