//! Failures of requests at a replica, as routers tell them to each other.
//!
//! Answers replicas that fall silent before many routers, of which each sends to one of them only
//! now and then and would find that out by itself for seconds.

use std::time::Duration;

use super::SharedFailures;

/// Failures that show a silent replica. A router hears its own again: one of them is not enough.
const FAILURES_TO_EJECT: u32 = 3;
/// Age at which a failure says nothing any more.
const LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    sent_at: Duration,
    /// When this router heard of them.
    heard_at: Duration,
    is_own: bool,
}

/// Failures of requests that were sent after an upstream was last heard of by any router.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    failures: Vec<Failures>,
    seen_at: Option<Duration>,
}

impl Reach {
    /// Notes the failure of a request of this router.
    pub fn fail(&mut self, now: Duration, sent_at: Duration) {
        self.add(now, Failures { count: 1, sent_at, heard_at: now, is_own: true });
    }

    /// Takes failures that another router told; tells whether the upstream seems silent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Reach, SharedFailures};
    ///
    /// let now = Duration::from_secs(9);
    /// let told = SharedFailures { incarnation: 1, count: 2, age: Duration::from_millis(400) };
    /// let mut reach = Reach::default();
    /// assert!(!reach.hear(now, &told));
    /// assert!(reach.hear(now, &told));
    /// reach.see(now);
    /// assert!(!reach.hear(now, &told), "it was heard of since these requests were sent");
    /// ```
    pub fn hear(&mut self, now: Duration, told: &SharedFailures) -> bool {
        let sent_at = now.saturating_sub(told.age);
        self.add(now, Failures { count: told.count, sent_at, heard_at: now, is_own: false });
        let known: u32 = self.failures.iter().map(|failures| failures.count).sum();
        known >= FAILURES_TO_EJECT
    }

    /// Notes that the upstream was alive at a time: what was sent before then failed on its way, or
    /// as one of few.
    pub fn see(&mut self, at: Duration) {
        self.seen_at = self.seen_at.max(Some(at));
        self.failures.retain(|failures| failures.sent_at > at);
    }

    /// Tells whether no failure is known since the upstream was last heard of.
    pub fn has_no_failure(&self) -> bool {
        self.failures.is_empty()
    }

    /// Returns the number of failures that were heard after a time, and the age of the first;
    /// `only_own` leaves out what other routers said.
    pub fn told_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
    ) -> Option<(u32, Duration)> {
        let is_new = |known: &&Failures| known.heard_at > after && (known.is_own || !only_own);
        let new = || self.failures.iter().filter(is_new);
        let first = new().map(|known| known.sent_at).min()?;
        Some((new().map(|known| known.count).sum(), now.saturating_sub(first)))
    }

    fn add(&mut self, now: Duration, failures: Failures) {
        self.failures.retain(|known| now.saturating_sub(known.heard_at) < LIFETIME);
        if self.seen_at.is_none_or(|seen_at| failures.sent_at > seen_at) {
            self.failures.push(failures);
        }
    }
}
