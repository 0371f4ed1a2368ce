//! Number of requests at an upstream, from the router's own count and from the upstream's reports.

use std::time::Duration;

/// Age at which a load report expires, per router of the fleet: the more routers there are, the
/// less often each one gets a report of a given replica, and an old report is better than none.
const REPORT_LIFETIME_PER_ROUTER: Duration = Duration::from_millis(250);
/// Minimum age at which a load report expires.
const MIN_REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum age at which a load report expires.
const MAX_REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Time constant of the weight of a report that routers share. All of them avoid a replica that
/// such a report shows to be full, so that no newer report follows while its requests end.
const SHARED_REPORT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Load that an upstream reports along with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the upstream is processing.
    pub running: u32,
    /// Number of requests in the upstream's queue.
    pub waiting: u32,
}

/// The latest load report of an upstream.
#[derive(Clone, Copy, Debug)]
struct StoredReport {
    /// Requests of all routers at the upstream.
    all_requests: u32,
    /// Requests of other routers at the upstream.
    peer_requests: u32,
    /// Clock reading when the upstream made the report, or when this router received it if the
    /// upstream sent it to this router itself.
    reported_at: Duration,
    /// Clock reading when this router received the report.
    received_at: Duration,
    /// Whether the upstream sent the report to this router, not to another one that passed it on.
    is_direct: bool,
}

/// Requests of other routers at one upstream, from the latest load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLoad {
    /// Number of these requests when the upstream made the report.
    pub requests: f64,
    /// Weight of the report in an estimate: 1 for a new report, falling to 0 as the report expires.
    pub weight: f64,
}

/// Average load of the replicas of a service, used to estimate the load of a replica without a
/// recent report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AverageLoad {
    /// Mean number of requests of other routers at one replica.
    pub peer_requests: f64,
    /// Mean number of requests of this router at one replica.
    pub own_requests: f64,
    /// Number of live routers, including this one.
    pub routers: u32,
}

impl AverageLoad {
    /// Estimates the requests of other routers at an upstream where this router has `own_requests`.
    ///
    /// All routers get requests for the same hot keys, so an upstream with more requests of this
    /// router than average likely has more requests of the others, too. Adding one to both numbers
    /// keeps this correction small while there are only a few requests to judge by.
    fn estimate_peer_requests(&self, own_requests: u32) -> f64 {
        self.peer_requests * (1.0 + f64::from(own_requests)) / (1.0 + self.own_requests)
    }
}

/// Requests at one upstream, in the view of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    own_requests: u32,
    latest_report: Option<StoredReport>,
}

impl Load {
    /// Counts a request that this router sends.
    pub fn begin_request(&mut self) {
        self.own_requests += 1;
    }

    /// Counts the end of a request of this router.
    pub fn end_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records a load report that the upstream sent to this router.
    pub fn on_load_report(&mut self, now: Duration, report: LoadReport) {
        let all_requests = report.running + report.waiting;
        let peer_requests = all_requests.saturating_sub(self.own_requests);
        self.latest_report = Some(StoredReport {
            all_requests,
            peer_requests,
            reported_at: now,
            received_at: now,
            is_direct: true,
        });
    }

    /// Records a load report that another router passed on, `age` after the upstream made it;
    /// `all_requests` is the number of requests in it. Does nothing if a report that is as new is
    /// known.
    pub fn apply_shared_load(&mut self, now: Duration, all_requests: u32, age: Duration) {
        let reported_at = now.saturating_sub(age);
        if self.latest_report.is_some_and(|known| known.reported_at >= reported_at) {
            return;
        }
        let peer_requests = all_requests.saturating_sub(self.own_requests);
        self.latest_report = Some(StoredReport {
            all_requests,
            peer_requests,
            reported_at,
            received_at: now,
            is_direct: false,
        });
    }

    /// Returns the number of requests of all routers in the latest report and the time since the
    /// upstream made it, if this router received the report later than the clock reading `after`.
    /// With `only_own`, leaves out a report that another router passed on.
    pub fn report_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
    ) -> Option<(u32, Duration)> {
        let latest_report = self.latest_report?;
        let is_new = latest_report.received_at > after && (latest_report.is_direct || !only_own);
        is_new.then(|| (latest_report.all_requests, now.saturating_sub(latest_report.reported_at)))
    }

    /// Returns whether another router passed on the latest report.
    pub fn has_shared_report(&self) -> bool {
        self.latest_report.is_some_and(|report| !report.is_direct)
    }

    /// Returns the number of requests of this router at the upstream.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the age of the latest report; `None` if there is none.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.latest_report?.reported_at))
    }

    /// Returns the requests of other routers according to the latest report, in a fleet of
    /// `routers` routers; `None` if there is no report or it has expired.
    pub fn peer_load(&self, now: Duration, routers: u32) -> Option<PeerLoad> {
        let lifetime =
            (REPORT_LIFETIME_PER_ROUTER * routers).clamp(MIN_REPORT_LIFETIME, MAX_REPORT_LIFETIME);
        let age = self.report_age(now).filter(|age| *age < lifetime)?;
        let latest_report = self.latest_report?;
        let weight = if latest_report.is_direct {
            let age_ratio = age.as_secs_f64() / lifetime.as_secs_f64();
            // Falls slowly at first, since a report stays mostly valid for most of its lifetime.
            1.0 - age_ratio * age_ratio
        } else {
            (-age.as_secs_f64() / SHARED_REPORT_TIME_CONSTANT.as_secs_f64()).exp()
        };
        Some(PeerLoad { requests: f64::from(latest_report.peer_requests), weight })
    }

    /// Estimates the number of requests of all routers at the upstream.
    ///
    /// The older the latest report is, the less weight it has. The remaining weight goes to an
    /// estimate from the average load of the service.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{AverageLoad, Load, LoadReport};
    ///
    /// let average_load = AverageLoad { peer_requests: 4.0, own_requests: 0.6, routers: 8 };
    /// let mut load = Load::default();
    /// load.begin_request();
    /// assert_eq!(load.estimate(Duration::ZERO, &average_load), 6.0);
    /// load.on_load_report(Duration::ZERO, LoadReport { running: 9, waiting: 0 });
    /// assert_eq!(load.estimate(Duration::ZERO, &average_load), 9.0);
    /// ```
    pub fn estimate(&self, now: Duration, average_load: &AverageLoad) -> f64 {
        let fallback = average_load.estimate_peer_requests(self.own_requests);
        let peer_requests = match self.peer_load(now, average_load.routers) {
            Some(PeerLoad { requests, weight }) => weight * requests + (1.0 - weight) * fallback,
            None => fallback,
        };
        f64::from(self.own_requests) + peer_requests
    }
}
