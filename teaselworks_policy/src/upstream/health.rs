//! Whether an upstream should get requests, from what became of earlier ones.

use std::time::Duration;

/// Failures to connect or to be answered in a row that eject an upstream. One may be a lost packet
/// or a reused connection that was just being closed.
const FAILURES_TO_EJECT: u32 = 2;
/// Time without requests after the first ejection; it doubles with each that follows.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest time without requests: an upstream that is back is found within it.
const LONGEST_EJECTION: Duration = Duration::from_secs(8);
/// Weight of the latest answer in the running share of failed answers.
const LATEST_WEIGHT: f64 = 0.1;
/// Share of failed answers, beyond the mean of the service, that ejects an upstream.
const EXCESS_FAILURES: f64 = 0.3;

/// What became of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// It answered.
    Answered,
    /// It answered that it failed.
    ErrorAnswer,
    /// It could not be reached, broke off, was silent, or sent what was no answer to the request.
    NoAnswer,
}

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    broken_in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    is_on_trial: bool,
    /// Other routers' failures ejected it.
    is_by_word: bool,
    failure_rate: f64,
}

impl Health {
    /// Takes what became of a request; `mean_failure_rate` is that of the whole service. Tells
    /// whether the upstream is ejected now that was not before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Health, RequestOutcome};
    ///
    /// let mut health = Health::default();
    /// assert!(!health.observe(Duration::ZERO, RequestOutcome::NoAnswer, 0.0));
    /// assert!(health.observe(Duration::ZERO, RequestOutcome::NoAnswer, 0.0));
    /// assert!(!health.is_usable(Duration::from_millis(500)));
    /// assert!(health.is_usable(Duration::from_millis(1_000)));
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        outcome: RequestOutcome,
        mean_failure_rate: f64,
    ) -> bool {
        let failed = if outcome == RequestOutcome::Answered { 0.0 } else { 1.0 };
        self.failure_rate += LATEST_WEIGHT * (failed - self.failure_rate);
        self.broken_in_a_row = match outcome {
            RequestOutcome::NoAnswer => self.broken_in_a_row + 1,
            RequestOutcome::Answered | RequestOutcome::ErrorAnswer => 0,
        };
        let was_on_trial = std::mem::take(&mut self.is_on_trial);
        if outcome == RequestOutcome::Answered {
            self.is_by_word = false;
            if was_on_trial {
                self.failure_rate = mean_failure_rate;
                self.ejections = 0;
            }
            return false;
        }
        let is_grey = self.failure_rate > mean_failure_rate + EXCESS_FAILURES;
        let is_broken = self.broken_in_a_row >= FAILURES_TO_EJECT;
        let failed_trial = was_on_trial && outcome == RequestOutcome::NoAnswer;
        if !(is_grey || is_broken || failed_trial) || self.is_ejected(now) {
            return false;
        }
        self.is_by_word = false;
        self.eject(now);
        true
    }

    /// Ejects the upstream for failures that other routers met; false where it is not in use already.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::Health;
    ///
    /// let mut health = Health::default();
    /// assert!(health.eject_by_word(Duration::ZERO));
    /// assert!(!health.is_usable(Duration::ZERO));
    /// assert!(health.readmit());
    /// assert!(health.is_usable(Duration::ZERO));
    /// ```
    pub fn eject_by_word(&mut self, now: Duration) -> bool {
        if !self.is_usable(now) {
            return false;
        }
        self.is_by_word = true;
        self.eject(now);
        true
    }

    /// Takes back an ejection for other routers' failures, since one of them was answered; false
    /// where there was none.
    pub fn readmit(&mut self) -> bool {
        if !std::mem::take(&mut self.is_by_word) {
            return false;
        }
        self.ejected_until = None;
        self.is_on_trial = false;
        self.ejections = 0;
        true
    }

    fn eject(&mut self, now: Duration) {
        let time = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + time);
    }

    /// Notes that a request is sent: the first after an ejection is a trial, and no other follows
    /// until it has ended.
    pub fn begin_request(&mut self, now: Duration) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.is_on_trial = true;
        }
    }

    /// Notes that a request ended of which nothing was learnt: a trial is made again.
    pub fn forget_trial(&mut self) {
        self.is_on_trial = false;
    }

    /// Tells whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_on_trial && !self.is_ejected(now)
    }

    /// Returns the running share of requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
