//! Starts a router, serves until a planned stop, and ends in order.

use std::sync::Arc;

use poem::Route;
use teaselworks_config::settings::Settings;
use teaselworks_policy::membership::View;
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::Source;
use teaselworks_wire::message::Purpose;

use super::control::ControlTable;
use super::error::StartError;
use super::fleet::{self, FleetView};
use super::port::Port;
use super::rate::{self, RateSettled};
use super::services::{
    Base, CALLERS, DISPATCHER, LINKS, METRICS, OPERATOR, OWNER, apply, register_ports,
    register_request_path,
};
use super::{limits, orders, stop};
use crate::event;
use crate::kernel::Registry;
use crate::link::{LinkHandlers, LinkIdentity, Links, Peer};
use crate::metrics::Metrics;
use crate::operator;
use crate::platform::{PLATFORM, Platform};
use crate::store::{self, Peers, STORE, Store};
use crate::usage::{self, BudgetStore, PeerCall, Slots, USAGE, UsageParts, UsageService};

/// The ports of a router, opened before anything is served.
struct Ports {
    callers: Port,
    operators: Port,
}

/// Runs a router until a planned stop has ended; fails when it cannot start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    event::init(&settings.log);
    let base = Base::new(settings);
    let outcome = serve(&base).await;
    if let Err(error) = &outcome {
        event::START_FAILED.log(format_args!("{error}"));
    }
    outcome
}

async fn serve(base: &Base) -> Result<(), StartError> {
    let listen = &base.settings.listen;
    let ports = Ports {
        callers: Port::open(listen.callers).await?,
        operators: Port::open(listen.operators).await?,
    };
    let registry = Registry::new();
    let control = ControlTable::new();
    register_base(&registry, base)?;
    let fleet = fleet::register(&registry, base, &control)?;
    let rate_settled = rate::follow_fleet(&registry, base, &fleet)?;
    register_store(&registry, base, &fleet, rate_settled, &control)?;
    register_usage(&registry, base, &fleet, &control)?;
    limits::register(&registry, base, &fleet, &control)?;
    register_request_path(&registry, base, &fleet)?;
    register_ports(&registry, base, &fleet)?;
    listen_for_links(&registry, base, &control).await?;
    follow_configuration(&registry, &fleet)?;
    fleet::follow_leaving(&registry, base, &fleet, registry.find(&DISPATCHER)?)?;
    follow_loads(&registry, base, &control)?;
    orders::register(&registry, base, &fleet, &control)?;
    serve_ports(&registry, base, ports)?;
    stop::requested().await?;
    let owner = registry.find(&OWNER)?;
    let dispatcher = registry.find(&DISPATCHER)?;
    let in_progress = || owner.attempts() + dispatcher.in_progress();
    let usage = registry.find(&USAGE)?;
    let hand_over = usage.hand_over();
    stop::planned_stop(&base.shutdown, &base.settings.stop, in_progress, hand_over).await;
    event::ROUTER_STOPPED.log(format_args!("router={}", base.settings.router.name));
    Ok(())
}

fn register_base(registry: &Registry, base: &Base) -> Result<(), StartError> {
    let metrics = Arc::new(Metrics::new());
    registry.register(&METRICS, metrics.clone())?;
    let platform =
        Arc::new(Platform::new(&base.settings.platform, base.clock.clone(), &metrics, base.seed));
    registry.register(&PLATFORM, platform)?;
    let identity =
        LinkIdentity { router: base.settings.router.name.clone(), incarnation: base.incarnation };
    let links = Links::new(identity, base.settings.links.clone(), metrics);
    registry.register(&LINKS, links)?;
    Ok(())
}

/// Registers and starts the configuration service.
///
/// It waits for its peers and for the rate of the fleet: with the rate of a router that starts, its
/// first calls would use up what the operator's first patches need, and those be refused.
fn register_store(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
    rate_settled: RateSettled,
    control: &ControlTable,
) -> Result<(), StartError> {
    let peers = configuration_peers(base, fleet, registry.find(&LINKS)?)
        .found_when(move || rate_settled.get());
    let store = Arc::new(Store::new(
        &base.settings.platform,
        registry.find(&PLATFORM)?,
        peers,
        base.clock.clone(),
        base.seed,
    ));
    registry.register(&STORE, store.clone())?;
    let handler = store.clone();
    control.set(
        Purpose::Configuration,
        Box::new(move |request| {
            // The asker may be gone, which is for it to notice.
            let _ = request.answer.send(handler.handle(&request.bytes));
        }),
    );
    store.start(&base.shutdown);
    Ok(())
}

