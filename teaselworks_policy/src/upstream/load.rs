//! How many requests an upstream holds, from own counts and its reports.

use std::time::Duration;

/// Age at which a report says nothing any more. Requests end within a second or two, so that an
/// older report describes others than those that run now.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

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
    /// Requests that others than this router had there.
    foreign: u32,
    at: Duration,
}

/// Requests at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    own: u32,
    reported: Option<Reported>,
}

impl Load {
    /// Counts a request of this router.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Counts the end of a request of this router.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report.
    pub fn report(&mut self, now: Duration, report: LoadReport) {
        let foreign = (report.running + report.waiting).saturating_sub(self.own);
        self.reported = Some(Reported { foreign, at: now });
    }

    /// Returns the requests of this router.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the age of the last report that still counts.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.reported?.at);
        (age < REPORT_LIFETIME).then_some(age)
    }

    /// Returns the requests of other routers by the last report, and how far it is trusted, from 1
    /// for a new one to 0.
    pub fn foreign(&self, now: Duration) -> Option<(f64, f64)> {
        let age = self.report_age(now)?;
        let trust = 1.0 - age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        Some((f64::from(self.reported?.foreign), trust))
    }

    /// Estimates the requests of all routers there; `usual` are those that other routers have at
    /// other upstreams of the service.
    ///
    /// A report counts less the older it is; what it does not say is taken to be as usual.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Load, LoadReport};
    ///
    /// let mut load = Load::default();
    /// load.begin();
    /// assert_eq!(load.estimate(Duration::ZERO, 4.0), 5.0);
    /// load.report(Duration::ZERO, LoadReport { running: 9, waiting: 0 });
    /// assert_eq!(load.estimate(Duration::ZERO, 4.0), 9.0);
    /// ```
    pub fn estimate(&self, now: Duration, usual: f64) -> f64 {
        let foreign = match self.foreign(now) {
            Some((reported, trust)) => trust * reported + (1.0 - trust) * usual,
            None => usual,
        };
        f64::from(self.own) + foreign
    }
}
