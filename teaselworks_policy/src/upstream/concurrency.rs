//! Limit on the requests that a router has in progress at a service.
//!
//! When load exceeds what the replicas finish in time, their queues grow until every answer is
//! late. The limit bounds these queues. It needs only the time that requests wait for an answer, so
//! it also works for services that do not report their load.

use std::time::Duration;

/// Weight of the latest answer in the exponential moving average of waits.
const LATEST_WEIGHT: f64 = 0.2;
/// Fraction of the target latency that the average wait may take. Waits vary around the average, so
/// the rest is headroom that lets most answers be in time.
const TARGET_SHARE: f64 = 0.6;
/// Factor by which the limit is multiplied when answers are late.
const DECREASE_FACTOR: f64 = 0.9;

/// Adaptive limit on the requests that this router has in progress at one service.
///
/// While answers are in time, the limit grows by one each time that as many requests as it allows
/// have been answered. While they are late, it shrinks by a constant factor.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Maximum number of requests in progress; `None` (no limit) until answers are late.
    limit: Option<f64>,
    /// Exponential moving average of the waits; `None` before the first answer.
    mean_wait_s: Option<f64>,
    /// Clock reading at the last decrease of the limit.
    decreased_at: Duration,
}

impl ConcurrencyLimit {
    /// Records that a request waited for the first byte of its answer for the time `waited`, while
    /// `in_progress` requests were at the service.
    ///
    /// `target_latency` is the one of the service. The limit never falls below `min_limit`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ConcurrencyLimit;
    ///
    /// let target_latency = Duration::from_millis(300);
    /// let mut limit = ConcurrencyLimit::default();
    /// assert!(limit.allows(1_000));
    /// limit.observe(Duration::from_secs(1), Duration::from_millis(900), target_latency, 10, 3.0);
    /// assert!(limit.allows(8));
    /// assert!(!limit.allows(10));
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        waited: Duration,
        target_latency: Duration,
        in_progress: u32,
        min_limit: f64,
    ) {
        let waited_s = waited.as_secs_f64();
        let mean = self.mean_wait_s.unwrap_or(waited_s);
        let mean = mean + LATEST_WEIGHT * (waited_s - mean);
        self.mean_wait_s = Some(mean);
        if mean <= target_latency.as_secs_f64() * TARGET_SHARE {
            self.limit = self.limit.map(|limit| limit + 1.0 / limit.max(1.0));
            return;
        }
        // A request that was sent before the last decrease does not show the effect of the
        // decrease.
        if now.saturating_sub(self.decreased_at) < waited {
            return;
        }
        self.decreased_at = now;
        let in_progress = f64::from(in_progress);
        let limit = self.limit.unwrap_or(in_progress).min(in_progress) * DECREASE_FACTOR;
        self.limit = Some(limit.max(min_limit).max(1.0));
    }

    /// Returns whether another request may be sent while `in_progress` requests are in progress.
    pub fn allows(&self, in_progress: u32) -> bool {
        self.allows_with_headroom(in_progress, 1.0)
    }

    /// Returns whether another request may be sent if the limit is multiplied by `headroom`.
    pub(super) fn allows_with_headroom(&self, in_progress: u32, headroom: f64) -> bool {
        self.limit.is_none_or(|limit| f64::from(in_progress) + 1.0 <= limit * headroom)
    }
}
