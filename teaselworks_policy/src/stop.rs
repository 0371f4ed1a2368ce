//! The phases of a planned stop, which cuts no request in progress.

use std::time::Duration;

/// Part of the grace period in which new requests are still taken.
///
/// The balancer asks each second and turns away after two misses; a request can therefore arrive
/// until well over two seconds after the stop began. Three eighths of eight seconds are three.
const TAKING_SHARE: f64 = 3.0 / 8.0;
/// Time before the end of the grace period at which the process ends by itself, so that the last
/// answers leave it before it is killed.
const END_MARGIN: Duration = Duration::from_millis(250);

/// What a stopping router does at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It reports that it is not ready, serves what arrives, and asks callers to reconnect elsewhere.
    Taking,
    /// It refuses new requests and finishes those in progress.
    Finishing,
    /// It ends.
    Ended,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    taking: Duration,
    end: Duration,
}

impl StopPlan {
    /// Makes the plan for a grace period, after which the process is killed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::stop::{Phase, StopPlan};
    ///
    /// let plan = StopPlan::new(Duration::from_secs(8));
    /// assert_eq!(plan.phase(Duration::from_secs(1), 0), Phase::Taking);
    /// assert_eq!(plan.phase(Duration::from_secs(4), 3), Phase::Finishing);
    /// assert_eq!(plan.phase(Duration::from_secs(4), 0), Phase::Ended);
    /// ```
    pub fn new(grace: Duration) -> Self {
        Self { taking: grace.mul_f64(TAKING_SHARE), end: grace.saturating_sub(END_MARGIN) }
    }

    /// Returns the phase at a time since the stop began, with so many requests in progress.
    pub fn phase(&self, elapsed: Duration, in_progress: usize) -> Phase {
        if elapsed < self.taking {
            return Phase::Taking;
        }
        if elapsed >= self.end || in_progress == 0 {
            return Phase::Ended;
        }
        Phase::Finishing
    }
}
