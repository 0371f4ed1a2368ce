//! What every request of a router shares.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::clock::Clock;
use teaselworks_policy::fleet::Fleet;

use super::Connections;
use crate::kernel::Shutdown;
use crate::metrics::Metrics;

/// State and services that every request uses.
pub struct Shared {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Idle connections to upstreams.
    pub connections: Connections,
    /// Phase of a planned stop.
    pub shutdown: Shutdown,
    /// Zone of this router.
    pub zone: Arc<str>,
    fleet: Mutex<Fleet>,
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
        let connections = Connections::new(metrics.clone());
        Self { clock, metrics, connections, shutdown, zone, fleet: Mutex::new(fleet) }
    }

    /// Returns the time by the steady clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Locks the beliefs for one decision; nothing is awaited while they are locked.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no decision panics")
    }
}
