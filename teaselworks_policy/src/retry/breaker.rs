//! Circuit breaker of one upstream, with a slow start when it returns.

use std::fmt;
use std::time::Duration;

use crate::verdict::RefusalReason;

/// Failures in a row that open the circuit.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Attempts in a window from which the share of failures counts.
const LEAST_ATTEMPTS: u32 = 20;
/// Share of failures in a window that opens the circuit.
const FAILURE_SHARE: f64 = 0.5;
/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);
/// Time that the circuit stays open at first; doubled each time a trial fails.
const FIRST_OPEN: Duration = Duration::from_secs(1);
/// Longest time that the circuit stays open.
const LONGEST_OPEN: Duration = Duration::from_secs(30);
/// Time after which a trial without a result is taken for lost.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time over which a returning upstream's share of work grows to the whole.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of work that a returning upstream gets at first.
const FIRST_SHARE: f64 = 0.1;

/// Tells whether a failure with this reason is the upstream's own.
///
/// A full queue, a passed deadline or a lost owner says nothing about the upstream; counting them
/// would take a healthy upstream out of service just when load is highest.
///
/// ```
/// use teaselworks_policy::retry::breaker::is_upstream_failure;
/// use teaselworks_policy::verdict::RefusalReason;
///
/// assert!(is_upstream_failure(RefusalReason::UpstreamFailed));
/// assert!(!is_upstream_failure(RefusalReason::OverBound));
/// ```
pub fn is_upstream_failure(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::UpstreamFailed | RefusalReason::UpstreamUnreachable)
}

/// State of a circuit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Work passes.
    Closed,
    /// No work passes until a time.
    Open,
    /// One attempt at a time passes to try the upstream.
    HalfOpen,
}

impl fmt::Display for BreakerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BreakerState::Closed => "closed",
            BreakerState::Open => "open",
            BreakerState::HalfOpen => "half_open",
        })
    }
}

/// Permission for one attempt; its result counts only for the state that gave it.
///
/// What goes wrong without it: attempts from before an outage time out one after another long
/// after the upstream is back, and each would open the circuit again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pass {
    epoch: u64,
}

/// Circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: BreakerState,
    /// Raised whenever results of earlier attempts stop to count.
    epoch: u64,
    open_until: Duration,
    open_for: Duration,
    trial_until: Option<Duration>,
    returned_at: Option<Duration>,
    consecutive: u32,
    window_start: Duration,
    successes: u32,
    failures: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            state: BreakerState::Closed,
            epoch: 0,
            open_until: Duration::ZERO,
            open_for: FIRST_OPEN,
            trial_until: None,
            returned_at: None,
            consecutive: 0,
            window_start: Duration::ZERO,
            successes: 0,
            failures: 0,
        }
    }
}

impl Breaker {
    /// Returns the circuit's state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns permission for an attempt, or `None` while the circuit lets none pass.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::retry::breaker::Breaker;
    ///
    /// let mut breaker = Breaker::default();
    /// for _ in 0..5 {
    ///     let pass = breaker.allow(Duration::ZERO).unwrap();
    ///     breaker.failure(Duration::ZERO, pass);
    /// }
    /// assert!(breaker.allow(Duration::ZERO).is_none());
    /// ```
    pub fn allow(&mut self, now: Duration) -> Option<Pass> {
        match self.state {
            BreakerState::Closed => {}
            BreakerState::Open if now < self.open_until => return None,
            BreakerState::HalfOpen if self.trial_until.is_some_and(|until| now < until) => {
                return None;
            }
            BreakerState::Open | BreakerState::HalfOpen => {
                self.state = BreakerState::HalfOpen;
                self.epoch += 1;
                self.trial_until = Some(now + TRIAL_TIMEOUT);
            }
        }
        Some(Pass { epoch: self.epoch })
    }

    /// Notes that the upstream answered.
    pub fn success(&mut self, now: Duration, pass: Pass) {
        if pass.epoch != self.epoch {
            return;
        }
        if self.state == BreakerState::HalfOpen {
            self.close(now);
            return;
        }
        self.roll(now);
        self.consecutive = 0;
        self.successes += 1;
    }

    /// Notes a failure of the upstream's own; see [`is_upstream_failure`].
    pub fn failure(&mut self, now: Duration, pass: Pass) {
        if pass.epoch != self.epoch {
            return;
        }
        if self.state == BreakerState::HalfOpen {
            self.open_for = (self.open_for * 2).min(LONGEST_OPEN);
            self.open(now);
            return;
        }
        self.roll(now);
        self.consecutive += 1;
        self.failures += 1;
        let attempts = self.successes + self.failures;
        let share = f64::from(self.failures) / f64::from(attempts);
        if self.consecutive >= CONSECUTIVE_FAILURES
            || (attempts >= LEAST_ATTEMPTS && share >= FAILURE_SHARE)
        {
            self.open(now);
        }
    }

    /// Notes that an attempt ended without saying anything about the upstream.
    pub fn cancelled(&mut self, pass: Pass) {
        if pass.epoch == self.epoch {
            self.trial_until = None;
        }
    }

    /// Returns the share of its usual work that the upstream may carry, above 0 unless open.
    pub fn work_share(&self, now: Duration) -> f64 {
        match (self.state, self.returned_at) {
            (BreakerState::Open, _) => 0.0,
            (BreakerState::HalfOpen, _) => FIRST_SHARE,
            (BreakerState::Closed, None) => 1.0,
            (BreakerState::Closed, Some(at)) => {
                let elapsed = now.saturating_sub(at).as_secs_f64() / SLOW_START.as_secs_f64();
                (FIRST_SHARE + (1.0 - FIRST_SHARE) * elapsed).min(1.0)
            }
        }
    }

    fn open(&mut self, now: Duration) {
        self.state = BreakerState::Open;
        self.epoch += 1;
        self.open_until = now + self.open_for;
        self.trial_until = None;
    }

    fn close(&mut self, now: Duration) {
        self.state = BreakerState::Closed;
        self.epoch += 1;
        self.returned_at = Some(now);
        self.trial_until = None;
        self.start_window(now);
    }

    /// Starts a new window when the old one is over; a whole window without trouble also makes
    /// the next opening short again.
    fn roll(&mut self, now: Duration) {
        if now.saturating_sub(self.window_start) < WINDOW {
            return;
        }
        if self.failures == 0 {
            self.open_for = FIRST_OPEN;
        }
        let consecutive = self.consecutive;
        self.start_window(now);
        self.consecutive = consecutive;
    }

    fn start_window(&mut self, now: Duration) {
        self.window_start = now;
        self.consecutive = 0;
        self.successes = 0;
        self.failures = 0;
    }
}
