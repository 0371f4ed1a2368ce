//! Phases of a planned stop, and which requests a stopping router still accepts.
//!
//! A request that is accepted during a stop is expected to end before the process exits.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::durations::DurationEstimate;
use crate::verdict::{Refusal, RefusalReason};

/// Share of the grace period in which the router keeps running even when no request is in progress.
/// The load balancer keeps sending it callers until two health checks have failed.
const ACCEPTING_SHARE: f64 = 3.0 / 8.0;
/// Longest time for which it does.
const MAX_ACCEPTING: Duration = Duration::from_secs(3);
/// Time by which the signal that begins a stop may be late, beyond the delay that is known.
const SIGNAL_MARGIN: Duration = Duration::from_millis(50);
/// Time before the end of the grace period at which the process exits on its own, so that the last
/// answers are sent before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time before the exit at which the answers that have not begun are given up.
const CLOSING_MARGIN: Duration = Duration::from_millis(50);

/// Phase of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The router reports that it is not ready and requests callers to reconnect elsewhere, but
    /// still accepts requests.
    Accepting,
    /// The router closes idle connections, and exits as soon as no request is in progress.
    Finishing,
    /// Requests whose answer has not begun get a final answer from the router, since the process is
    /// about to exit.
    Closing,
    /// The process exits.
    Ended,
}

/// How a stopping router serves a request that it accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// Like any other.
    Unchanged,
    /// The caller gets the answer only once it is whole, since the process might exit before. What
    /// is not whole by then ends with a final answer of the router.
    WholeAnswerOnly,
}

impl Acceptance {
    /// Returns the name in logs.
    ///
    /// ```
    /// use teaselworks_policy::stop::Acceptance;
    ///
    /// assert_eq!(Acceptance::Unchanged.as_str(), "unchanged");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Acceptance::Unchanged => "unchanged",
            Acceptance::WholeAnswerOnly => "whole_answer_only",
        }
    }
}

/// A request that arrives at a stopping router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time left until the deadline of the request, at which it ends in any case.
    pub remaining: Duration,
    /// How long requests of its route take; `None` while none has ended.
    pub duration_estimate: Option<DurationEstimate>,
    /// Longest retry-after time that leaves the caller enough time for the retry to be answered.
    pub max_retry_after: Duration,
    /// Whether most other routers are serving, so that a caller that reconnects likely reaches one
    /// of them.
    pub has_serving_peers: bool,
    /// Whether another router forwards the request, which can choose a third one instead.
    pub is_forwarded: bool,
    /// Whether the caller may repeat the request at another router after it was given up.
    pub is_idempotent: bool,
    /// Time after which the caller leaves if it has got nothing of a stream; `None` if the answer is
    /// no stream.
    pub stream_patience: Option<Duration>,
}

/// Schedule of a stop, as times since it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// End of [`Phase::Accepting`].
    accepting_until: Duration,
    /// End of the time in which a request may be accepted that possibly outlasts the process.
    typical_until: Duration,
    /// Time from which answers that have not begun are given up.
    closing_at: Duration,
    /// Time at which the process exits, even with requests in progress.
    exit_at: Duration,
}

