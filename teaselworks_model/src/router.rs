//! Model of the routers: their decisions, made through the calls that a real router makes.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use teaselworks_policy::configuration::{self, Configuration, Route, Routes, Service, Target};
use teaselworks_policy::deadline::Deadline;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::{Placement, PlacementRequest, Prompt, PromptPart};
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::{Admission, SharesSettings};
use teaselworks_policy::upstream::{Change, ColdSettings, Upstream};
use teaselworks_policy::verdict::Refusal;

use crate::caller::{Request, duration_from_ms};
use crate::load::{Load, PlacementMode};

/// Name of the service that all engines belong to.
pub(crate) const SERVICE: &str = "engines";
/// Start time that engines report after a restart.
const RESTARTED: SystemTime = SystemTime::UNIX_EPOCH;
/// Availability zone of all routers and engines.
const ZONE: &str = "a";
/// Availability zone of the engines that [`Load::evacuation`] affects.
const EVACUATED_ZONE: &str = "b";

/// Creates router `number`, which lists all routers and engines and the configuration from the
/// start.
pub(crate) fn new_router(load: &Load, number: u32, seed: u64) -> Fleet {
    let name: Arc<str> = format!("router-{number}").into();
    let mut membership = Membership::new(name, Vec::new());
    for other in 0..load.routers {
        membership.put(format!("router-{other}").into(), ([127, 0, 0, 1], 80).into());
    }
    let budget = BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let cold = load.cold.map_or(ColdSettings { overshoot: 1.0, slack: 0.0 }, |cold| ColdSettings {
        overshoot: cold.overshoot,
        slack: cold.slack,
    });
    let settings = FleetSettings {
        load_factor: 2.0,
        cold,
        budget,
        shares: SharesSettings::default(),
        max_staleness: Duration::from_secs(2),
    };
    membership.on_registered(Duration::ZERO, Duration::MAX);
    let mut fleet = Fleet::new(settings, membership, seed + u64::from(number));
    fleet.set_configuration(Duration::ZERO, configuration(load));
    for engine in 0..load.engines.count {
        fleet.apply(Duration::ZERO, &Change::Serving(upstream_for_engine(load, engine)));
    }
    fleet
}

/// Returns the route for requests of kind `kind`.
pub(crate) fn route_for_kind(load: &Load, kind: usize) -> Route {
    let kind = &load.kinds[kind];
    Route {
        name: kind.name.clone(),
        target_latency: duration_from_ms(kind.target_latency_ms),
        timeout: duration_from_ms(kind.deadline_ms),
        has_prompts: true,
        targets: vec![Target { service: SERVICE.into(), weight: 1 }],
        ..Route::example(configuration::Kind::Stream, &format!("/{}/", kind.name))
    }
}

/// Returns a configuration with a route for each kind of requests and the service of the engines.
fn configuration(load: &Load) -> Configuration {
    let routes = (0..load.kinds.len()).map(|kind| route_for_kind(load, kind));
    let mut configuration =
        Configuration { version: 1, routes: Routes::new(routes), ..Configuration::default() };
    let cold_requests_per_s = load.cold.map(|cold| cold.requests_per_s);
    let service = Service { has_kv_transfer: true, cold_requests_per_s };
    configuration.services.insert(SERVICE.into(), service);
    configuration
}

/// Returns whether an engine is in the zone that is evacuated at some time.
fn is_evacuated(load: &Load, engine: u32) -> bool {
    load.evacuation.is_some_and(|evacuation| evacuation.affects(engine, load.engines.count))
}

/// Tells a router whether the zone of [`Load::evacuation`] is evacuated.
pub(crate) fn set_evacuated(fleet: &mut Fleet, now: Duration, is_evacuated: bool) {
    fleet.update_evacuations(|zones| {
        if is_evacuated { zones.begin(now, EVACUATED_ZONE) } else { zones.end(now, EVACUATED_ZONE) }
    });
}

/// Tells a router that an engine has restarted and is cold for the time `cold_remaining`.
pub(crate) fn announce_restart(
    fleet: &mut Fleet,
    load: &Load,
    now: Duration,
    engine: usize,
    cold_remaining: Duration,
) {
    let started = Some(RESTARTED);
    let engine = u32::try_from(engine).unwrap_or(u32::MAX);
    let upstream = Upstream { started, cold_remaining, ..upstream_for_engine(load, engine) };
    fleet.apply(now, &Change::Restarted(upstream));
}

/// Returns the upstream that stands for an engine; [`engine_index`] maps its address back.
fn upstream_for_engine(load: &Load, engine: u32) -> Upstream {
    let port = 10_000 + u16::try_from(engine).unwrap_or(u16::MAX - 10_000);
    Upstream {
        address: ([127, 0, 0, 1], port).into(),
        slots: load.engines.slots,
        zone: if is_evacuated(load, engine) { EVACUATED_ZONE } else { ZONE }.into(),
        ..Upstream::example(&format!("engine-{engine}"), SERVICE)
    }
}

/// Returns the index of the engine with the given address.
pub(crate) fn engine_index(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

/// Chooses an engine for a request, or refuses the request.
///
/// `tried` contains the identifiers of the upstreams that the request was sent to before; `is_late`
/// is whether its caller was refused before and has come back.
pub(crate) fn place(
    fleet: &mut Fleet,
    load: &Load,
    now: Duration,
    request: &Request,
    tried: &[Arc<str>],
    is_late: bool,
) -> Result<Placement, Refusal> {
    let kind = &load.kinds[request.kind];
    let remaining = request.deadline.saturating_sub(now);
    let deadline = Deadline::new(now, Some(remaining), duration_from_ms(kind.deadline_ms));
    // One token that all prompts share, the part shared with some requests, and the own part.
    let parts = [(1, 1), (request.key, kind.shared_tokens), (u64::MAX, kind.own_tokens)];
    let prompt = Prompt {
        parts: parts.map(|(id, tokens)| PromptPart { id, tokens }).to_vec(),
        input_tokens: kind.shared_tokens + kind.own_tokens,
        output_tokens: kind.answer_tokens,
        output_hint: None,
    };
    let placement_request = PlacementRequest {
        prompt: Some(&prompt).filter(|_| load.placement == PlacementMode::Reuse),
        zone: ZONE,
        tried,
        version: None,
        begins_stream: false,
        remaining,
        max_retry_after: deadline.max_retry_after(now),
        has_started: false,
        is_late,
        class: None,
        admission: Admission::Normal,
    };
    fleet.place(now, SERVICE, &placement_request)
}
