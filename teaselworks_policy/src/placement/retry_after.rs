//! When callers that were refused come back.
//!
//! Answers many refusals at once: callers that return together, or sooner than there is room, are
//! refused again.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Shortest time after which a caller comes back: sooner it would meet the same requests.
const SHORTEST_RETURN: Duration = Duration::from_millis(50);
/// Time over which placements are counted for the rate.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Part of the places that returning callers get: while any are refused, new ones take the rest.
const RETURN_SHARE: f64 = 0.1;
/// Smallest rate: a service that places nothing is asked now and then.
const LEAST_PER_S: f64 = 1.0;

/// Schedule of returns to one service: one after the other, at a part of the rate at which requests
/// are placed there.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfterSchedule {
    next: Duration,
    placed_per_s: f64,
    placed_at: Duration,
    refused_at: Option<Duration>,
}

impl RetryAfterSchedule {
    /// Counts a request that was placed.
    pub fn on_placed(&mut self, now: Duration) {
        self.placed_per_s = self.rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.placed_at = now;
    }

    /// Returns the time after which a caller that is refused now should come back, at most
    /// `latest`.
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
        latest: Duration,
        random: &mut impl Rng,
    ) -> Duration {
        self.refused_at = Some(now);
        let rate = self.rate(now).max(LEAST_PER_S) * RETURN_SHARE;
        let next = self.next.max(now + SHORTEST_RETURN) + Duration::from_secs_f64(1.0 / rate);
        let wait = next.saturating_sub(now);
        if wait > latest {
            // It cannot wait for its turn, which another one gets.
            return latest.mul_f64(random.random_range(0.75..1.0));
        }
        self.next = next;
        wait
    }

    /// Returns when a caller was last refused.
    pub fn refused_at(&self) -> Option<Duration> {
        self.refused_at
    }

    fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.placed_at).as_secs_f64();
        self.placed_per_s * (-age / RATE_TIME.as_secs_f64()).exp()
    }
}
