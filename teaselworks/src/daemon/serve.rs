//! Starts all services of a router and runs them until a planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use teaselworks_policy::fleet::Fleet;
use tokio::net::TcpListener;

use super::overload::{OverloadLog, shares_report};
use super::page::{self, Page};
use super::services::{CACHE, METRICS, SHARED, UPDATER, fleet_settings, random_seed, register};
use super::{ReloadSignal, StartError, reload, stop};
use crate::discovery::{
    BlockedPartWriter, EndedRequestWriter, OriginRecordWriter, PeerFallback, Registrar,
    StateUpdater, StoreWatcher,
};
use crate::event;
use crate::kernel::{ServiceRegistry, Shutdown, ShutdownPhase, Wakeups};
use crate::net;
use crate::peers;
use crate::platform::Store;
use crate::relay::{CallerPort, Shared};
use crate::settings::Settings;

/// Time between checks for expired state: idle connections to upstreams, upstreams that have been
/// missing for so long that they count as gone, and overloads of services.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks for links to services that are to be probed.
const LINK_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Listening sockets of a router, one for each listen address of the settings.
struct Ports {
    callers: TcpListener,
    health: TcpListener,
    metrics: TcpListener,
    peers: Option<TcpListener>,
}

/// Runs a router until a planned stop has ended; reloads the settings from `path` on each SIGHUP and
/// on changes of the file. `wakeups` are those of the event loop that runs it.
///
/// Fails if a listen address cannot be bound, a signal handler cannot be installed, or a service
/// cannot be registered or found.
pub async fn serve(
    path: PathBuf,
    settings: Settings,
    reload_signal: ReloadSignal,
    wakeups: &Wakeups,
) -> Result<(), StartError> {
    let shutdown = Shutdown::new();
    let registry = register(&settings, &shutdown)?;
    let ports = open_ports(&settings)?;
    let shared = registry.find(&SHARED)?;
    event::ROUTER_STARTED.log(&[
        event::text("router", &settings.router.name),
        event::text("zone", &settings.router.zone),
        event::text("callers", &settings.listen.callers),
        event::text("metrics", &settings.listen.metrics),
        event::text("build", &env!("CARGO_PKG_VERSION")),
    ]);
    let grace = settings.bounds.stop_grace();
    if let Some(address) = settings.listen.peers {
        let opened = shared.datagrams.open(address).await;
        opened.map_err(|error| StartError::Listen(address, error))?;
    }
    let in_progress = start_services(&registry, &settings, ports)?;
    let reload_task = reload::run(path, settings, shared.clone(), reload_signal);
    tokio::select! {
        signalled = stop::wait_for_signal(wakeups) => signalled?,
        () = reload_task => {}
    }
    stop::run(&shared, grace, wakeups.max_signal_delay(), in_progress).await;
    Ok(())
}

/// Binds all listen addresses.
fn open_ports(settings: &Settings) -> Result<Ports, StartError> {
    let listen = &settings.listen;
    Ok(Ports {
        callers: listen_on(listen.callers)?,
        health: listen_on(listen.health)?,
        metrics: listen_on(listen.metrics)?,
        peers: listen.peers.map(listen_on).transpose()?,
    })
}

fn listen_on(address: SocketAddr) -> Result<TcpListener, StartError> {
    net::listen(address).map_err(|error| StartError::Listen(address, error))
}

/// Starts the services as tasks.
///
/// Returns a function that counts the open connections of callers, for which a planned stop waits.
/// A connection accepted while the router drains counts only from its first request.
fn start_services(
    registry: &ServiceRegistry,
    settings: &Settings,
    ports: Ports,
) -> Result<impl Fn() -> usize + use<>, StartError> {
    let shared = registry.find(&SHARED)?;
    let metrics = registry.find(&METRICS)?;
    let cache = registry.find(&CACHE)?;
    let updater = registry.find(&UPDATER)?;
    let new_store = || Store::new(settings.platform.address);

    let fallback = PeerFallback::new(shared.clone(), random_seed());
    let max_staleness = settings.bounds.max_staleness();
    tokio::spawn(
        StoreWatcher::new(new_store(), updater.clone(), fallback, metrics.clone(), max_staleness)
            .run(),
    );
    let peers = settings.listen.peers.unwrap_or(settings.listen.callers);
    let shortest_lease = Duration::from_millis(settings.platform.shortest_lease_ms);
    let name = &settings.router.name;
    tokio::spawn(Registrar::new(new_store(), name, peers, shortest_lease, shared.clone()).run());
    let port = CallerPort::new(shared.clone(), settings.limits.file_descriptors);
    let connections = port.connections();
    if let Some(listener) = ports.peers {
        tokio::spawn(peers::serve(listener, cache, shared.clone(), connections.clone()));
    }
    tokio::spawn(receive_datagrams(shared.clone()));
    let writer =
        BlockedPartWriter::new(new_store(), shared.clone(), metrics.clone(), random_seed());
    tokio::spawn(writer.run());
    let writer = EndedRequestWriter::new(new_store(), shared.clone(), metrics.clone());
    tokio::spawn(writer.run());
    let writer = OriginRecordWriter::new(new_store(), shared.clone(), metrics.clone());
    tokio::spawn(writer.run());
    let ended_shared = shared.clone();
    tokio::spawn(async move { ended_shared.exchange_ended_requests(random_seed()).await });
    let crash_shared = shared.clone();
    tokio::spawn(async move { crash_shared.exchange_crashes().await });
    if fleet_settings(settings).shares.is_enabled() {
        tokio::spawn(exchange_load(shared.clone()));
    }
    tokio::spawn(sweep(shared.clone(), updater));
    tokio::spawn(probe_links(shared.clone()));
    let page_shared = shared.clone();
    tokio::spawn(page::serve(ports.metrics, move || Page {
        status: StatusCode::OK,
        text: metrics.to_text(&shares_report(&page_shared)),
    }));
    tokio::spawn(page::serve(ports.health, move || readiness(&shared)));
    tokio::spawn(port.run(ports.callers));
    Ok(move || connections.count())
}

/// Returns the readiness page: status 200 while the router serves requests, 503 before it is ready
/// and during a planned stop.
fn readiness(shared: &Shared) -> Page {
    let is_ready = shared.shutdown.phase() == ShutdownPhase::Running && shared.fleet().is_ready();
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Page { status, text: String::new() }
}

/// Probes the links to services that may be or are down, until the process ends.
async fn probe_links(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LINK_PROBE_INTERVAL).await;
        let probes = shared.fleet().probes(shared.now());
        for (service, replica) in probes {
            let shared = shared.clone();
            tokio::spawn(async move { shared.probe_link(&service, &replica).await });
        }
    }
}

/// Handles the datagrams of other routers until the process ends.
async fn receive_datagrams(shared: Arc<Shared>) {
    shared.datagrams.receive(|message, sender| shared.on_message(message, sender)).await;
}

/// Exchanges the load that each service is offered with other routers until the process ends.
async fn exchange_load(shared: Arc<Shared>) {
    let process = random_seed();
    shared.exchange_load(process, |fleet, now| fleet.own_loads(now), Fleet::set_totals).await;
}

/// Removes expired state, and logs overloads that have begun or ended, at regular intervals until
/// the process ends.
async fn sweep(shared: Arc<Shared>, updater: Arc<StateUpdater>) {
    let mut overload_log = OverloadLog::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        updater.expire();
        shared.connections.close_expired(shared.now());
        overload_log.update(&shared);
    }
}
