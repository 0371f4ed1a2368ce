//! What one router sees of a workspace's requests, second by second.

use std::time::Duration;

use super::limits::Work;

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Asks within this window and the one before from which on a lease is worth its messages.
const BUSY_ASKS: u32 = 3;

/// Counts of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    tokens: u64,
    asks: u32,
    longest: Duration,
}

/// Counts of this window and of the one before.
#[derive(Debug, Default)]
pub(super) struct Demand {
    began: Duration,
    current: Counts,
    last: Counts,
}

impl Demand {
    /// Counts a request that arrived.
    pub(super) fn note_request(&mut self, now: Duration, work: Work) {
        self.turn(now);
        self.current.requests = self.current.requests.saturating_add(1);
        self.current.tokens = self.current.tokens.saturating_add(work.tokens);
        self.current.longest = self.current.longest.max(work.deadline_left);
    }

    /// Counts a question to the owner, and tells whether there were several lately.
    pub(super) fn note_ask(&mut self, now: Duration) -> bool {
        self.turn(now);
        self.current.asks = self.current.asks.saturating_add(1);
        self.current.asks.saturating_add(self.last.asks) >= BUSY_ASKS
    }

    /// Returns the requests of a second.
    pub(super) fn requests_per_s(&self) -> u32 {
        self.current.requests.max(self.last.requests)
    }

    /// Returns the tokens of a second.
    pub(super) fn tokens_per_s(&self) -> u64 {
        self.current.tokens.max(self.last.tokens)
    }

    /// Returns the longest time left until a request's deadline.
    pub(super) fn longest(&self) -> Duration {
        self.current.longest.max(self.last.longest)
    }

    fn turn(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.began);
        if elapsed < WINDOW {
            return;
        }
        let missed = elapsed >= WINDOW * 2;
        self.last = if missed { Counts::default() } else { self.current };
        self.current = Counts::default();
        self.began = if missed { now } else { self.began + WINDOW };
    }
}
