//! Whether this router reaches the replicas of a service.
//!
//! A router whose own network fails sees the same as one whose replicas all fail. It takes the
//! service for unreachable in both cases and forwards to other routers, which can distinguish them.

use std::sync::Arc;
use std::time::Duration;

/// Number of connections in a row that cannot be opened, each to another replica if the service has
/// as many, that marks the link to the service as down.
const FAILURES_TO_MARK_DOWN: usize = 4;
/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// Time without data from any replica, while requests are in progress, after which the link is
/// probed.
const SILENCE_TO_PROBE: Duration = Duration::from_millis(400);

/// The change of a link that an observation caused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// No replica can be reached any more. Gives the number of replicas that were tried, and the
    /// time since data last arrived from any of them.
    Down {
        /// Replicas to which a connection could not be opened.
        failed_replicas: usize,
        /// Time since data last arrived; `None` if none ever did.
        silent_for: Option<Duration>,
    },
    /// A replica can be reached again. Gives the time for which none was.
    Up {
        /// Time for which the link was down.
        down_for: Duration,
    },
}

/// This router's link to the replicas of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceLink {
    /// Replicas to which a connection could not be opened since one could be to any, with the time
    /// of the last failure.
    failures: Vec<(Arc<str>, Duration)>,
    /// Number of connections that could not be opened since one last was.
    failure_count: usize,
    down_since: Option<Duration>,
    /// Time at which data last arrived from a replica.
    heard_at: Option<Duration>,
    /// Time at which a connection was last opened or data last arrived.
    contact_at: Option<Duration>,
    in_progress: u32,
    /// Time since which requests are in progress and no data has arrived.
    waiting_since: Option<Duration>,
}

impl ServiceLink {
    /// Records that a connection to a replica was opened.
    pub fn on_connected(&mut self, now: Duration) -> Option<LinkChange> {
        self.failures.clear();
        self.failure_count = 0;
        self.contact_at = Some(now);
        self.restart_wait(now);
        let down_since = self.down_since.take()?;
        Some(LinkChange::Up { down_for: now.saturating_sub(down_since) })
    }

    /// Records that a connection to a replica could not be opened. `replicas` is the number of
    /// replicas that take requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ServiceLink;
    ///
    /// let now = Duration::from_secs(9);
    /// let mut link = ServiceLink::default();
    /// for _ in 0..4 {
    ///     assert!(link.on_connect_failed(now, &"i-1".into(), 2).is_none(), "the same replica");
    /// }
    /// assert!(link.on_connect_failed(now, &"i-2".into(), 2).is_some());
    /// assert!(link.is_down());
    /// assert!(link.on_connected(now).is_some());
    /// assert!(!link.is_down());
    /// ```
    pub fn on_connect_failed(
        &mut self,
        now: Duration,
        replica: &Arc<str>,
        replicas: usize,
    ) -> Option<LinkChange> {
        self.failures.retain(|(_, at)| now.saturating_sub(*at) < FAILURE_LIFETIME);
        if self.failures.is_empty() {
            self.failure_count = 0;
        }
        self.failures.retain(|(failed, _)| failed != replica);
        self.failures.push((replica.clone(), now));
        self.failure_count += 1;
        let failed_replicas = self.failures.len();
        let is_conclusive = self.failure_count >= FAILURES_TO_MARK_DOWN
            && failed_replicas >= replicas.min(FAILURES_TO_MARK_DOWN);
        if self.is_down() || !is_conclusive {
            return None;
        }
        self.down_since = Some(now);
        let silent_for = self.heard_at.map(|heard_at| now.saturating_sub(heard_at));
        Some(LinkChange::Down { failed_replicas, silent_for })
    }

    /// Records that data arrived from a replica. This does not bring up a link that is down:
    /// connections that are open may work while no new one can be opened.
    pub fn on_data(&mut self, now: Duration) {
        self.heard_at = Some(now);
        self.contact_at = Some(now);
        self.restart_wait(now);
    }

    /// Counts a request that is sent to a replica.
    pub fn begin_request(&mut self, now: Duration) {
        self.in_progress += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if self.in_progress == 0 {
            self.waiting_since = None;
        }
    }

    /// Returns whether no new connection to the service can be opened.
    pub fn is_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Returns whether open connections are of no use either: none of them has carried data lately.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.heard_at.is_none_or(|heard_at| now.saturating_sub(heard_at) >= SILENCE_TO_PROBE)
    }

    /// Returns the time at which a connection to any replica last opened or carried data.
    pub fn contact_at(&self) -> Option<Duration> {
        self.contact_at
    }

    /// Returns the number of replicas to open a connection to in order to find out whether the
    /// service can be reached; 0 if there is no reason to doubt it.
    pub fn probes_due(&mut self, now: Duration) -> usize {
        if self.is_down() {
            return 1;
        }
        let is_waiting =
            self.waiting_since.is_some_and(|since| now.saturating_sub(since) >= SILENCE_TO_PROBE);
        match (is_waiting, self.failures.is_empty()) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => FAILURES_TO_MARK_DOWN,
        }
    }

    fn restart_wait(&mut self, now: Duration) {
        self.waiting_since = (self.in_progress > 0).then_some(now);
    }
}
