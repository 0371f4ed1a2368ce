//! What every request of a router shares.

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

/// Time since its start for which a router keeps requests waiting for its first configuration, which it
/// usually has within some tens of milliseconds: a caller that is refused loses more.
const START_WAIT: Duration = Duration::from_millis(300);

/// State and services that every request uses.
pub struct Shared {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Idle connections to upstreams.
    pub connections: ConnectionPool,
    /// Phase of a planned stop.
    pub shutdown: Shutdown,
    /// Plan of a planned stop and when that began.
    stop: OnceLock<(StopPlan, Duration)>,
    /// Zone of this router.
    pub zone: Arc<str>,
    fleet: Mutex<Fleet>,
    started: Duration,
    is_configured: Notify,
}

impl Shared {
    /// Makes the state.
    pub fn new(
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        shutdown: Shutdown,
        zone: Arc<str>,
        fleet: Fleet,
    ) -> Self {
        let connections = ConnectionPool::new(metrics.clone());
        let stop = OnceLock::new();
        let started = clock.monotonic();
        let fleet = Mutex::new(fleet);
        let is_configured = Notify::new();
        Self { clock, metrics, connections, shutdown, stop, zone, fleet, started, is_configured }
    }

    /// Puts a configuration in force; false where the one in force is as new.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let is_newer = self.fleet().set_configuration(configuration);
        self.is_configured.notify_waiters();
        is_newer
    }

    /// Returns the configuration in force; waits for the first one where the router has just started.
    pub(super) async fn configuration(&self) -> Option<Arc<Configuration>> {
        let configured = self.is_configured.notified();
        let known = self.fleet().configuration();
        let left = (self.started + START_WAIT).saturating_sub(self.now());
        if known.is_some() || left.is_zero() {
            return known;
        }
        // One that comes too late is met by the request that its caller then sends.
        let _ = tokio::time::timeout(left, configured).await;
        self.fleet().configuration()
    }

    /// Returns the time by the steady clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Begins a planned stop; a second one changes nothing.
    pub fn begin_stop(&self, plan: StopPlan) {
        let _ = self.stop.set((plan, self.now()));
        self.shutdown.advance(ShutdownPhase::Announced);
    }

    /// Refuses a request that a planned stop would cut.
    pub(super) fn admit(&self, route: &Arc<str>, deadline: &Deadline) -> Result<(), Refusal> {
        let Some((plan, began)) = self.stop.get() else { return Ok(()) };
        let now = self.now();
        let elapsed = now.saturating_sub(*began);
        let limit = deadline.remaining(now);
        let max_retry_after = deadline.max_retry_after(now);
        self.fleet().admit_while_stopping(plan, elapsed, route, limit, max_retry_after)
    }

    /// Takes what other routers heard of upstreams.
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

    /// Locks the beliefs for one decision; nothing is awaited while they are locked.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no decision panics")
    }
}
