//! Names of a router's services, and their registration.

use std::sync::Arc;

use rand::RngExt;
use teaselworks_policy::clock::{Clock, SystemClock};
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::ColdSettings;

use crate::discovery::{StateUpdater, StoreCache};
use crate::kernel::{ServiceError, ServiceName, ServiceRegistry, Shutdown};
use crate::metrics::Metrics;
use crate::relay::Shared;
use crate::settings::Settings;

/// State that all requests share.
pub(super) const SHARED: ServiceName<Shared> = ServiceName::new("shared");
/// Counters and histograms.
pub(super) const METRICS: ServiceName<Metrics> = ServiceName::new("metrics");
/// Items of the store as last read, served to other routers.
pub(super) const CACHE: ServiceName<StoreCache> = ServiceName::new("cache");
/// Applies changes from the store and from other routers to this router's view of the fleet.
pub(super) const UPDATER: ServiceName<StateUpdater> = ServiceName::new("updater");

/// Creates and registers all services that other services look up.
pub(super) fn register(
    settings: &Settings,
    shutdown: &Shutdown,
) -> Result<ServiceRegistry, ServiceError> {
    let registry = ServiceRegistry::new();
    let metrics = Arc::new(Metrics::new());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let name = settings.router.name.clone();
    let membership = Membership::new(name, settings.seeds.clone());
    let mut fleet = Fleet::new(fleet_settings(settings), membership, random_seed());
    if settings.router.is_first_start {
        fleet.origin_memory.on_first_start();
    }
    let zone = settings.router.zone.clone();
    let shared = Arc::new(Shared::new(clock, metrics.clone(), shutdown.clone(), zone, fleet));
    let cache = Arc::new(StoreCache::default());
    let updater = Arc::new(StateUpdater::new(shared.clone(), cache.clone()));
    registry.register(&METRICS, metrics)?;
    registry.register(&SHARED, shared)?;
    registry.register(&CACHE, cache)?;
    registry.register(&UPDATER, updater)?;
    Ok(registry)
}

/// Returns a random seed, so that routers do not all make the same random choices.
pub(super) fn random_seed() -> u64 {
    rand::rng().random()
}

/// Converts the settings to those of the routing decisions.
pub(super) fn fleet_settings(settings: &Settings) -> FleetSettings {
    let Settings { bounds, admission, .. } = settings;
    FleetSettings {
        load_factor: bounds.load_factor,
        cold: ColdSettings { overshoot: bounds.cold_overshoot, slack: bounds.cold_slack },
        budget: BudgetSettings {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: std::time::Duration::from_secs_f64(bounds.retry_window_s),
        },
        shares: SharesSettings {
            by_priority: admission.by_priority,
            workspace_shares: admission.workspace_shares,
            min_routers: admission.min_routers,
        },
        max_staleness: bounds.max_staleness(),
    }
}