impl StopPlan {
    /// Creates the schedule for a grace period, at the end of which the process is killed.
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
        let accepting_until = grace.mul_f64(ACCEPTING_SHARE).min(MAX_ACCEPTING);
        let exit_at = grace.saturating_sub(EXIT_MARGIN);
        Self {
            accepting_until,
            typical_until: accepting_until.saturating_sub(SIGNAL_MARGIN),
            closing_at: exit_at.saturating_sub(CLOSING_MARGIN),
            exit_at,
        }
    }

    /// Returns the schedule for a stop whose signal was sent up to `delay` before the stop began.
    ///
    /// The platform counts from the signal: the times that must not be too late are earlier by the
    /// delay, as far as they have no margin of their own for it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::stop::{Phase, StopPlan};
    ///
    /// let plan = StopPlan::new(Duration::from_secs(8)).with_signal_delay(Duration::from_secs(1));
    /// assert_eq!(plan.phase(Duration::from_secs(6), 3), Phase::Finishing);
    /// assert_eq!(plan.phase(Duration::from_secs(7), 3), Phase::Ended);
    /// ```
    pub fn with_signal_delay(self, delay: Duration) -> Self {
        let unexpected = delay.saturating_sub(EXIT_MARGIN - CLOSING_MARGIN);
        let exit_at = self.exit_at.saturating_sub(unexpected);
        Self {
            accepting_until: self.accepting_until,
            typical_until: self.typical_until.saturating_sub(delay),
            closing_at: exit_at.saturating_sub(CLOSING_MARGIN),
            exit_at,
        }
    }

    /// Admits a request that arrives at the time `since_stop` after the beginning of the stop if it
    /// is expected to end before the process exits.
    ///
    /// Refuses it otherwise. The refusal's `retry_after` is zero if most other routers are
    /// serving. Otherwise it is a random time between half and all of the time until the process is
    /// killed, or until `max_retry_after` if that is shorter: by then another router is more likely
    /// to be serving.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::stop::{Acceptance, Arrival, StopPlan};
    /// use teaselworks_policy::durations::DurationEstimate;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    /// let plan = StopPlan::new(8 * second);
    /// let duration_estimate =
    ///     Some(DurationEstimate { typical: second, upper_bound: Some(second) });
    /// let arrival = Arrival {
    ///     remaining: 9 * second,
    ///     duration_estimate,
    ///     max_retry_after: second,
    ///     has_serving_peers: false,
    ///     is_forwarded: false,
    ///     is_idempotent: false,
    ///     stream_patience: Some(2 * second),
    /// };
    /// assert_eq!(plan.admit(second, &arrival, &mut random), Ok(Acceptance::Unchanged));
    /// assert_eq!(plan.admit(6 * second, &arrival, &mut random), Ok(Acceptance::WholeAnswerOnly));
    /// assert!(plan.admit(7 * second, &arrival, &mut random).is_err());
    /// ```
    pub fn admit(
        &self,
        since_stop: Duration,
        arrival: &Arrival,
        random: &mut impl Rng,
    ) -> Result<Acceptance, Refusal> {
        let time_left = self.closing_at.saturating_sub(since_stop);
        // At its deadline a request ends in any case.
        if arrival.remaining <= time_left {
            return Ok(Acceptance::Unchanged);
        }
        // While the load balancer still sends callers here, a request is accepted if a typical one
        // of its route ends in time: the risk of cutting it off is better than a certain refusal.
        // While no request of the route has ended, it is always accepted.
        if since_stop < self.typical_until && !arrival.is_forwarded {
            let typical = arrival.duration_estimate.map(|estimate| estimate.typical);
            if typical.unwrap_or_default() <= time_left {
                return Ok(Acceptance::Unchanged);
            }
        }
        // Later, no estimate is certain enough to begin an answer that can't be taken back: a longer
        // request than all before may come at any time. One that its caller can't repeat is accepted
        // only if even the longest ones end in time.
        let expected = arrival.duration_estimate.and_then(|estimate| {
            if arrival.is_idempotent { Some(estimate.typical) } else { estimate.upper_bound }
        });
        let patience = arrival.stream_patience.unwrap_or(Duration::MAX);
        if expected.is_some_and(|expected| expected <= time_left.min(patience)) {
            return Ok(Acceptance::WholeAnswerOnly);
        }
        let until_kill = time_left + CLOSING_MARGIN + EXIT_MARGIN;
        let wait = if arrival.has_serving_peers { Duration::ZERO } else { until_kill };
        let jitter = random.random_range(0.5..1.0);
        let retry_after = wait.min(arrival.max_retry_after).mul_f64(jitter);
        Err(Refusal::not_run(RefusalReason::Stopping, Some(retry_after)))
    }

    /// Returns the phase at the time `since_stop` after the beginning of the stop, with
    /// `in_progress` requests in progress.
    pub fn phase(&self, since_stop: Duration, in_progress: usize) -> Phase {
        if since_stop < self.accepting_until.min(self.closing_at) {
            return Phase::Accepting;
        }
        if since_stop >= self.exit_at || in_progress == 0 {
            return Phase::Ended;
        }
        if since_stop >= self.closing_at {
            return Phase::Closing;
        }
        Phase::Finishing
    }
}
