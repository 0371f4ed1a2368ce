//! The fleet of a soak: a store, replicas and router processes. Routers reach the store and the
//! replicas through proxies that inject faults.

use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::record::{Bug, ColdSpan, EvacuationSpan, Recorder};
use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration, upstream_entry};
use crate::links::ReplicaLinks;
use crate::proxy::{Proxy, ProxyFaults};
use crate::router::{Program, Router};
use crate::store::{Mode, Store};
use crate::upstream::{ReceivedRequest, Script, Step, Upstream, chunk, raw_response, stream_head};

/// Replicas of each service.
const REPLICAS_PER_SERVICE: usize = 3;
/// Replicas of all services, without those that are being replaced.
pub(super) const REPLICA_COUNT: usize = 2 * REPLICAS_PER_SERVICE;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Retry budget in the routers' settings: retries allowed for each request of the window.
pub(super) const RETRY_RATIO: f64 = 0.2;
/// Retry budget in the routers' settings: retries allowed in the window besides the ratio.
pub(super) const RETRY_SLACK: u32 = 12;
/// Retry budget in the routers' settings: length of the window.
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a draining replica gets no new requests.
pub(super) const DRAINING_BOUND: Duration = Duration::from_secs(2);
/// Availability zones of the replicas.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time after which replicas of an evacuated zone get no new requests.
pub(super) const EVACUATION_BOUND: Duration = Duration::from_secs(2);
/// Time for which a replica is cold.
pub(super) const COLD_TIME: Duration = Duration::from_secs(2);
/// Requests per second that a cold replica bears.
const COLD_REQUESTS_PER_S: u32 = 6;
/// Number of requests within a second that may reach a cold replica: one and a half times what it
/// bears, and three.
pub(super) const MAX_COLD_REQUESTS: usize = 12;

/// Time for which a router that was told to stop may finish its requests.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(8);

/// Rest that a replica asks for in [`ReplicaMode::AsksForRest`].
pub(super) const REST: Duration = Duration::from_secs(2);
/// One request in this many is rejected by replicas that reject some.
const REJECT_ONE_IN: u32 = 3;

/// How a replica responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ReplicaMode {
    /// It responds correctly.
    #[default]
    Healthy,
    /// It runs requests and resets their connections without a response.
    ResetsConnections,
    /// It runs requests and sends nothing.
    NeverResponds,
    /// It rejects requests without running them.
    RejectsRequests,
    /// It sends a second response after each.
    RespondsTwice,
    /// It resets connections in the middle of a response.
    TruncatesResponses,
    /// It says that it is brittle and rejects one request in [`REJECT_ONE_IN`].
    IsBrittle,
    /// It rejects one request in [`REJECT_ONE_IN`] and asks for [`REST`].
    AsksForRest,
    /// It responds correctly and says that it is leaving.
    IsLeaving,
}

impl ReplicaMode {
    /// Modes that count as unplanned faults.
    pub(super) const FAULTY: [ReplicaMode; 6] = [
        ReplicaMode::ResetsConnections,
        ReplicaMode::NeverResponds,
        ReplicaMode::RejectsRequests,
        ReplicaMode::RespondsTwice,
        ReplicaMode::TruncatesResponses,
        ReplicaMode::IsBrittle,
    ];
}

/// A replica and the proxy in front of it.
pub(super) struct Replica {
    pub(super) upstream: Upstream,
    pub(super) proxy: Proxy,
    pub(super) service: &'static str,
    zone: &'static str,
    /// Time until which the replica is cold, by the clock of the [`Recorder`].
    cold_until: Cell<Duration>,
    mode: Arc<Mutex<ReplicaMode>>,
}

impl Replica {
    /// Starts a replica that records the requests that reach it.
    fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        recorder: &Arc<Recorder>,
    ) -> std::io::Result<Self> {
        let mode = Arc::new(Mutex::new(ReplicaMode::default()));
        let (current, recorder, name) = (mode.clone(), recorder.clone(), id.to_owned());
        let upstream = Upstream::start(id, move |req| {
            let mode = *current.lock().expect("the lock of the mode is never poisoned");
            let script = response_script(req, service, mode, recorder.simulated_bug);
            let asks_for_rest = mode == ReplicaMode::AsksForRest && !script.is_run;
            recorder.record_arrival(req.id(), &name, script.is_run, asks_for_rest);
            script
        })?;
        let proxy = Proxy::start(upstream.address())?;
        Ok(Self { upstream, proxy, service, zone, cold_until: Cell::default(), mode })
    }

    /// Changes how the replica responds to requests that arrive from now on.
    pub(super) fn set_mode(&self, mode: ReplicaMode) {
        *self.mode.lock().expect("the lock of the mode is never poisoned") = mode;
    }
}

/// Returns the number of events in the stream that answers a request: from 3 to 14, depending on
/// its identifier alone, so that callers know it too.
pub(super) fn event_count(id: &str) -> u32 {
    3 + id.bytes().map(u32::from).sum::<u32>() % 12
}

/// Returns the body of the response to a request that is not streaming.
pub(super) fn body_for(id: &str) -> String {
    format!("a verse for {id}")
}

