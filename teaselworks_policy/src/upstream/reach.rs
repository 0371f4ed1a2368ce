//! Failures of requests to a replica that routers share with each other.
//!
//! In a large fleet each router sends a request to a given replica only now and then. On its own it
//! would take seconds to find out that the replica does not respond any more.

use std::time::Duration;

use super::SharedFailures;

/// Number of failures, over all routers, that marks a replica as unresponsive. Other routers pass a
/// router's own failures back to it, so that one failure may count twice and must not be enough.
const FLEET_FAILURES_TO_EJECT: u32 = 3;
/// Time for which a failure is kept after this router got notice of it.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// Failed requests of which this router got notice at the same time.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    /// When the first of the requests was sent.
    sent_at: Duration,
    /// When this router got notice of the failures.
    received_at: Duration,
    /// Whether this router sent the requests.
    is_own: bool,
}

/// Failures of requests that were sent after the upstream last responded to any router.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failures: Vec<Failures>,
    /// When the upstream last responded to any router, as far as this router is aware.
    responded_at: Option<Duration>,
}

impl Reachability {
    /// Records the failure of a request that this router sent at `sent_at`.
    pub fn on_failed(&mut self, now: Duration, sent_at: Duration) {
        self.add(now, Failures { count: 1, sent_at, received_at: now, is_own: true });
    }

    /// Records failures that another router shared. Returns whether the upstream is considered
    /// unresponsive.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Reachability, SharedFailures};
    ///
    /// let now = Duration::from_secs(9);
    /// let shared = SharedFailures { incarnation: 1, count: 2, age: Duration::from_millis(400) };
    /// let mut reachability = Reachability::default();
    /// assert!(!reachability.apply_shared_failures(now, &shared));
    /// assert!(reachability.apply_shared_failures(now, &shared));
    /// reachability.on_response(now);
    /// assert!(
    ///     !reachability.apply_shared_failures(now, &shared),
    ///     "the upstream has responded since these requests were sent"
    /// );
    /// ```
    pub fn apply_shared_failures(&mut self, now: Duration, shared: &SharedFailures) -> bool {
        let sent_at = now.saturating_sub(shared.age);
        self.add(now, Failures { count: shared.count, sent_at, received_at: now, is_own: false });
        let known: u32 = self.failures.iter().map(|failures| failures.count).sum();
        known >= FLEET_FAILURES_TO_EJECT
    }

    /// Records that the upstream responded at the time `at`. Requests that were sent before and
    /// failed do not show that it is unresponsive: they were lost on the way or are isolated
    /// failures.
    pub fn on_response(&mut self, at: Duration) {
        self.responded_at = self.responded_at.max(Some(at));
        self.failures.retain(|failures| failures.sent_at > at);
    }

    /// Returns whether no failure is known since the upstream last responded.
    pub fn has_no_failure(&self) -> bool {
        self.failures.is_empty()
    }

    /// Returns the number of failures that this router learnt of later than the clock reading
    /// `after`, and the time since the first of these requests was sent. With `only_own`, leaves
    /// out failures of other routers.
    ///
    /// Own failures count only if this router has been in contact with some replica of the service
    /// (`contact_at`) since it sent the request. Otherwise its own link may be at fault.
    pub fn failures_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
        contact_at: Option<Duration>,
    ) -> Option<(u32, Duration)> {
        let is_shared = |known: &&Failures| match known.is_own {
            true => contact_at.is_some_and(|contact_at| contact_at > known.sent_at),
            false => !only_own,
        };
        let is_new = |known: &&Failures| known.received_at > after && is_shared(known);
        let new = || self.failures.iter().filter(is_new);
        let first = new().map(|known| known.sent_at).min()?;
        Some((new().map(|known| known.count).sum(), now.saturating_sub(first)))
    }

    fn add(&mut self, now: Duration, failures: Failures) {
        self.failures.retain(|known| now.saturating_sub(known.received_at) < FAILURE_LIFETIME);
        if self.responded_at.is_none_or(|responded_at| failures.sent_at > responded_at) {
            self.failures.push(failures);
        }
    }
}
