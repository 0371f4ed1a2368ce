//! Gives the platform's client its part of the fleet's rate, as the fleet grows and shrinks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use teaselworks_policy::platform::share::{FleetShare, ShareLimits};

use super::fleet::FleetView;
use super::services::Base;
use crate::kernel::{Registry, ServiceError, ShutdownPhase};
use crate::platform::PLATFORM;

/// Time between looks at the number of routers.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// The same while the fleet is not found yet: a start waits for it.
const START_LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// A router that has not found its fleet takes its view for the fleet after so long.
const START_PATIENCE: Duration = Duration::from_secs(5);

/// Whether the rate is that of the fleet, and no longer that of a router that starts.
#[derive(Clone, Debug, Default)]
pub struct RateSettled(Arc<AtomicBool>);

impl RateSettled {
    /// Tells whether the fleet was found, or was waited for long enough, and the rate is set by it.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Starts with the least rate, and follows the fleet once it is found.
///
/// Routers that start together see nobody at first. Each with the rate of a fleet of one, all
/// routers replaced at once would call the platform far above the fleet's rate.
pub fn follow_fleet(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
) -> Result<RateSettled, ServiceError> {
    let platform = registry.find(&PLATFORM)?;
    let settings = &base.settings.platform;
    let limits = ShareLimits {
        fleet_calls_per_s: settings.fleet_calls_per_s,
        router_calls_per_s: settings.calls_per_s,
    };
    let clock = base.clock.clone();
    let start = clock.monotonic();
    let mut share = FleetShare::new(limits, start);
    platform.set_calls_per_s(share.calls_per_s());
    let (fleet, shutdown) = (fleet.clone(), base.shutdown.clone());
    let settled = RateSettled::default();
    let settling = settled.clone();
    tokio::spawn(async move {
        loop {
            let now = clock.monotonic();
            let is_found = fleet.is_found() || now.saturating_sub(start) >= START_PATIENCE;
            if is_found {
                share.see(fleet.live_routers(), now);
            }
            platform.set_calls_per_s(share.calls_per_s());
            settling.0.fetch_or(is_found, Ordering::Release);
            let interval = if settling.get() { LOOK_INTERVAL } else { START_LOOK_INTERVAL };
            tokio::select! {
                () = shutdown.reached(ShutdownPhase::Stopped) => return,
                () = tokio::time::sleep(interval) => {}
            }
        }
    });
    Ok(settled)
}