/// Header line of a replica in [`ReplicaMode::IsBrittle`].
const BRITTLE_HEADER: &str = "server-brittle: 3";

/// Returns whether a replica that rejects some requests rejects this one, which depends on its
/// identifier alone.
fn is_one_of_some(id: &str) -> bool {
    event_count(id).is_multiple_of(REJECT_ONE_IN)
}

/// Returns one event of the stream that answers a request, as a chunk.
fn event_chunk(id: &str, number: u32) -> Vec<u8> {
    chunk(&format!("id: {number}\ndata: {id}-{number}\n\n"))
}

/// Returns the steps by which a replica responds to a request.
fn response_script(
    req: &ReceivedRequest,
    service: &str,
    mode: ReplicaMode,
    simulated_bug: Option<Bug>,
) -> Script {
    let id = req.id();
    // The simulated bug needs refused requests: those whose streams would have three events are
    // rejected.
    let is_rejected = simulated_bug == Some(Bug::RunsAfterRefusal) && event_count(id) == 3;
    if mode == ReplicaMode::RejectsRequests || is_rejected {
        return Script::rejected(req);
    }
    if mode == ReplicaMode::AsksForRest && is_one_of_some(id) {
        return Script::asking_for_rest(req, REST.as_secs() as u32);
    }
    if mode == ReplicaMode::IsBrittle && is_one_of_some(id) {
        return Script::rejected(req).with_header(BRITTLE_HEADER);
    }
    let mut steps = Vec::new();
    if service == ARCHIVE_SERVICE {
        steps.push(Step::Pause(EVENT_INTERVAL));
        steps.push(Step::Write(raw_response(id, 200, &body_for(id))));
    } else {
        let last = req.head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        steps.push(Step::Write(stream_head(id)));
        for number in last + 1..=event_count(id) {
            if simulated_bug == Some(Bug::MissingEvent) && number == 2 {
                continue;
            }
            steps.push(Step::Pause(EVENT_INTERVAL));
            steps.push(Step::Write(event_chunk(id, number)));
        }
        steps.push(Step::Write(b"0\r\n\r\n".to_vec()));
    }
    match mode {
        ReplicaMode::Healthy | ReplicaMode::RejectsRequests | ReplicaMode::AsksForRest => {}
        ReplicaMode::IsBrittle => return Script::new(steps).with_header(BRITTLE_HEADER),
        ReplicaMode::IsLeaving => return Script::new(steps).with_header("server-leaving: 1"),
        ReplicaMode::ResetsConnections => steps = vec![Step::Pause(EVENT_INTERVAL), Step::Reset],
        ReplicaMode::NeverResponds => steps = vec![Step::Silence],
        ReplicaMode::RespondsTwice => steps.push(Step::Write(raw_response(id, 200, &body_for(id)))),
        ReplicaMode::TruncatesResponses => {
            steps.truncate(3);
            if let Some(Step::Write(bytes)) = steps.last_mut() {
                bytes.truncate(bytes.len() / 2);
            }
            steps.push(Step::Reset);
        }
    }
    Script::new(steps)
}

/// A router process, and the proxies between it and the store and the replicas.
pub(super) struct SoakRouter {
    pub(super) process: Router,
    pub(super) store_proxy: Proxy,
    pub(super) links: ReplicaLinks,
    /// How many times the process was started again.
    pub(super) restart_count: Arc<AtomicU64>,
}

/// A running fleet.
pub(super) struct SoakFleet {
    pub(super) store: Store,
    pub(super) replicas: Vec<Replica>,
    pub(super) routers: Vec<SoakRouter>,
    pub(super) configuration: TestConfiguration,
    /// Version of the configuration that was published last, shared with the probes.
    pub(super) newest_version: Arc<AtomicU64>,
    recorder: Arc<Recorder>,
    /// Number of replicas started so far, which makes their identifiers unique.
    started_replicas: usize,
}

impl SoakFleet {
    /// Starts a fleet and waits until its routers are ready.
    pub(super) async fn start(
        program: Program,
        routers: usize,
        recorder: &Arc<Recorder>,
    ) -> Result<Self, Box<dyn Error>> {
        let mut fleet = Self {
            store: Store::start()?,
            replicas: Vec::new(),
            routers: Vec::new(),
            configuration: TestConfiguration::default(),
            newest_version: Arc::new(AtomicU64::new(1)),
            recorder: recorder.clone(),
            started_replicas: 0,
        };
        for service in fleet.configuration.value["services"].as_array_mut().into_iter().flatten() {
            service["cold_per_s"] = json!(COLD_REQUESTS_PER_S);
        }
        fleet.publish_next_version();
        for service in [ARCHIVE_SERVICE, CHAT_SERVICE] {
            for _ in 0..REPLICAS_PER_SERVICE {
                fleet.add_replica(service)?;
            }
        }
        let bounds = json!({
            "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK,
            "retry_window_s": RETRY_WINDOW.as_secs(),
            "draining_ms": DRAINING_BOUND.as_millis() as u64,
            "evacuation_ms": EVACUATION_BOUND.as_millis() as u64,
            "cold_overshoot": 1.5, "cold_slack": 3,
            "stop_grace_s": STOP_GRACE.as_secs(),
        });
        for number in 0..routers {
            let mut links = ReplicaLinks::start(&fleet.store)?;
            for replica in &fleet.replicas {
                links.add(replica.proxy.address())?;
            }
            let store_proxy = Proxy::start(links.store_address())?;
            let seeds: Vec<SocketAddr> =
                fleet.routers.iter().map(|router| router.process.peers_address()).collect();
            let name = format!("router-{number}");
            let address = store_proxy.address();
            let process = Router::start(program.clone(), &name, address, &seeds, &bounds)?;
            fleet.routers.push(SoakRouter {
                process,
                store_proxy,
                links,
                restart_count: Arc::default(),
            });
        }
        for router in &fleet.routers {
            router.process.wait_until_ready().await?;
        }
        Ok(fleet)
    }

