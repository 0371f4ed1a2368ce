//! Requests that were recently answered, by their fingerprints.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which an answer is remembered at least, unless there are too many.
const MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of requests in each of the two generations.
const MAX_REQUESTS: usize = 2_048;

/// Fingerprints of answered requests, by the clock reading at which the answered attempt was sent.
///
/// Two generations bound the memory: the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    newer: HashMap<u64, Duration>,
    older: HashMap<u64, Duration>,
    began_at: Duration,
}

impl AnsweredRequests {
    /// Records that an attempt which was sent at `sent_at` was answered completely.
    pub(super) fn insert(&mut self, now: Duration, fingerprint: u64, sent_at: Duration) {
        self.advance(now);
        let known = self.newer.entry(fingerprint).or_default();
        *known = sent_at.max(*known);
    }

    /// Returns when the last answered attempt was sent, if that is remembered.
    pub(super) fn find(&self, fingerprint: u64) -> Option<Duration> {
        self.newer.get(&fingerprint).or(self.older.get(&fingerprint)).copied()
    }

    fn advance(&mut self, now: Duration) {
        let is_over = now.saturating_sub(self.began_at) >= MEMORY;
        if is_over || self.newer.len() >= MAX_REQUESTS {
            self.older = std::mem::take(&mut self.newer);
            self.began_at = now;
        }
    }
}
