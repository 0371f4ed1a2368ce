//! Membership services of real routers in one process, joined by real links and a list of VMs.

use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use teaselworks::kernel::{Shutdown, ShutdownPhase};
use teaselworks::link::{ControlRequest, LinkHandlers, LinkIdentity, Links, Peer};
use teaselworks::membership::{MembershipParts, MembershipService, PeerCall};
use teaselworks::metrics::Metrics;
use teaselworks_config::settings::{LinkSettings, MembershipSettings, VmListSettings};
use teaselworks_policy::clock::SystemClock;
use teaselworks_policy::membership::{
    Contact, Duty, Identity, ListedState, Place, RouterState, Standing,
};
use teaselworks_standin::vm_list::{Vm, VmKind, VmList, VmState};
use teaselworks_wire::message::Purpose;
use tokio::runtime::{Builder, Runtime};

/// Longest wait for anything; far above what a loaded machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

const POLL_MS: u64 = 100;

const ENGINE: &str = "engine";

/// A router on a runtime of its own, so that it can be killed or stand still by itself.
struct Router {
    name: &'static str,
    service: Arc<MembershipService>,
    metrics: Arc<Metrics>,
    shutdown: Shutdown,
    runtime: Runtime,
}

fn call_through(links: Arc<Links>) -> PeerCall {
    Arc::new(move |to: Contact, bytes, timeout| {
        let links = links.clone();
        let peer = Peer { router: to.router, address: to.address };
        Box::pin(async move { links.call(&peer, Purpose::Membership, bytes, timeout).await.ok() })
    })
}

/// Starts a router and lists it.
fn router(name: &'static str, zone: &str, list: &VmList) -> Router {
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let metrics = Arc::new(Metrics::new());
    let settings = LinkSettings {
        secret: "a secret for the tests".into(),
        connect_timeout_ms: 1_000,
        probe_timeout_ms: 250,
        idle_timeout_ms: 5_000,
        stream_window_bytes: 16 << 10,
        frame_size_bytes: 16 << 10,
        streams: 64,
        memory_bytes: 1 << 20,
        quiet_close_ms: 300_000,
    };
    let link_identity = LinkIdentity { router: name.into(), incarnation: 1 };
    let links = Links::new(link_identity, settings, metrics.clone());
    let service_slot: Arc<OnceLock<Arc<MembershipService>>> = Arc::default();
    let slot = service_slot.clone();
    let handlers = LinkHandlers {
        incoming: Arc::new(|_| {}),
        control: Arc::new(move |request: ControlRequest| {
            let Some(service) = slot.get() else { return };
            service.handle(&request.from, &request.bytes, request.answer);
        }),
    };
    let listening = links.listen("127.0.0.1:0".parse().unwrap(), handlers);
    let address = runtime.block_on(listening).unwrap();
    let place = Place { region: "region".into(), zone: zone.into() };
    let parts = MembershipParts {
        identity: Identity { name: name.into(), incarnation: 1, address, place },
        settings: MembershipSettings::default(),
        vm_list: VmListSettings { url: list.url(), poll_ms: POLL_MS },
        seed: 7,
        call: call_through(links),
    };
    let service = MembershipService::new(parts, Arc::new(SystemClock::new()), &metrics);
    service_slot.set(service.clone()).ok().unwrap();
    let shutdown = Shutdown::new();
    runtime.block_on(async { service.start(shutdown.clone()) });
    let links_address = Some(address.to_string());
    list.update(|vms| vms.push(vm(name, VmKind::Router, links_address, VmState::Live)));
    Router { name, service, metrics, shutdown, runtime }
}

fn vm(name: &str, kind: VmKind, links: Option<String>, state: VmState) -> Vm {
    Vm { name: name.into(), kind, links, zone: "a".into(), region: "region".into(), state }
}

impl Router {
    fn sees(&self, other: &str) -> Option<RouterState> {
        self.service.view().router(other).map(|router| router.state)
    }

    fn until_sees(&self, other: &str, state: RouterState) {
        until(|| self.sees(other) == Some(state));
    }

    fn owns(&self) -> bool {
        matches!(self.service.duty(ENGINE), Duty::Mine { .. })
    }

