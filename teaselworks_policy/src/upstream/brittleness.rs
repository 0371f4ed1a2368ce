//! Replicas that say they are brittle: one that has to reject too many requests within a second for
//! want of room falls over.

use std::time::Duration;

/// Requests per slot up to which brittle replicas get requests, which leaves room for those that
/// other routers send meanwhile.
const REQUESTS_PER_SLOT: f64 = 0.8;
/// The same for routers that share load reports: these are older, and more routers act on them.
const REQUESTS_PER_SLOT_WITH_SHARED_REPORTS: f64 = 0.6;
/// Time for which a statement of a replica is valid. All answers of a brittle service repeat it.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(5);
/// Shortest time for which a router sends nothing to a brittle replica that rejected a request.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Share of the rejections that a replica can bear which the routers together may cause.
const USED_REJECTION_SHARE: f64 = 0.5;

/// Whether the replicas of a service are brittle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// Largest number of requests that a replica can reject within a second, and when it was last
    /// stated.
    stated: Option<(u32, Duration)>,
}

impl Brittleness {
    /// Records that a replica says it is brittle. Returns whether that was not known before.
    pub fn on_stated(&mut self, now: Duration, max_rejections: u32) -> bool {
        let is_new = !self.is_brittle(now);
        self.stated = Some((max_rejections, now));
        is_new
    }

    /// Returns whether the replicas are brittle.
    pub fn is_brittle(&self, now: Duration) -> bool {
        self.max_rejections(now).is_some()
    }

    /// Returns the time for which this one of `routers` routers sends nothing to a replica that
    /// rejected a request; `None` if the replicas are not brittle.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::Brittleness;
    ///
    /// let mut brittleness = Brittleness::default();
    /// assert_eq!(brittleness.backoff(Duration::ZERO, 7), None);
    /// brittleness.on_stated(Duration::ZERO, 20);
    /// assert_eq!(brittleness.backoff(Duration::ZERO, 7), Some(Duration::from_secs(1)));
    /// assert_eq!(brittleness.backoff(Duration::ZERO, 30), Some(Duration::from_secs(3)));
    /// ```
    pub fn backoff(&self, now: Duration, routers: u32) -> Option<Duration> {
        let allowed_per_s = f64::from(self.max_rejections(now)?.max(1)) * USED_REJECTION_SHARE;
        let backoff = Duration::from_secs_f64(f64::from(routers) / allowed_per_s);
        Some(backoff.clamp(MIN_BACKOFF, MAX_BACKOFF))
    }

    fn max_rejections(&self, now: Duration) -> Option<u32> {
        let (max_rejections, stated_at) = self.stated?;
        (now.saturating_sub(stated_at) < STATEMENT_LIFETIME).then_some(max_rejections)
    }
}

/// Returns the number of requests per slot up to which brittle replicas get requests.
///
/// ```
/// use teaselworks_policy::upstream::brittle_requests_per_slot;
///
/// assert!(brittle_requests_per_slot(true) < brittle_requests_per_slot(false));
/// ```
pub fn brittle_requests_per_slot(has_shared_reports: bool) -> f64 {
    if has_shared_reports { REQUESTS_PER_SLOT_WITH_SHARED_REPORTS } else { REQUESTS_PER_SLOT }
}
