//! Flow control of one stream: credit at the sender, a window at the receiver, a pool for a link.
//!
//! The receiver allows a cost in bytes ahead; each part of a body or an answer costs its length and
//! [`PART_COST_BYTES`], so that a window bounds the number of parts as well. Every stream may use
//! its first window at any time; what a window grows by comes from the link's pool, so that
//! all streams together stay under the link's memory limit and none is ever left with nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use teaselworks_wire::message::Reply;
use tokio::sync::Notify;

/// Cost of a part besides its bytes: its place in a queue and what its allocation takes.
pub(super) const PART_COST_BYTES: u32 = 128;

/// Returns the cost of a reply; the last reply of a stream is free.
pub(super) fn reply_cost(reply: &Reply) -> u32 {
    let size_bytes = match reply {
        Reply::Head(head) => {
            head.headers.iter().map(|header| header.name.len() + header.value.len()).sum()
        }
        Reply::Data(data) => data.bytes.len(),
        Reply::Finish(_) | Reply::Refusal(_) => return 0,
    };
    part_cost(size_bytes)
}

/// Returns the cost of a part of `size_bytes`.
pub(super) fn part_cost(size_bytes: usize) -> u32 {
    u32::try_from(size_bytes).unwrap_or(u32::MAX).saturating_add(PART_COST_BYTES)
}

/// What the sender of one stream may still send.
#[derive(Debug)]
pub(super) struct Credit {
    available: AtomicI64,
    /// The sender may wait for this much at most: a receiver that has taken everything has allowed
    /// at least a quarter of the first window again, so a longer wait might never end.
    least: i64,
    added: Notify,
}

impl Credit {
    /// Starts with the window that the receiver allows before any credit.
    pub(super) fn new(window_bytes: u32) -> Self {
        Self {
            available: AtomicI64::new(window_bytes.into()),
            least: i64::from(window_bytes / 4),
            added: Notify::new(),
        }
    }

    /// Adds what the receiver allowed.
    pub(super) fn add(&self, bytes: u32) {
        self.available.fetch_add(bytes.into(), Ordering::AcqRel);
        self.added.notify_one();
    }

    /// Waits until a part of `cost` may be sent, or a piece of it, and returns the cost allowed.
    pub(super) async fn take(&self, cost: u32) -> u32 {
        let available = self.wait(cost).await;
        let allowed = u32::try_from(available).unwrap_or(u32::MAX).min(cost);
        self.available.fetch_sub(allowed.into(), Ordering::AcqRel);
        allowed
    }

    /// Waits until a part that cannot be cut may be sent; it may overdraw.
    pub(super) async fn take_whole(&self, cost: u32) {
        self.wait(cost).await;
        self.available.fetch_sub(cost.into(), Ordering::AcqRel);
    }

    async fn wait(&self, cost: u32) -> i64 {
        let needed = i64::from(cost).min(self.least);
        loop {
            let available = self.available.load(Ordering::Acquire);
            if available >= needed {
                return available;
            }
            self.added.notified().await;
        }
    }
}

/// Memory that the streams of one link may use beyond their first windows.
#[derive(Debug)]
pub(super) struct Pool {
    free_bytes: AtomicU64,
}

impl Pool {
    /// Starts with everything free.
    pub(super) fn new(size_bytes: u64) -> Self {
        Self { free_bytes: AtomicU64::new(size_bytes) }
    }

    fn try_take(&self, size_bytes: u32) -> bool {
        let take = |free: u64| free.checked_sub(size_bytes.into());
        self.free_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    fn give_back(&self, size_bytes: u32) {
        self.free_bytes.fetch_add(size_bytes.into(), Ordering::AcqRel);
    }
}

/// What the receiver of one stream must still accept; the reading task checks arrivals against it.
#[derive(Debug)]
pub(super) struct Allowance {
    left: AtomicI64,
    overdraft: i64,
}

impl Allowance {
    /// Counts a part that arrived; returns false when its sender broke the window.
    pub(super) fn spend(&self, cost: u32) -> bool {
        let left = self.left.fetch_sub(cost.into(), Ordering::AcqRel) - i64::from(cost);
        left >= -self.overdraft
    }
}

/// Window of the receiver of one stream, kept by whoever takes its parts.
#[derive(Debug)]
pub(super) struct Window {
    pool: Arc<Pool>,
    allowance: Arc<Allowance>,
    first_bytes: u32,
    size_bytes: u32,
    largest_bytes: u32,
    taken_bytes: u32,
}

/// Sizes of windows on one link.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSizes {
    /// What every stream may use at any time.
    pub(super) first_bytes: u32,
    /// What a stream may grow to.
    pub(super) largest_bytes: u32,
    /// What a part that cannot be cut may overdraw.
    pub(super) overdraft_bytes: u32,
}

impl Window {
    /// Starts with the first window.
    pub(super) fn new(pool: Arc<Pool>, sizes: WindowSizes) -> Self {
        let allowance = Allowance {
            left: AtomicI64::new(sizes.first_bytes.into()),
            overdraft: sizes.overdraft_bytes.into(),
        };
        Self {
            pool,
            allowance: Arc::new(allowance),
            first_bytes: sizes.first_bytes,
            size_bytes: sizes.first_bytes,
            largest_bytes: sizes.largest_bytes,
            taken_bytes: 0,
        }
    }

    /// Returns the count that arrivals are checked against.
    pub(super) fn allowance(&self) -> Arc<Allowance> {
        self.allowance.clone()
    }

    /// Grows the window as far as the pool allows and returns its size.
    pub(super) fn grow(&mut self) -> u32 {
        let growth = self.largest_bytes.saturating_sub(self.size_bytes);
        if growth > 0 && self.pool.try_take(growth) {
            self.size_bytes += growth;
            self.allowance.left.fetch_add(growth.into(), Ordering::AcqRel);
        }
        self.size_bytes
    }

    /// Counts a part taken and returns the credit to send, in bytes, once it is worth a frame.
    pub(super) fn take(&mut self, cost: u32) -> Option<u32> {
        self.taken_bytes = self.taken_bytes.saturating_add(cost);
        if self.taken_bytes < self.size_bytes / 4 * 3 {
            return None;
        }
        let taken = std::mem::take(&mut self.taken_bytes);
        self.allowance.left.fetch_add(taken.into(), Ordering::AcqRel);
        let before = self.size_bytes;
        Some(taken + (self.grow() - before))
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        self.pool.give_back(self.size_bytes - self.first_bytes);
    }
}
