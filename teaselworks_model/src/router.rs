//! One router: the decision core, driven by the calls that the relay makes.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::configuration::{self, Configuration, Route, Routes, Service, Target};
use teaselworks_policy::deadline::Deadline;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::{Placement, PlacementRequest, Prompt, PromptPart};
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::upstream::{Change, Upstream};
use teaselworks_policy::verdict::Refusal;

use crate::caller::{Call, milliseconds};
use crate::load::{Load, Placing};

/// Service of the engines.
pub(crate) const SERVICE: &str = "engines";
const ZONE: &str = "a";

pub(crate) fn router(load: &Load, number: u32, seed: u64) -> Fleet {
    let name: Arc<str> = format!("router-{number}").into();
    let mut membership = Membership::new(name, Vec::new());
    for other in 0..load.routers {
        membership.put(format!("router-{other}").into(), ([127, 0, 0, 1], 80).into());
    }
    let budget = BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let settings = FleetSettings { load_factor: 2.0, budget };
    let mut fleet = Fleet::new(settings, membership, seed + u64::from(number));
    fleet.set_configuration(configuration(load));
    for engine in 0..load.engines.count {
        fleet.apply(&Change::Serving(upstream(load, engine)));
    }
    fleet
}

/// Returns the route of a kind.
pub(crate) fn route(load: &Load, kind: usize) -> Route {
    let kind = &load.kinds[kind];
    Route {
        name: kind.name.clone(),
        target_latency: milliseconds(kind.aim_ms),
        timeout: milliseconds(kind.deadline_ms),
        has_prompts: true,
        targets: vec![Target { service: SERVICE.into(), weight: 1 }],
        ..Route::example(configuration::Kind::Stream, &format!("/{}/", kind.name))
    }
}

fn configuration(load: &Load) -> Configuration {
    let routes = (0..load.kinds.len()).map(|kind| route(load, kind));
    let mut configuration =
        Configuration { version: 1, routes: Routes::new(routes), ..Configuration::default() };
    configuration.services.insert(SERVICE.into(), Service { has_kv_transfer: true });
    configuration
}

fn upstream(load: &Load, engine: u32) -> Upstream {
    let port = 10_000 + u16::try_from(engine).unwrap_or(u16::MAX - 10_000);
    Upstream {
        address: ([127, 0, 0, 1], port).into(),
        slots: load.engines.slots,
        ..Upstream::example(&format!("engine-{engine}"), SERVICE)
    }
}

/// Returns the engine at an address.
pub(crate) fn engine_at(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

/// Places a call, as the relay does.
pub(crate) fn place(
    fleet: &mut Fleet,
    load: &Load,
    now: Duration,
    call: &Call,
    tried: &[Arc<str>],
    is_late: bool,
) -> Result<Placement, Refusal> {
    let kind = &load.kinds[call.kind];
    let remaining = call.deadline.saturating_sub(now);
    let deadline = Deadline::new(now, Some(remaining), milliseconds(kind.deadline_ms));
    let parts = [(1, 1), (call.key, kind.shared_tokens), (u64::MAX, kind.own_tokens)];
    let prompt = Prompt {
        parts: parts.map(|(id, tokens)| PromptPart { id, tokens }).to_vec(),
        input_tokens: kind.shared_tokens + kind.own_tokens,
        output_tokens: kind.answer_tokens,
    };
    let request = PlacementRequest {
        prompt: Some(&prompt).filter(|_| load.placing == Placing::Reuse),
        zone: ZONE,
        tried,
        remaining,
        max_retry_after: deadline.max_retry_after(now),
        has_started: false,
        is_late,
    };
    fleet.place(now, SERVICE, &request)
}
