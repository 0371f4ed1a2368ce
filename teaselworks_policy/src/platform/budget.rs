//! Token buckets for platform calls: a share for each purpose and a common rest.

use std::time::Duration;

/// Seconds of its rate that a bucket saves up.
const BURST_S: f64 = 1.0;
/// Least size of a bucket: one call.
const LEAST_BURST_CALLS: f64 = 1.0;

/// What a platform call is made for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallPurpose {
    /// Loading, watching and patching the configuration.
    Configuration,
    /// Records of at-most-once calls.
    Once,
    /// Use records and budgets.
    Usage,
    /// Leases and orders to engines.
    Orders,
}

impl CallPurpose {
    /// Every purpose, in the order of the metrics.
    pub const ALL: [CallPurpose; 4] =
        [CallPurpose::Configuration, CallPurpose::Once, CallPurpose::Usage, CallPurpose::Orders];

    /// Returns the purpose's name in metrics.
    ///
    /// ```
    /// use teaselworks_policy::platform::budget::CallPurpose;
    ///
    /// assert_eq!(CallPurpose::Once.as_str(), "once");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            CallPurpose::Configuration => "configuration",
            CallPurpose::Once => "once",
            CallPurpose::Usage => "usage",
            CallPurpose::Orders => "orders",
        }
    }

    /// Returns the part of the router's rate that no other purpose can use up; all add up to 1.
    pub fn share(self) -> f64 {
        match self {
            CallPurpose::Configuration => 0.2,
            CallPurpose::Once => 0.4,
            CallPurpose::Usage => 0.3,
            CallPurpose::Orders => 0.1,
        }
    }
}

/// Rate limit of one router's platform calls.
///
/// Each purpose has a bucket that fills at its share of the rate. What flows over a full bucket
/// goes to a common one, from which every purpose may take. In any time `t` at most `rate * t`
/// calls and one burst pass, and a purpose never waits for another one's calls.
#[derive(Clone, Debug)]
pub struct CallBudget {
    calls_per_s: f64,
    own_calls: [f64; CallPurpose::ALL.len()],
    common_calls: f64,
    filled_at: Duration,
}

impl CallBudget {
    /// Makes a budget of full buckets.
    pub fn new(calls_per_s: f64, now: Duration) -> Self {
        let mut budget = Self {
            calls_per_s,
            own_calls: [0.0; CallPurpose::ALL.len()],
            common_calls: burst(calls_per_s),
            filled_at: now,
        };
        for purpose in CallPurpose::ALL {
            budget.own_calls[purpose as usize] = burst(calls_per_s * purpose.share());
        }
        budget
    }

    /// Takes one call, or returns how long to wait for the purpose's own share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::platform::budget::{CallBudget, CallPurpose};
    ///
    /// let mut budget = CallBudget::new(1.0, Duration::ZERO);
    /// assert!(budget.take(CallPurpose::Orders, Duration::ZERO).is_ok());
    /// assert!(budget.take(CallPurpose::Orders, Duration::ZERO).is_ok());
    /// let wait = budget.take(CallPurpose::Orders, Duration::ZERO).unwrap_err();
    /// assert_eq!(wait, Duration::from_secs(10));
    /// ```
    pub fn take(&mut self, purpose: CallPurpose, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        let own_calls = &mut self.own_calls[purpose as usize];
        if *own_calls >= 1.0 {
            *own_calls -= 1.0;
            return Ok(());
        }
        if self.common_calls >= 1.0 {
            self.common_calls -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - *own_calls) / (self.calls_per_s * purpose.share());
        Err(Duration::from_secs_f64(wait_s))
    }

    /// Returns the rate of all purposes together, in calls a second.
    pub fn calls_per_s(&self) -> f64 {
        self.calls_per_s
    }

    /// Changes the rate from now on.
    ///
    /// Buckets keep no more than fits the new rate: what was saved up at a higher one, as by
    /// routers that did not see each other yet, would pass as a burst of the whole fleet.
    pub fn set_calls_per_s(&mut self, calls_per_s: f64, now: Duration) {
        self.fill(now);
        self.calls_per_s = calls_per_s;
        for purpose in CallPurpose::ALL {
            let own_calls = &mut self.own_calls[purpose as usize];
            *own_calls = own_calls.min(burst(calls_per_s * purpose.share()));
        }
        self.common_calls = self.common_calls.min(burst(calls_per_s));
    }

    /// Empties every bucket.
    ///
    /// Called when the platform comes back. During the outage the buckets filled in every router;
    /// spent at once they would reach the platform as one burst of the whole fleet, seen as calls
    /// above the stated rate in its first second. From empty buckets each router starts at its
    /// rate.
    pub fn drain(&mut self, now: Duration) {
        self.own_calls = [0.0; CallPurpose::ALL.len()];
        self.common_calls = 0.0;
        self.filled_at = self.filled_at.max(now);
    }

    fn fill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        for purpose in CallPurpose::ALL {
            let rate = self.calls_per_s * purpose.share();
            let filled = self.own_calls[purpose as usize] + rate * elapsed_s;
            let kept = filled.min(burst(rate));
            self.own_calls[purpose as usize] = kept;
            self.common_calls += filled - kept;
        }
        self.common_calls = self.common_calls.min(burst(self.calls_per_s));
    }
}

fn burst(calls_per_s: f64) -> f64 {
    (calls_per_s * BURST_S).max(LEAST_BURST_CALLS)
}
