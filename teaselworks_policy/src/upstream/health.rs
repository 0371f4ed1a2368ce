//! Passive health checks: an upstream whose requests fail is ejected, which means that it gets no
//! requests for a while, and is then probed with a single request.

use std::time::Duration;

/// Number of consecutive requests without an answer that ejects an upstream. A single one may be
/// due to a lost packet or to a reused connection that the upstream was closing.
const CONSECUTIVE_UNANSWERED_TO_EJECT: u32 = 2;
/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection: a recovered upstream is probed within this time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Weight of the latest request in the exponential moving average of the failure rate.
const LATEST_WEIGHT: f64 = 0.1;
/// Difference between the failure rates of an upstream and of its service above which the upstream
/// is ejected.
const EXCESS_FAILURE_RATE: f64 = 0.3;

/// How a request to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The upstream answered the request without an error.
    Answered,
    /// The upstream answered with an error, or that it did not execute the request.
    Error,
    /// No valid answer was received: the upstream could not be reached, closed the connection
    /// early, did not respond, or sent something that is not an answer to the request.
    NoAnswer,
}

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_unanswered: u32,
    /// Number of ejections since a probe was last answered without an error, or since `readmit`
    /// last ended an ejection.
    ejection_count: u32,
    ejected_until: Option<Duration>,
    /// Time of the last ejection.
    ejected_at: Option<Duration>,
    /// Whether the probe, the single request that follows an ejection, is in progress. Requests
    /// that were sent before the ejection are not distinguished from the probe: the end of one
    /// clears this as well.
    is_probing: bool,
    /// Whether failures that other routers reported caused the last ejection.
    is_ejected_by_peers: bool,
    /// Exponential moving average of the fraction of requests that failed.
    failure_rate: f64,
}

impl Health {
    /// Records how a request ended. Returns true if this ejects the upstream.
    ///
    /// `mean_failure_rate` is the mean of the failure rates of all replicas of the service.
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
        let latest_rate = if outcome == RequestOutcome::Answered { 0.0 } else { 1.0 };
        self.failure_rate += LATEST_WEIGHT * (latest_rate - self.failure_rate);
        self.consecutive_unanswered = match outcome {
            RequestOutcome::NoAnswer => self.consecutive_unanswered + 1,
            RequestOutcome::Answered | RequestOutcome::Error => 0,
        };
        let was_probing = std::mem::take(&mut self.is_probing);
        if outcome == RequestOutcome::Answered {
            self.is_ejected_by_peers = false;
            if was_probing {
                self.failure_rate = mean_failure_rate;
                self.ejection_count = 0;
            }
            return false;
        }
        let is_outlier = self.failure_rate > mean_failure_rate + EXCESS_FAILURE_RATE;
        let is_unresponsive = self.consecutive_unanswered >= CONSECUTIVE_UNANSWERED_TO_EJECT;
        let has_failed_probe = was_probing && outcome == RequestOutcome::NoAnswer;
        if !(is_outlier || is_unresponsive || has_failed_probe) || self.is_ejected(now) {
            return false;
        }
        self.is_ejected_by_peers = false;
        self.eject(now);
        true
    }

    /// Ejects the upstream because of failures that other routers reported. Returns false if it is
    /// already ejected or being probed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::Health;
    ///
    /// let mut health = Health::default();
    /// assert!(health.eject_for_peer_failures(Duration::ZERO));
    /// assert!(!health.is_usable(Duration::ZERO));
    /// assert!(health.readmit());
    /// assert!(health.is_usable(Duration::ZERO));
    /// ```
    pub fn eject_for_peer_failures(&mut self, now: Duration) -> bool {
        if !self.is_usable(now) {
            return false;
        }
        self.is_ejected_by_peers = true;
        self.eject(now);
        true
    }

    /// Ends an ejection caused by failures that other routers reported, because the upstream has
    /// responded to a router since. Returns false if there was no such ejection.
    pub fn readmit(&mut self) -> bool {
        if !std::mem::take(&mut self.is_ejected_by_peers) {
            return false;
        }
        self.ejected_until = None;
        self.is_probing = false;
        self.ejection_count = 0;
        true
    }

    /// Forgets requests without an answer, and ends an ejection that began later than `since`
    /// (`None`: at any time), because this router's own link was at fault.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::Health;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut health = Health::default();
    /// health.eject_for_peer_failures(second);
    /// health.forgive_since(Some(2 * second));
    /// assert!(!health.is_usable(second));
    /// health.forgive_since(Some(second / 2));
    /// assert!(health.is_usable(second));
    /// ```
    pub fn forgive_since(&mut self, since: Option<Duration>) {
        self.consecutive_unanswered = 0;
        if self.ejected_at.is_some_and(|ejected_at| since.is_none_or(|since| ejected_at > since)) {
            *self = Self { failure_rate: self.failure_rate, ..Self::default() };
        }
    }

    fn eject(&mut self, now: Duration) {
        // The exponent is limited to keep the shift from overflowing.
        let time = BASE_EJECTION_TIME
            .saturating_mul(1 << self.ejection_count.min(8))
            .min(MAX_EJECTION_TIME);
        self.ejection_count += 1;
        self.ejected_at = Some(now);
        self.ejected_until = Some(now + time);
    }

    /// Records that a request is sent. The first request after an ejection is a probe: no other one
    /// is sent until it has ended.
    pub fn begin_request(&mut self, now: Duration) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.is_probing = true;
        }
    }

    /// Records that a request ended without telling anything about the health of the upstream, for
    /// instance because the caller left. If a probe is in progress, it counts as ended, and the
    /// upstream becomes usable again.
    pub fn end_without_outcome(&mut self) {
        self.is_probing = false;
    }

    /// Returns whether requests may be sent to the upstream.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_probing && !self.is_ejected(now)
    }

    /// Returns the exponential moving average of the fraction of requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
