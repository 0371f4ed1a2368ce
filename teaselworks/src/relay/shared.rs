//! State of the router that all requests share.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use teaselworks_policy::clock::Clock;
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::deadline::Deadline;
use teaselworks_policy::fleet::Fleet;
use teaselworks_policy::stop::StopPlan;
use teaselworks_policy::upstream::{EjectionChange, SharedObservations};
use teaselworks_policy::verdict::Refusal;
use tokio::sync::Notify;

use super::ConnectionPool;
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Metrics;

/// Time after the start of the router up to which requests wait for the first configuration. It
/// usually arrives within some tens of milliseconds; a refused caller would lose more time.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(300);

/// State and services that every request uses.
pub struct Shared {
    /// Clock that all times of requests are read from.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Pool of connections to upstreams.
    pub connections: ConnectionPool,
    /// Current phase of a planned stop.
    pub shutdown: Shutdown,
    /// Plan of the planned stop and the time at which the stop began.
    stop: OnceLock<(StopPlan, Duration)>,
    /// Availability zone of this router.
    pub zone: Arc<str>,
    fleet: Mutex<Fleet>,
    /// Time at which the router started.
    started_at: Duration,
    /// Notified when a configuration is set.
    configuration_set: Notify,
}

impl Shared {
    /// Creates the state of a router that starts now.
    pub fn new(
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        shutdown: Shutdown,
        zone: Arc<str>,
        fleet: Fleet,
    ) -> Self {
        let connections = ConnectionPool::new(metrics.clone());
        let stop = OnceLock::new();
        let started_at = clock.monotonic();
        let fleet = Mutex::new(fleet);
        let configuration_set = Notify::new();
        Self {
            clock,
            metrics,
            connections,
            shutdown,
            stop,
            zone,
            fleet,
            started_at,
            configuration_set,
        }
    }

    /// Activates a configuration; returns false, and changes nothing, if the active one has the
    /// same or a higher version.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let is_newer = self.fleet().set_configuration(configuration);
        self.configuration_set.notify_waiters();
        is_newer
    }

    /// Returns the active configuration. Waits for the first one if the router has just started;
    /// `None` if there is none by then.
    pub(super) async fn configuration(&self) -> Option<Arc<Configuration>> {
        let notified = self.configuration_set.notified();
        let known = self.fleet().configuration();
        let remaining = (self.started_at + FIRST_CONFIGURATION_TIMEOUT).saturating_sub(self.now());
        if known.is_some() || remaining.is_zero() {
            return known;
        }
        // A configuration that arrives after the timeout serves the caller's retry.
        let _ = tokio::time::timeout(remaining, notified).await;
        self.fleet().configuration()
    }

    /// Returns the time of the monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Begins a planned stop with `plan`. If a stop has already begun, its plan stays in force.
    pub fn begin_stop(&self, plan: StopPlan) {
        let _ = self.stop.set((plan, self.now()));
        self.shutdown.advance(ShutdownPhase::Announced);
    }

    /// Refuses a request that is expected to outlast a planned stop that has begun.
    pub(super) fn admit(&self, route: &Arc<str>, deadline: &Deadline) -> Result<(), Refusal> {
        let Some((plan, stop_began_at)) = self.stop.get() else { return Ok(()) };
        let now = self.now();
        let elapsed = now.saturating_sub(*stop_began_at);
        let remaining = deadline.remaining(now);
        let max_retry_after = deadline.max_retry_after(now);
        self.fleet().admit_while_stopping(plan, elapsed, route, remaining, max_retry_after)
    }

    /// Applies the observations of upstreams that other routers share, and counts and logs the
    /// ejections and readmissions that follow.
    pub fn apply_observations(&self, observations: &SharedObservations) {
        let changes = self.fleet().apply_observations(self.now(), observations);
        for EjectionChange { upstream, is_ejected } in changes {
            if is_ejected {
                self.metrics.add_ejection();
                event::UPSTREAM_EJECTED
                    .log(&[event::text("upstream", &upstream), event::text("reason", &"told")]);
            } else {
                event::UPSTREAM_READMITTED.log(&[event::text("upstream", &upstream)]);
            }
        }
    }

    /// Locks the state of the fleet for one decision. Don't hold the guard across an `.await`.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("fleet state lock is never poisoned, since no decision panics")
    }
}
