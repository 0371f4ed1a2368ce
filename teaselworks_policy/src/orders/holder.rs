//! Until when the holder of the platform's lease may send orders.

use std::time::Duration;

use super::roles::RELEASE_TIME;
use crate::once::window::Reading;
use crate::platform::budget::CallPurpose;

/// Longest time that one order is given.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time kept free at the end of a lease, and waited for at the start of the next holder's.
const MARGIN: Duration = Duration::from_secs(2);

/// Shortest time between two calls of the platform for the lease.
const SHORTEST_STEP: Duration = Duration::from_millis(1_500);
/// Steps that a lease lasts: a renewal takes two, so two may fail before it ends.
const LEASE_STEPS: u32 = 8;

/// How often the platform is called for the lease, and how long the lease is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderTiming {
    /// Time between two calls.
    pub step: Duration,
    /// Time to live, in whole seconds.
    pub ttl: Duration,
}

impl HolderTiming {
    /// Returns the timing for a router that may call the platform `calls_per_s` times a second.
    ///
    /// Steps fit the share of the orders alone: in a large fleet, whose routers may each call
    /// seldom, a shorter lease would end whenever other purposes use up their own shares.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::orders::HolderTiming;
    ///
    /// assert_eq!(HolderTiming::of(20.0).ttl, Duration::from_secs(12));
    /// assert_eq!(HolderTiming::of(1.5).ttl, Duration::from_secs(54));
    /// ```
    pub fn of(calls_per_s: f64) -> Self {
        let own_calls_per_s = calls_per_s * CallPurpose::Orders.share();
        let step = Duration::try_from_secs_f64(1.0 / own_calls_per_s).unwrap_or(Duration::MAX);
        let step = step.max(SHORTEST_STEP);
        let ttl_s = step.saturating_mul(LEASE_STEPS).as_secs_f64().ceil();
        let ttl = Duration::try_from_secs_f64(ttl_s).unwrap_or(Duration::MAX);
        Self { step, ttl }
    }
}

/// One holder's time, from the creation of its key on.
///
/// An engine that ignores fencing numbers obeys whoever asks. Two holders whose orders mix would
/// show as an engine that goes back to an old version. So the old one stops while the lease is
/// still surely its own, counted from before it asked, and the new one begins only after the
/// longest order of the old one has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderTerm {
    fencing: u64,
    began_at: Reading,
    asked_at: Reading,
    ttl: Duration,
}

impl HolderTerm {
    /// Begins a term whose key was created at revision `fencing`, seen at `now`, under a lease that
    /// was asked for at `asked_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::once::window::Reading;
    /// use teaselworks_policy::orders::HolderTerm;
    ///
    /// let at = |s| Reading { monotonic: Duration::from_secs(s), wall: Duration::from_secs(s) };
    /// let term = HolderTerm::new(7, at(0), at(0), Duration::from_secs(10));
    /// assert_eq!(term.fencing_at(&at(1)), None);
    /// assert_eq!(term.fencing_at(&at(5)), Some(7));
    /// assert_eq!(term.fencing_at(&at(7)), None);
    /// ```
    pub fn new(fencing: u64, asked_at: Reading, now: Reading, ttl: Duration) -> Self {
        Self { fencing, began_at: now, asked_at, ttl }
    }

    /// Returns the fencing number, whether or not an order may be sent.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Takes a renewal that was asked for at `asked_at`.
    pub fn renew(&mut self, asked_at: Reading, ttl: Duration) {
        self.asked_at = asked_at;
        self.ttl = ttl;
    }

    /// Returns the fencing number of an order sent now; `None` when none may be sent.
    pub fn fencing_at(&self, now: &Reading) -> Option<u64> {
        let waited = now.since(&self.began_at) >= ORDER_TIMEOUT + MARGIN;
        let ends_in_time = now.since(&self.asked_at) + ORDER_TIMEOUT + MARGIN <= self.ttl;
        (waited && ends_in_time).then_some(self.fencing)
    }
}

/// How long an owner's promise holds that an engine gets no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReleaseTerm {
    asked_at: Reading,
}

impl ReleaseTerm {
    /// Begins the term of a release that was asked for at `asked_at`: the owner's own count begins
    /// no earlier.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::once::window::Reading;
    /// use teaselworks_policy::orders::ReleaseTerm;
    ///
    /// let at = |s| Reading { monotonic: Duration::from_secs(s), wall: Duration::from_secs(s) };
    /// let term = ReleaseTerm::new(at(0));
    /// assert!(term.may_send(&at(3)));
    /// assert!(!term.may_send(&at(5)));
    /// ```
    pub fn new(asked_at: Reading) -> Self {
        Self { asked_at }
    }

    /// Tells whether an order sent now ends while the engine surely gets no new work.
    pub fn may_send(&self, now: &Reading) -> bool {
        now.since(&self.asked_at) + ORDER_TIMEOUT + MARGIN <= RELEASE_TIME
    }
}
