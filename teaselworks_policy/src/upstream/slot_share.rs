//! Limit on the requests that a router of a large fleet has in progress at a service whose replicas
//! report their load.
//!
//! The load reports that routers share are hundreds of milliseconds old, and in that time a burst
//! can bring several times the requests that the replicas can process. Each router therefore takes
//! only its share of the slots that were free according to the reports.

use std::time::Duration;

use super::brittle_requests_per_slot;

/// Share of the slots in use from which a service counts as nearly full. Late callers are then
/// refused, and the concurrency limit applies also to a service that reports its load.
const NEARLY_FULL_SHARE: f64 = 0.9;
/// Requests per slot, over all routers together, up to which requests are admitted. It is above 1
/// so that a request waits for the next free slot rather than a slot for the next request.
const REQUESTS_PER_SLOT: f64 = 1.0;
/// Time constant of the mean that stands for this router's requests at the time of the reports.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the means from which this router's share is computed. It is longer than the
/// time in which reports show a burst, so that a burst at all routers changes no share.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Requests that are added to this router's own mean, and for each router to the total, when its
/// share is computed: a router with few requests is close to the average until more is known.
const PRIOR_REQUESTS: f64 = 1.0;
/// Requests that a router may have in progress beyond its share, so that it can always send one.
const SPARE_REQUESTS: f64 = 1.0;

/// Share of the slots in use up to which a router that is limited may raise its share: the reports show
/// that the other routers do not need theirs.
const ROOMY_SHARE: f64 = 0.7;
/// Time for which a router must have been limited, by which reports show a burst at all routers.
const RAISE_DELAY: Duration = Duration::from_secs(1);
/// Time between two raises, in which reports show what the last one did, and its factor.
const RAISE_INTERVAL: Duration = Duration::from_millis(500);
const RAISE_FACTOR: f64 = 4.0;
/// Time without a limited request after which a router is no longer limited.
const LIMITED_PAUSE: Duration = Duration::from_millis(500);
/// Time after the last limited request for which a raise lasts.
const RAISE_LIFETIME: Duration = Duration::from_secs(5);

/// Requests in progress at a service and its slots, in the view of one router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests of this router.
    pub own_requests: f64,
    /// Requests of all routers, estimated from the load reports.
    pub total_requests: f64,
    /// Slots of the replicas that requests may be sent to.
    pub slots: f64,
    /// Live routers, including this one.
    pub routers: f64,
    /// Whether this router gets the loads of most replicas only from other routers.
    pub has_shared_reports: bool,
    /// Whether the replicas are brittle, so that requests should not wait there.
    pub is_brittle: bool,
}

impl ServiceLoad {
    /// Returns whether nearly all slots are taken.
    pub fn is_nearly_full(&self) -> bool {
        self.total_requests >= NEARLY_FULL_SHARE * self.slots
    }
}

/// Share of the slots of a service that one router uses.
///
/// The share follows the router's part of the requests in progress over the last seconds: callers
/// are spread unevenly over routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotShare {
    /// Moving average of this router's requests over [`RECENT_TIME_CONSTANT`].
    recent_own: f64,
    /// Moving average of this router's requests over [`SHARE_TIME_CONSTANT`].
    mean_own: f64,
    /// Moving average of the requests of all routers over [`SHARE_TIME_CONSTANT`].
    mean_total: f64,
    /// Clock reading at the last observation.
    observed_at: Duration,
    /// By how much the share is raised; `None` while it is not.
    raise: Option<Raise>,
}

/// A share that is raised since most callers reach this router.
#[derive(Clone, Copy, Debug)]
struct Raise {
    factor: f64,
    /// Clock reading of the first limited request.
    limited_since: Duration,
    /// Clock reading of the last limited request.
    limited_at: Duration,
    /// Clock reading of the last raise.
    raised_at: Duration,
}

