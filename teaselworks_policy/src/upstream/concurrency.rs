//! How many requests a router keeps at a service that says nothing of its load.
//!
//! Answers load that presses on replicas beyond what they finish in time: their queues then hold
//! more than callers wait for, and every answer is late.

use std::time::Duration;

/// Weight of the latest answer in the running mean of waits.
const LATEST_WEIGHT: f64 = 0.2;
/// Part of what callers aim at that the mean wait may take, so that most answers are in time.
const TARGET_SHARE: f64 = 0.6;
/// Part that is left of the limit when answers are late.
const DECREASE: f64 = 0.9;

/// Limit on the requests of this router at one service: it grows by one with the answers to as many
/// requests as it allows, and shrinks while answers take too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// `None` while no answer was late.
    limit: Option<f64>,
    mean_wait_s: Option<f64>,
    lowered_at: Duration,
}

impl ConcurrencyLimit {
    /// Takes how long a request waited for the first byte of its answer, with so many requests in
    /// progress; the limit never falls below `least`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ConcurrencyLimit;
    ///
    /// let target = Duration::from_millis(300);
    /// let mut limit = ConcurrencyLimit::default();
    /// assert!(limit.allows(1_000));
    /// limit.observe(Duration::from_secs(1), Duration::from_millis(900), target, 10, 3.0);
    /// assert!(limit.allows(8));
    /// assert!(!limit.allows(10));
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        waited: Duration,
        target: Duration,
        in_progress: u32,
        least: f64,
    ) {
        let waited_s = waited.as_secs_f64();
        let mean = self.mean_wait_s.unwrap_or(waited_s);
        let mean = mean + LATEST_WEIGHT * (waited_s - mean);
        self.mean_wait_s = Some(mean);
        if mean <= target.as_secs_f64() * TARGET_SHARE {
            self.limit = self.limit.map(|limit| limit + 1.0 / limit.max(1.0));
            return;
        }
        // What an earlier decrease brought shows only in requests that were sent after it.
        if now.saturating_sub(self.lowered_at) < waited {
            return;
        }
        self.lowered_at = now;
        let in_progress = f64::from(in_progress);
        let limit = self.limit.unwrap_or(in_progress).min(in_progress) * DECREASE;
        self.limit = Some(limit.max(least).max(1.0));
    }

    /// Tells whether another request may be sent beside so many in progress.
    pub fn allows(&self, in_progress: u32) -> bool {
        self.limit.is_none_or(|limit| f64::from(in_progress) + 1.0 <= limit)
    }
}