    /// Publishes the next version of the configuration. It adds a route of its own, by which probes
    /// find out whether a router has this version.
    pub(super) fn publish_next_version(&mut self) {
        self.configuration.next_version();
        let version = self.configuration.value["version"].as_u64().unwrap_or_default();
        self.configuration.add_route(&version_route_prefix(version), "safe", ARCHIVE_SERVICE, 2);
        self.store.put_json("op/config", &self.configuration.value);
        self.newest_version.store(version, Ordering::Relaxed);
    }

    /// Starts a replica of a service and lists it as ready.
    pub(super) fn add_replica(&mut self, service: &'static str) -> std::io::Result<()> {
        self.started_replicas += 1;
        let id = format!("{service}-{}", self.started_replicas);
        let zone = ZONES[self.started_replicas % ZONES.len()];
        let replica = Replica::start(&id, service, zone, &self.recorder)?;
        for router in &mut self.routers {
            router.links.add(replica.proxy.address())?;
        }
        self.put_entry(&replica, "ready");
        self.replicas.push(replica);
        Ok(())
    }

    /// Writes a replica's entry to the store.
    pub(super) fn put_entry(&self, replica: &Replica, state: &str) {
        let mut entry =
            upstream_entry(&replica.upstream, replica.proxy.address(), replica.service, state);
        let cold_remaining = replica.cold_until.get().saturating_sub(self.recorder.now());
        entry["zone"] = json!(replica.zone);
        entry["cold_remaining_ms"] = json!(cold_remaining.as_millis() as u64);
        self.store.put_json(&format!("servers/{}", replica.upstream.id), &entry);
    }

    /// Removes a replica's entry from the store.
    pub(super) fn remove_entry(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Evacuates a zone. To simulate the bug, only the record says so.
    pub(super) fn evacuate_zone(&self, zone: &'static str, recorder: &Recorder) {
        if recorder.simulated_bug != Some(Bug::RequestsAfterEvacuation) {
            self.store.put_json(&format!("op/evacuate/{zone}"), &json!({}));
        }
        let in_zone = self.replicas.iter().filter(|replica| replica.zone == zone);
        let upstreams = in_zone.map(|replica| replica.upstream.id.clone()).collect();
        let from = recorder.now();
        let span = EvacuationSpan { zone, upstreams, from, to: None };
        recorder.observations().evacuations.push(span);
    }

    /// Takes a zone back, whose replicas are cold since just before. To simulate the bug, only the
    /// record says that they are.
    pub(super) fn take_zone_back(&self, zone: &'static str, recorder: &Recorder) {
        let from = recorder.now();
        for replica in self.replicas.iter().filter(|replica| replica.zone == zone) {
            let upstream = replica.upstream.id.clone();
            let span = ColdSpan { upstream, from, to: from + COLD_TIME };
            recorder.observations().cold_spans.push(span);
            if recorder.simulated_bug != Some(Bug::ColdOverload) {
                replica.cold_until.set(from + COLD_TIME);
                self.put_entry(replica, "ready");
            }
        }
        for span in &mut recorder.observations().evacuations {
            if span.zone == zone && span.to.is_none() {
                span.to = Some(from);
            }
        }
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Ends every fault that still lasts: restores the store, the replicas and the proxies, cuts
    /// all connections through the proxies, resumes suspended routers, and waits until every router
    /// is ready.
    pub(super) async fn end_all_faults(&mut self) -> Result<(), Box<dyn Error>> {
        self.store.set_mode(Mode::Serving);
        for replica in &self.replicas {
            replica.proxy.set_faults(|faults| *faults = ProxyFaults::default());
            replica.proxy.cut();
            replica.set_mode(ReplicaMode::Healthy);
            self.put_entry(replica, "ready");
        }
        for router in &mut self.routers {
            router.store_proxy.set_faults(|faults| *faults = ProxyFaults::default());
            router.store_proxy.cut();
            router.links.heal();
            router.process.signal(Signal::SIGCONT)?;
        }
        for router in &self.routers {
            router.process.wait_until_ready().await?;
        }
        Ok(())
    }
}

/// Returns the path prefix of the route that a version of the configuration adds.
pub(super) fn version_route_prefix(version: u64) -> String {
    format!("/version-{version}/")
}