fn register_usage(
    registry: &Registry,
    base: &Base,
    fleet: &FleetView,
    control: &ControlTable,
) -> Result<(), StartError> {
    let router = base.settings.router.name.clone();
    let usage = UsageService::new(UsageParts {
        source: Source { router: router.clone(), incarnation: base.incarnation },
        clock: base.clock.clone(),
        metrics: registry.find(&METRICS)?,
        fleet: usage::fleet_of(router, fleet.source()),
        watched: usage::watched_in(fleet.source()),
        call: peer_call(fleet, registry.find(&LINKS)?, Purpose::Usage),
        slots: Slots::on(registry.find(&PLATFORM)?),
        budgets: BudgetStore::on(registry.find(&PLATFORM)?),
    });
    registry.register(&USAGE, usage.clone())?;
    let handler = usage.clone();
    control.set(
        Purpose::Usage,
        Box::new(move |request| {
            let handler = handler.clone();
            tokio::spawn(async move {
                // An unreadable message gets no answer, and the asker may be gone.
                if let Some(answer) = handler.handle(&request.from, &request.bytes).await {
                    let _ = request.answer.send(answer);
                }
            });
        }),
    );
    usage.start(base.shutdown.clone());
    Ok(())
}

/// Lets a service ask the other routers over their links.
pub(super) fn peer_call(fleet: &FleetView, links: Arc<Links>, purpose: Purpose) -> PeerCall {
    let fleet = fleet.clone();
    Arc::new(move |name: Name, message, timeout| {
        let (links, view) = (links.clone(), fleet.view());
        Box::pin(async move {
            let address = view.router(&name)?.address;
            let peer = Peer { router: name, address };
            links.call(&peer, purpose, message, timeout).await.ok()
        })
    })
}

/// Lets the configuration service reach the other routers over their links.
fn configuration_peers(base: &Base, fleet: &FleetView, links: Arc<Links>) -> Peers {
    let own = store::Peer {
        name: base.settings.router.name.clone(),
        zone: base.settings.router.zone.clone(),
    };
    let (shown, own_name) = (fleet.clone(), own.name.clone());
    let list = move || live_peers(&shown.view(), &own_name);
    let call = peer_call(fleet, links, Purpose::Configuration);
    Peers::new(own, list, move |name, message, timeout| call(name, message, timeout))
}

fn live_peers(view: &View, own: &Name) -> Vec<store::Peer> {
    let mut peers = Vec::new();
    for router in view.routers() {
        if router.name == *own || !router.state.is_reachable() {
            continue;
        }
        peers.push(store::Peer { name: router.name.clone(), zone: router.place.zone.clone() });
    }
    peers
}

async fn listen_for_links(
    registry: &Registry,
    base: &Base,
    control: &Arc<ControlTable>,
) -> Result<(), StartError> {
    let owner = registry.find(&OWNER)?;
    let control = control.clone();
    let handlers = LinkHandlers {
        incoming: Arc::new(move |incoming| owner.accept(incoming)),
        control: Arc::new(move |request| control.handle(request)),
    };
    let address = base.settings.listen.links;
    let opened = registry.find(&LINKS)?.listen(address, handlers).await;
    opened.map_err(|source| StartError::Listen { address, source })?;
    Ok(())
}

/// Keeps the loads of replicas and the means of pools true.
fn follow_loads(
    registry: &Registry,
    base: &Base,
    control: &ControlTable,
) -> Result<(), StartError> {
    let owner = registry.find(&OWNER)?;
    owner.start_reports(base.shutdown.clone());
    owner.start_means(registry.find(&LINKS)?, base.shutdown.clone());
    control.set(
        Purpose::Load,
        Box::new(move |request| {
            if let Some(answer) = owner.answer_means(&request.bytes) {
                // The asker may be gone, which is for it to notice.
                let _ = request.answer.send(answer);
            }
        }),
    );
    Ok(())
}

/// Puts each configuration in force as the store learns it.
fn follow_configuration(registry: &Registry, fleet: &FleetView) -> Result<(), StartError> {
    let fleet = fleet.clone();
    let owner = registry.find(&OWNER)?;
    let dispatcher = registry.find(&DISPATCHER)?;
    let store = registry.find(&STORE)?;
    let mut receiver = store.subscribe();
    tokio::spawn(async move {
        loop {
            let numbered = receiver.borrow_and_update().clone();
            apply(&fleet, &owner, &dispatcher, numbered);
            if receiver.changed().await.is_err() {
                return;
            }
        }
    });
    Ok(())
}

fn serve_ports(registry: &Registry, base: &Base, ports: Ports) -> Result<(), StartError> {
    let store = registry.find(&STORE)?;
    let usage = registry.find(&USAGE)?;
    let current = store.clone();
    let configuration = move || Arc::new(current.current().configuration.clone());
    let operators = operator::routes(registry.find(&OPERATOR)?)
        .nest("/v1/configuration", store::routes(store))
        .nest("/v1/workspaces", usage::routes(usage, configuration));
    event::ROUTER_STARTED.log(format_args!(
        "router={} callers={} operators={}",
        base.settings.router.name,
        ports.callers.address(),
        ports.operators.address()
    ));
    let callers = registry.find(&CALLERS)?.routes();
    ports.callers.serve(Route::new().nest_no_strip("/", callers), &base.shutdown);
    ports.operators.serve(operators, &base.shutdown);
    Ok(())
}
