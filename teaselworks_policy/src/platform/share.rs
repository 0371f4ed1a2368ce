//! The part of the fleet's rate of platform calls that one router may use.

use std::time::Duration;

/// Least rate of a router, in calls a second: with less it could neither load the configuration nor
/// keep a lease.
pub const LEAST_CALLS_PER_S: f64 = 0.5;
/// Routers count for at least so long after they were last seen.
const MEMORY: Duration = Duration::from_secs(600);

/// Rates that bound a router's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareLimits {
    /// Calls a second of the whole fleet.
    pub fleet_calls_per_s: f64,
    /// Calls a second of one router, however few there are.
    pub router_calls_per_s: f64,
}

/// Follows the number of routers, and divides the fleet's rate by it.
///
/// The largest number of the last ten minutes counts, at least. Regions that lose each other for
/// some minutes each see a part of the fleet; with the number seen now, all parts together would
/// call the platform at several times the fleet's rate, seen as calls that the platform refuses.
#[derive(Clone, Debug)]
pub struct FleetShare {
    limits: ShareLimits,
    earlier_routers: usize,
    routers: usize,
    since: Duration,
}

impl FleetShare {
    /// Starts without knowledge of the fleet.
    pub fn new(limits: ShareLimits, now: Duration) -> Self {
        Self { limits, earlier_routers: 0, routers: 0, since: now }
    }

    /// Takes note of the routers seen now, this one among them.
    pub fn see(&mut self, routers: usize, now: Duration) {
        if now.saturating_sub(self.since) >= MEMORY {
            self.earlier_routers = self.routers;
            self.routers = 0;
            self.since = now;
        }
        self.routers = self.routers.max(routers);
    }

    /// Returns the rate of this router; the least one while nothing is known of the fleet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::platform::share::{FleetShare, ShareLimits};
    ///
    /// let limits = ShareLimits { fleet_calls_per_s: 600.0, router_calls_per_s: 20.0 };
    /// let mut share = FleetShare::new(limits, Duration::ZERO);
    /// assert_eq!(share.calls_per_s(), 0.5);
    /// share.see(8, Duration::from_secs(1));
    /// assert_eq!(share.calls_per_s(), 20.0);
    /// share.see(400, Duration::from_secs(2));
    /// assert_eq!(share.calls_per_s(), 1.5);
    /// ```
    pub fn calls_per_s(&self) -> f64 {
        let ShareLimits { fleet_calls_per_s, router_calls_per_s } = self.limits;
        let routers = self.routers.max(self.earlier_routers);
        let share = if routers == 0 { 0.0 } else { fleet_calls_per_s / routers as f64 };
        share.max(LEAST_CALLS_PER_S).min(router_calls_per_s)
    }
}
