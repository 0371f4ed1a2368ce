//! The phases of a planned stop, which cuts no request in progress.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::times::UsualTimes;
use crate::verdict::{Refusal, RefusalReason};

/// Part of the grace period in which the router does not end, though it has nothing to do: the
/// balancer still sends it callers until it has missed two answers.
const TAKING_SHARE: f64 = 3.0 / 8.0;
/// Time before the end of the grace period at which the process ends by itself, so that the last
/// answers leave it before it is killed.
const END_MARGIN: Duration = Duration::from_millis(250);

/// What a stopping router does at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It reports that it is not ready and asks callers to reconnect elsewhere.
    Accepting,
    /// It closes idle connections, and ends when nothing is in progress.
    Finishing,
    /// It ends.
    Ended,
}

/// A request that arrives at a stopping router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time after which it ends in any case.
    pub limit: Duration,
    /// How long requests of its route take, where some have ended.
    pub usual: Option<UsualTimes>,
    /// Longest time after which its caller can still come back.
    pub latest_return: Duration,
    /// Most other routers serve, so that the caller's next one likely does.
    pub others_serve: bool,
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
    /// assert_eq!(plan.phase(Duration::from_secs(1), 0), Phase::Accepting);
    /// assert_eq!(plan.phase(Duration::from_secs(4), 3), Phase::Finishing);
    /// assert_eq!(plan.phase(Duration::from_secs(4), 0), Phase::Ended);
    /// ```
    pub fn new(grace: Duration) -> Self {
        Self { taking: grace.mul_f64(TAKING_SHARE), end: grace.saturating_sub(END_MARGIN) }
    }

    /// Tells whether a request that arrives at a time since the stop began will be done before the
    /// router ends; the refusal of one that would be cut tells when another router is likelier.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::stop::{Arrival, StopPlan};
    /// use teaselworks_policy::times::UsualTimes;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    /// let plan = StopPlan::new(8 * second);
    /// let usual = Some(UsualTimes { most: second, longest: Some(second) });
    /// let arrival =
    ///     Arrival { limit: 9 * second, usual, latest_return: second, others_serve: false };
    /// assert!(plan.admit(6 * second, &arrival, &mut random).is_ok());
    /// assert!(plan.admit(7 * second, &arrival, &mut random).is_err());
    /// ```
    pub fn admit(
        &self,
        elapsed: Duration,
        arrival: &Arrival,
        random: &mut impl Rng,
    ) -> Result<(), Refusal> {
        let left = self.end.saturating_sub(elapsed);
        // Until the balancer has turned away, an early request is better served with some risk than
        // refused; a later one must not be cut.
        let needed = match arrival.usual {
            Some(usual) if elapsed < self.taking => usual.most,
            Some(UsualTimes { longest: Some(longest), .. }) => longest,
            None if elapsed < self.taking => Duration::ZERO,
            Some(_) | None => arrival.limit,
        };
        if needed.min(arrival.limit) <= left {
            return Ok(());
        }
        let wait = if arrival.others_serve { Duration::ZERO } else { left + END_MARGIN };
        let spread = random.random_range(0.5..1.0);
        let retry_after = wait.min(arrival.latest_return).mul_f64(spread);
        Err(Refusal::not_run(RefusalReason::Stopping, Some(retry_after)))
    }

    /// Returns the phase at a time since the stop began, with so many requests in progress.
    pub fn phase(&self, elapsed: Duration, in_progress: usize) -> Phase {
        if elapsed < self.taking {
            return Phase::Accepting;
        }
        if elapsed >= self.end || in_progress == 0 {
            return Phase::Ended;
        }
        Phase::Finishing
    }
}
