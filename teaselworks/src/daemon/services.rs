//! Builds the services of one router and registers them with the kernel.

use std::sync::Arc;
use std::time::SystemTime;

use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_config::settings::Settings;
use teaselworks_policy::clock::{Clock, SystemClock};
use teaselworks_policy::membership::Place;

use super::fleet::FleetView;
use crate::caller::{CallerSettings, Callers};
use crate::dispatch::{Dispatcher, DispatcherParts, Placement};
use crate::kernel::{Registry, ServiceError, ServiceName, Shutdown};
use crate::limits::LIMITS;
use crate::link::Links;
use crate::metrics::Metrics;
use crate::once::{ONCE, Once};
use crate::operator::OperatorParts;
use crate::owner::{Owner, OwnerParts};
use crate::platform::PLATFORM;
use crate::upstream::{EngineClient, ServiceClient};
use crate::usage::USAGE;

/// Instruments of the router.
pub const METRICS: ServiceName<Metrics> = ServiceName::new("metrics");
/// Attempts for replicas that this router owns.
pub const OWNER: ServiceName<Owner> = ServiceName::new("owner");
/// Requests of callers.
pub const DISPATCHER: ServiceName<Dispatcher> = ServiceName::new("dispatcher");
/// The callers' port.
pub const CALLERS: ServiceName<Callers> = ServiceName::new("callers");
/// What the operators' port shows.
pub const OPERATOR: ServiceName<OperatorParts> = ServiceName::new("operator");
/// Replicas and their loads.
pub const PLACEMENT: ServiceName<Placement> = ServiceName::new("placement");
/// Links to other routers.
pub const LINKS: ServiceName<Links> = ServiceName::new("links");

/// What every service is built with.
pub struct Base {
    /// Settings of the router.
    pub settings: Settings,
    /// Wall clock at the start, in milliseconds.
    pub incarnation: u64,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Phase of a planned stop.
    pub shutdown: Shutdown,
    /// Seed of the router's random numbers.
    pub seed: u64,
}

impl Base {
    /// Takes the settings and reads the clock.
    pub fn new(settings: Settings) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let wall = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let incarnation = wall.as_millis() as u64;
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(
            settings.router.name.as_bytes(),
            wall.as_nanos() as u64,
        );
        Self { settings, incarnation, clock, shutdown: Shutdown::new(), seed }
    }

    /// Returns where the router runs.
    pub fn place(&self) -> Place {
        Place {
            region: self.settings.router.region.clone(),
            zone: self.settings.router.zone.clone(),
        }
    }
}

/// Registers the services that requests pass through.
pub fn register_request_path(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
) -> Result<(), ServiceError> {
    let metrics = registry.find(&METRICS)?;
    let links = registry.find(&LINKS)?;
    let once =
        Arc::new(Once::new(registry.find(&PLATFORM)?, base.clock.clone(), &metrics, base.seed));
    once.start(&base.shutdown);
    registry.register(&ONCE, once.clone())?;
    let usage = registry.find(&USAGE)?;
    let placement = Arc::new(Placement::new(base.place(), base.clock.clone(), base.seed));
    registry.register(&PLACEMENT, placement.clone())?;
    let engines = EngineClient::new();
    let owner = Owner::new(OwnerParts {
        router: base.settings.router.name.clone(),
        fleet: fleet.clone(),
        placement: placement.clone(),
        services: ServiceClient::new(engines.http().clone()),
        engines,
        usage: usage.clone(),
        metrics: metrics.clone(),
        clock: base.clock.clone(),
        body_size_bytes: base.settings.limits.body_size_bytes,
        seed: base.seed,
    });
    registry.register(&OWNER, owner.clone())?;
    let dispatcher = Dispatcher::new(DispatcherParts {
        router: base.settings.router.name.clone(),
        fleet: fleet.clone(),
        links,
        owner,
        placement,
        once,
        usage,
        limits: registry.find(&LIMITS)?,
        metrics,
        clock: base.clock.clone(),
        secret: base.settings.links.secret.clone(),
        seed: base.seed,
    });
    registry.register(&DISPATCHER, dispatcher)
}

/// Registers the callers' and the operators' ports.
pub fn register_ports(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
) -> Result<(), ServiceError> {
    let metrics = registry.find(&METRICS)?;
    let dispatcher = registry.find(&DISPATCHER)?;
    let settings = CallerSettings {
        router: base.settings.router.name.clone(),
        incarnation: base.incarnation,
        limits: base.settings.limits.clone(),
    };
    let callers =
        Callers::new(settings, dispatcher.clone(), metrics.clone(), base.shutdown.clone());
    registry.register(&CALLERS, callers)?;
    let operator = Arc::new(OperatorParts {
        router: base.settings.router.clone(),
        incarnation: base.incarnation,
        fleet: fleet.clone(),
        dispatcher,
        owner: registry.find(&OWNER)?,
        metrics,
        shutdown: base.shutdown.clone(),
    });
    registry.register(&OPERATOR, operator)
}

/// Puts a configuration in force in every service that decides by it.
pub fn apply(
    fleet: &FleetView,
    owner: &Owner,
    dispatcher: &Dispatcher,
    numbered: Arc<NumberedConfiguration>,
) {
    fleet.apply(&numbered.configuration);
    owner.apply(numbered.clone());
    dispatcher.apply(numbered);
}
