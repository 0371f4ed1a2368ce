//! Growing, spread waits between tries.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Bounds of the waits between tries.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest wait after the first failure.
    pub first: Duration,
    /// Longest wait after any failure.
    pub longest: Duration,
}

impl Backoff {
    /// Returns the wait after `failures` failures in a row, at random between half and all of the
    /// bound, so that routers that failed together don't return together.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::platform::backoff::Backoff;
    ///
    /// let backoff =
    ///     Backoff { first: Duration::from_millis(100), longest: Duration::from_secs(1) };
    /// let mut random = rand_pcg::Pcg64::seed_from_u64(1);
    /// let wait = backoff.wait(2, &mut random);
    /// assert!(wait >= Duration::from_millis(100) && wait <= Duration::from_millis(200));
    /// ```
    pub fn wait(&self, failures: u32, random: &mut impl Rng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = self.first.saturating_mul(1 << doublings).min(self.longest);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
