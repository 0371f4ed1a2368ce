//! How many requests an upstream holds, from own counts and its reports.

use std::time::Duration;

/// Age at which a report says nothing any more, for each router of the fleet: the more routers there
/// are, the more rarely one hears of a replica, and an older report is better than none.
const LIFETIME_PER_ROUTER: Duration = Duration::from_millis(250);
/// Shortest such age.
const SHORTEST_LIFETIME: Duration = Duration::from_secs(2);
/// Longest such age.
const LONGEST_LIFETIME: Duration = Duration::from_secs(10);

/// What an upstream said about itself beside an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    /// Requests there.
    total: u32,
    /// Requests that others than this router had there.
    peer_requests: u32,
    at: Duration,
    /// When this router heard of it.
    heard_at: Duration,
    /// The upstream said it to this router.
    is_own: bool,
}

/// Requests of other routers at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLoad {
    /// Their number when the upstream reported.
    pub requests: f64,
    /// How far the report is trusted, from 1 to 0.
    pub weight: f64,
}

/// What a router knows besides of the load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AverageLoad {
    /// Requests that other routers usually have at one of its upstreams.
    pub peer_requests: f64,
    /// Requests that this router usually has there.
    pub own_requests: f64,
    /// Routers that are alive, this one included.
    pub routers: u32,
}

impl AverageLoad {
    /// Guesses the requests of other routers at an upstream where this one has `own`.
    ///
    /// Callers of all routers ask for the same hot keys: more own requests than usual speak for more
    /// of others, as far as so few tell.
    fn guess(&self, own: u32) -> f64 {
        self.peer_requests * (1.0 + f64::from(own)) / (1.0 + self.own_requests)
    }
}

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    own_requests: u32,
    reported: Option<Reported>,
}

impl Load {
    /// Counts a request of this router.
    pub fn begin_request(&mut self) {
        self.own_requests += 1;
    }

    /// Counts the end of a request of this router.
    pub fn end_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Takes a report.
    pub fn report(&mut self, now: Duration, report: LoadReport) {
        let total = report.running + report.waiting;
        let peer_requests = total.saturating_sub(self.own_requests);
        self.reported =
            Some(Reported { total, peer_requests, at: now, heard_at: now, is_own: true });
    }

    /// Takes what another router heard, unless a later report is known.
    pub fn apply_shared_load(&mut self, now: Duration, total: u32, age: Duration) {
        let at = now.saturating_sub(age);
        if self.reported.is_some_and(|known| known.at >= at) {
            return;
        }
        let peer_requests = total.saturating_sub(self.own_requests);
        self.reported = Some(Reported { total, peer_requests, at, heard_at: now, is_own: false });
    }

    /// Returns the last report with its age, where it was heard after a time; `only_own` leaves out
    /// what other routers said.
    pub fn heard_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
    ) -> Option<(u32, Duration)> {
        let reported = self.reported?;
        let is_new = reported.heard_at > after && (reported.is_own || !only_own);
        is_new.then(|| (reported.total, now.saturating_sub(reported.at)))
    }

    /// Returns the requests of this router.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the age of the last report, where there was one.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.reported?.at))
    }

    /// Returns the requests of other routers by the last report, and how far it is trusted in a fleet
    /// of so many routers, from 1 for a new one to 0.
    pub fn peer_load(&self, now: Duration, routers: u32) -> Option<PeerLoad> {
        let lifetime = (LIFETIME_PER_ROUTER * routers).clamp(SHORTEST_LIFETIME, LONGEST_LIFETIME);
        let age = self.report_age(now).filter(|age| *age < lifetime)?;
        let part = age.as_secs_f64() / lifetime.as_secs_f64();
        // Most of a report holds for most of its life.
        let weight = 1.0 - part * part;
        Some(PeerLoad { requests: f64::from(self.reported?.peer_requests), weight })
    }

    /// Estimates the requests of all routers there.
    ///
    /// A report counts less the older it is; what it does not say is taken to be as usual.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Load, LoadReport, AverageLoad};
    ///
    /// let usual = AverageLoad { peer_requests: 4.0, own_requests: 0.6, routers: 8 };
    /// let mut load = Load::default();
    /// load.begin_request();
    /// assert_eq!(load.estimate(Duration::ZERO, &usual), 6.0);
    /// load.report(Duration::ZERO, LoadReport { running: 9, waiting: 0 });
    /// assert_eq!(load.estimate(Duration::ZERO, &usual), 9.0);
    /// ```
    pub fn estimate(&self, now: Duration, usual: &AverageLoad) -> f64 {
        let guess = usual.guess(self.own_requests);
        let foreign = match self.peer_load(now, usual.routers) {
            Some(PeerLoad { requests, weight }) => weight * requests + (1.0 - weight) * guess,
            None => guess,
        };
        f64::from(self.own_requests) + foreign
    }
}