    /// Ends all tasks and sockets at once, as a killed process would.
    fn kill(self) {
        self.runtime.shutdown_background();
    }

    /// Keeps all tasks from running, as a stopped process would.
    fn stand_still(&self, pause: Duration) {
        self.runtime.spawn(async move { thread::sleep(pause) });
    }
}

#[track_caller]
fn until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "not reached");
        thread::sleep(Duration::from_millis(10));
    }
}

fn fleet(list: &VmList) -> [Router; 3] {
    let routers = [router("r1", "a", list), router("r2", "b", list), router("r3", "c", list)];
    for viewer in &routers {
        for other in &routers {
            viewer.until_sees(other.name, RouterState::Alive);
        }
    }
    routers
}

/// Symptom: a killed router goes on getting requests, and one that leaves too. Sequence: three
/// routers find each other through the list; one stops on purpose, one is killed. Cause: nobody
/// probes, or the news of a stop waits for a probe.
#[test]
fn routers_join_leave_and_are_lost() {
    let standins = Runtime::new().unwrap();
    let _standins = standins.enter();
    let list = VmList::start().unwrap();
    let [first, second, third] = fleet(&list);
    second.shutdown.advance(ShutdownPhase::Notice);
    first.until_sees("r2", RouterState::Leaving);
    third.until_sees("r2", RouterState::Leaving);
    third.kill();
    first.until_sees("r3", RouterState::Dead);
    first.until_sees("r2", RouterState::Leaving);
    assert_eq!(first.service.view().owners().count(), 1);
    let text = first.metrics.to_text();
    assert!(text.contains(r#"teaselworks_routers{state="dead""#), "{text}");
}

/// Symptom: two routers admit work to one engine. Sequence: the owner's process stands still and
/// another router takes over; the owner wakes and returns. Cause: it trusts a view that nobody
/// confirms, or takes its engine back as soon as it is seen again.
#[test]
fn a_router_that_stands_still_stops_to_act_before_another_takes_over() {
    let standins = Runtime::new().unwrap();
    let _standins = standins.enter();
    let list = VmList::start().unwrap();
    let routers = fleet(&list);
    let near = Place { region: "region".into(), zone: "c".into() };
    for router in &routers {
        router.service.set_replicas([(ENGINE.into(), Some(near.clone()))]);
    }
    let [first, second, third] = &routers;
    assert!(third.owns());
    third.stand_still(Duration::from_secs(8));
    until(|| {
        let taken_over = first.owns() || second.owns();
        // Asked after the others: an owner that stopped does not begin again while it stands.
        assert!(!(taken_over && third.owns()), "two owners");
        taken_over
    });
    assert_ne!(third.service.standing(), Standing::Confirmed);
    until(|| third.sees("r3") == Some(RouterState::Joining));
    assert!(third.sees("r1").is_some_and(RouterState::is_reachable), "it took no peer for lost");
    until(|| third.owns() && !first.owns() && !second.owns());
    let denied = third.metrics.to_text();
    let denied = denied.lines().find(|line| line.starts_with("teaselworks_losses_denied_total"));
    assert!(denied.is_some_and(|line| line.ends_with(" 1")), "{denied:?}");
}

/// Symptom: an engine that shuts down gets new work. Sequence: one reading of the list calls it
/// leaving, the next one, from a copy that is behind, calls it live. Cause: the last one wins.
#[test]
fn an_upstream_once_leaving_stays_so_and_peers_hear_of_it() {
    let standins = Runtime::new().unwrap();
    let _standins = standins.enter();
    let list = VmList::start().unwrap();
    let [first, second, _third] = fleet(&list);
    list.update(|vms| vms.push(vm(ENGINE, VmKind::Upstream, None, VmState::Leaving)));
    until(|| second.service.upstream_state(ENGINE) == ListedState::Leaving);
    list.update(|vms| vms.last_mut().unwrap().state = VmState::Live);
    list.set_unavailable(true);
    until(|| first.service.upstream_state(ENGINE) == ListedState::Leaving);
    list.set_unavailable(false);
    thread::sleep(Duration::from_millis(5 * POLL_MS));
    assert_eq!(second.service.upstream_state(ENGINE), ListedState::Leaving);
}
