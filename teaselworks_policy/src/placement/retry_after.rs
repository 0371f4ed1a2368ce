//! Computes the retry-after times of refused callers.
//!
//! Under overload, many callers are refused at once. Callers that retry at the same time, or before
//! the service has room, are refused again.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Minimum retry-after time: a caller that retries sooner finds the same requests still in
/// progress.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time constant of the exponential decay of the placement rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Share of the placement rate at which refused callers retry. New requests take the rest while
/// callers are being refused.
const RETRY_SHARE: f64 = 0.1;
/// Minimum placement rate to assume, in requests per second, so that callers still retry now and
/// then at a service where no requests are placed.
const MIN_PLACED_PER_S: f64 = 1.0;

/// Schedule of the retries of refused callers at one service.
///
/// Callers retry one after the other, at a share of the rate at which requests are placed at the
/// service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfterSchedule {
    /// Time of the last scheduled retry.
    last_retry_at: Duration,
    /// Placement rate in requests per second at `placed_at`.
    placed_per_s: f64,
    /// Time of the last placement.
    placed_at: Duration,
    /// Time of the last refusal.
    refused_at: Option<Duration>,
}

impl RetryAfterSchedule {
    /// Counts a placed request towards the placement rate.
    pub fn on_placed(&mut self, now: Duration) {
        self.placed_per_s = self.placement_rate(now) + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.placed_at = now;
    }

    /// Records a refusal whose retry is not scheduled.
    pub fn on_refused(&mut self, now: Duration) {
        self.refused_at = Some(now);
    }

    /// Schedules a retry for a caller that is refused now. Returns the retry-after time, which is
    /// at most `max_retry_after`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::placement::RetryAfterSchedule;
    ///
    /// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut schedule = RetryAfterSchedule::default();
    /// let second = Duration::from_secs(1);
    /// let first = schedule.next_retry_after(Duration::ZERO, 60 * second, &mut random);
    /// assert!(schedule.next_retry_after(Duration::ZERO, 60 * second, &mut random) > first);
    /// ```
    pub fn next_retry_after(
        &mut self,
        now: Duration,
        max_retry_after: Duration,
        random: &mut impl Rng,
    ) -> Duration {
        self.on_refused(now);
        let retries_per_s = self.placement_rate(now).max(MIN_PLACED_PER_S) * RETRY_SHARE;
        let retry_at = self.last_retry_at.max(now + MIN_RETRY_AFTER)
            + Duration::from_secs_f64(1.0 / retries_per_s);
        let retry_after = retry_at.saturating_sub(now);
        if retry_after > max_retry_after {
            // The caller cannot wait that long, so the scheduled time stays free for another
            // caller. The random time keeps such callers from retrying at the same moment.
            return max_retry_after.mul_f64(random.random_range(0.75..1.0));
        }
        self.last_retry_at = retry_at;
        retry_after
    }

    /// Returns the time of the last refusal, if there was one.
    pub fn refused_at(&self) -> Option<Duration> {
        self.refused_at
    }

    /// Returns the decayed placement rate in requests per second.
    fn placement_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.placed_at).as_secs_f64();
        self.placed_per_s * (-age / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