impl SlotShare {
    /// Records the load of the service when a request is placed.
    pub fn observe(&mut self, now: Duration, load: &ServiceLoad) {
        let elapsed = now.saturating_sub(self.observed_at);
        self.observed_at = now;
        let recent_weight = latest_weight(elapsed, RECENT_TIME_CONSTANT);
        let share_weight = latest_weight(elapsed, SHARE_TIME_CONSTANT);
        self.recent_own += recent_weight * (load.own_requests - self.recent_own);
        self.mean_own += share_weight * (load.own_requests - self.mean_own);
        self.mean_total += share_weight * (load.total_requests - self.mean_total);
        let is_over = |raise: &Raise| {
            now.saturating_sub(raise.limited_at) > RAISE_LIFETIME || load.is_nearly_full()
        };
        self.raise = self.raise.filter(|raise| !is_over(raise));
    }

    /// Records that a request was refused since the share was used.
    ///
    /// The platform may hand most callers to this router for a while. Then the reports go on to show
    /// room, and the share is raised; in a burst at all routers they soon show that there is none.
    /// Brittle replicas would fall over before that.
    pub fn on_limited(&mut self, now: Duration, load: &ServiceLoad) {
        if load.is_brittle || load.total_requests > ROOMY_SHARE * load.slots {
            self.raise = None;
            return;
        }
        let first = Raise { factor: 1.0, limited_since: now, limited_at: now, raised_at: now };
        let mut raise = self.raise.unwrap_or(first);
        if now.saturating_sub(raise.limited_at) > LIMITED_PAUSE {
            raise.limited_since = now;
        }
        raise.limited_at = now;
        let has_waited = now.saturating_sub(raise.limited_since) >= RAISE_DELAY;
        if has_waited && now.saturating_sub(raise.raised_at) >= RAISE_INTERVAL {
            raise.factor *= RAISE_FACTOR;
            raise.raised_at = now;
        }
        self.raise = Some(raise);
    }

    /// Returns whether this router may send another request.
    ///
    /// ```
    /// use teaselworks_policy::upstream::{ServiceLoad, SlotShare};
    ///
    /// let load = ServiceLoad {
    ///     own_requests: 5.0,
    ///     total_requests: 40.0,
    ///     slots: 100.0,
    ///     routers: 10.0,
    ///     has_shared_reports: true,
    ///     is_brittle: false,
    /// };
    /// assert!(SlotShare::default().allows(&load));
    /// let surge = ServiceLoad { own_requests: 20.0, ..load };
    /// assert!(!SlotShare::default().allows(&surge), "the other routers may have as many by now");
    /// ```
    pub fn allows(&self, load: &ServiceLoad) -> bool {
        self.allows_with_headroom(load, 1.0)
    }

    /// Returns whether this router may send another request if its limit is multiplied by
    /// `headroom`.
    pub(super) fn allows_with_headroom(&self, load: &ServiceLoad, headroom: f64) -> bool {
        load.own_requests + 1.0 <= self.limit(load) * headroom
    }

    /// Returns the number of requests that this router may have in progress: what it had at the
    /// time of the load reports and its share of the room that they show, but at least its share of
    /// all slots.
    fn limit(&self, load: &ServiceLoad) -> f64 {
        let share = (self.mean_own + PRIOR_REQUESTS)
            / (self.mean_total + PRIOR_REQUESTS * load.routers).max(1.0);
        let share = (share * self.raise.map_or(1.0, |raise| raise.factor)).min(1.0);
        let requests_per_slot = match load.is_brittle {
            true => brittle_requests_per_slot(load.has_shared_reports),
            false => REQUESTS_PER_SLOT,
        };
        let admitted_total = requests_per_slot * load.slots;
        let room = admitted_total - load.total_requests;
        (self.recent_own + room * share).max(admitted_total * share) + SPARE_REQUESTS
    }
}

/// Returns the weight of the latest value in a moving average after the time `elapsed`.
fn latest_weight(elapsed: Duration, time_constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
