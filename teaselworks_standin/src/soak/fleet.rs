//! The fleet of a soak: a store, replicas and router processes. Routers reach the store and the
//! replicas through proxies that inject faults.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nix::sys::signal::Signal;
use serde_json::json;

use super::bounds::{
    COLD_REQUESTS_PER_S, COLD_TIME, DRAINING_BOUND, EVACUATION_BOUND, RETRY_RATIO, RETRY_SLACK,
    RETRY_WINDOW, STOP_GRACE,
};
use super::broken_answers::MAX_UPLOAD_BYTES;
use super::bug::Bug;
use super::record::{ColdSpan, EvacuationSpan, Recorder, RequestKind, ServingSpan};
use super::replica::{Listing, Replica, ReplicaMode};
use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration, upstream_entry};
use crate::links::ReplicaLinks;
use crate::proxy::{Proxy, ProxyFaults};
use crate::router::{Program, Router};
use crate::store::{Mode, Store};

/// Replicas of each service.
const REPLICAS_PER_SERVICE: usize = 3;
/// Services, in the order of their replicas. The last one serves a share of the resumable route.
pub(super) const SERVICES: [&str; 3] = [ARCHIVE_SERVICE, CHAT_SERVICE, CANARY_SERVICE];
/// Service of the model engines that serve a share of the resumable route.
pub(super) const CANARY_SERVICE: &str = "canary";
/// Replicas of all services, without those that are being replaced.
pub(super) const REPLICA_COUNT: usize = SERVICES.len() * REPLICAS_PER_SERVICE;
/// Replicas of the services that no configuration leaves without a route.
pub(super) const ROUTED_REPLICA_COUNT: usize = 2 * REPLICAS_PER_SERVICE;
/// Software versions of the replicas of each service, which serve side by side: two of three replicas
/// have the first one.
const VERSIONS: [&str; REPLICAS_PER_SERVICE] = ["v1", "v2", "v1"];
/// Availability zones of the replicas.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Levels of odd values that are nested.
const ODD_LEVELS: usize = 20_000;

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
    /// Number of releases of new software versions.
    release_count: usize,
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
            release_count: 0,
            started_replicas: 0,
        };
        if let Some(services) = fleet.configuration.value["services"].as_array_mut() {
            let engines = services.iter().find(|service| service["name"] == CHAT_SERVICE);
            let mut canary = engines.cloned().unwrap_or_default();
            canary["name"] = json!(CANARY_SERVICE);
            services.push(canary);
        }
        for service in fleet.configuration.value["services"].as_array_mut().into_iter().flatten() {
            service["cold_per_s"] = json!(COLD_REQUESTS_PER_S);
        }
        fleet.configuration.value["limits"]["max_body_bytes"] = json!(MAX_UPLOAD_BYTES);
        fleet.split_route(0);
        for service in SERVICES {
            for version in VERSIONS {
                fleet.add_replica(service, version)?;
            }
        }
        // To simulate the bug, the budget of each router is that of the fleet once more for each.
        let budgets = match recorder.simulated_bug {
            Some(Bug::BudgetOfEachRouter) => routers as f64 + 1.0,
            _ => 1.0,
        };
        let bounds = json!({
            "retry_ratio": budgets * RETRY_RATIO, "retry_slack": budgets * f64::from(RETRY_SLACK),
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

    /// Publishes the next version of the configuration, beside entries of another writer. It adds a
    /// route of its own, by which probes find out whether a router has this version.
    pub(super) fn publish_next_version(&mut self) {
        self.configuration.next_version();
        let version = self.configuration.value["version"].as_u64().unwrap_or_default();
        self.configuration.add_route(&version_route_prefix(version), "safe", ARCHIVE_SERVICE, 2);
        for (number, value) in odd_values().iter().enumerate() {
            self.store.put(&format!("servers/odd-{number}"), value);
            self.store.put(&format!("routers/odd-{number}"), value);
        }
        // To simulate the bug, no version is written once routers run.
        let is_written = self.recorder.simulated_bug != Some(Bug::ConfigurationNotFollowed);
        if is_written || self.routers.is_empty() {
            self.store.put_json("op/config", &self.configuration.value);
        }
        self.newest_version.store(version, Ordering::Relaxed);
        self.recorder.observations().published.push((version, self.recorder.now()));
    }

    /// Publishes a version of the configuration that sends a share of the resumable route, in
    /// percent, to [`CANARY_SERVICE`], and the rest to [`CHAT_SERVICE`].
    pub(super) fn split_route(&mut self, canary_percent: u32) {
        let weights = [(CHAT_SERVICE, 100 - canary_percent), (CANARY_SERVICE, canary_percent)];
        let targets = weights.into_iter().filter(|(_, weight)| *weight > 0);
        let split =
            targets.clone().map(|(name, weight)| json!({"service": name, "weight": weight}));
        let route = self.configuration.route_mut(RequestKind::ResumableChat.prefix());
        route["service"] = json!(null);
        route["traffic_split"] = split.collect();
        let services = targets.map(|(name, _)| name).collect();
        self.recorder.observations().splits.push((self.recorder.now(), services));
        self.publish_next_version();
    }

    /// Begins a release: starts replicas of a service with a new software version, and lets the
    /// others leave.
    pub(super) fn begin_release(
        &mut self,
        service: &'static str,
        listing: Listing,
    ) -> std::io::Result<()> {
        let running = self.replicas.len();
        self.release_count += 1;
        let version = format!("v{}", VERSIONS.len() + self.release_count);
        for _ in 0..REPLICAS_PER_SERVICE {
            self.add_replica(service, &version)?;
        }
        for replica in self.replicas[..running].iter().filter(|old| old.service == service) {
            self.let_leave(replica, listing);
        }
        Ok(())
    }

    /// Ends a release: the replicas of the older version exit.
    pub(super) fn end_release(&mut self, service: &str) {
        for number in 0..REPLICA_COUNT {
            if self.replicas[number].service == service {
                self.remove_replica(number);
            }
        }
    }

    /// States in the store that a replica leaves.
    pub(super) fn let_leave(&self, replica: &Replica, listing: Listing) {
        let id = &replica.upstream.id;
        replica.listing.set(listing);
        self.put_entry(replica);
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        observations.draining_since.push((id.clone(), now));
        observations.end_serving(id, now);
    }

    /// Removes a replica. The last one in the list, which is new, takes its index, so that the
    /// indexes of all other replicas stay.
    pub(super) fn remove_replica(&mut self, number: usize) {
        let removed = self.replicas.swap_remove(number);
        removed.listing.set(Listing::Removed);
        self.put_entry(&removed);
        let (id, now) = (removed.upstream.id.clone(), self.recorder.now());
        let mut observations = self.recorder.observations();
        observations.end_serving(&id, now);
        observations.removals.push((id, now));
    }

    /// Starts a replica of a service with a software version, and lists it as ready.
    pub(super) fn add_replica(
        &mut self,
        service: &'static str,
        version: &str,
    ) -> std::io::Result<()> {
        self.started_replicas += 1;
        let id = format!("{service}-{}", self.started_replicas);
        let zone = ZONES[self.started_replicas % ZONES.len()];
        let replica = Replica::start(&id, service, zone, version, &self.recorder)?;
        for router in &mut self.routers {
            router.links.add(replica.proxy.address())?;
        }
        self.put_entry(&replica);
        self.replicas.push(replica);
        let (version, from) = (version.to_owned(), self.recorder.now());
        let span = ServingSpan { upstream: id, service, version, from, to: None };
        self.recorder.observations().serving_spans.push(span);
        Ok(())
    }

    /// Writes a replica's entry to the store, or removes it.
    pub(super) fn put_entry(&self, replica: &Replica) {
        let key = format!("servers/{}", replica.upstream.id);
        let state = match replica.listing.get() {
            Listing::Ready => "ready",
            Listing::Draining => "draining",
            Listing::Removed => return self.store.remove(&key),
        };
        let mut entry =
            upstream_entry(&replica.upstream, replica.proxy.address(), replica.service, state);
        let cold_remaining = replica.cold_until.get().saturating_sub(self.recorder.now());
        entry["zone"] = json!(replica.zone);
        entry["cold_remaining_ms"] = json!(cold_remaining.as_millis() as u64);
        self.store.put_json(&key, &entry);
    }

    /// Evacuates a zone. To simulate the bug, only the record states so.
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
    /// record states that they are.
    pub(super) fn take_zone_back(&self, zone: &'static str, recorder: &Recorder) {
        let from = recorder.now();
        for replica in self.replicas.iter().filter(|replica| replica.zone == zone) {
            let upstream = replica.upstream.id.clone();
            let span = ColdSpan { upstream, from, to: from + COLD_TIME };
            recorder.observations().cold_spans.push(span);
            if recorder.simulated_bug != Some(Bug::ColdOverload) {
                replica.cold_until.set(from + COLD_TIME);
                self.put_entry(replica);
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
            self.put_entry(replica);
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

/// Returns values that no replica or router writes.
fn odd_values() -> [Vec<u8>; 4] {
    let nested = "[".repeat(ODD_LEVELS).into_bytes();
    let number = br#"{"service":"odd","address":"127.0.0.1:65536","slots":1e999}"#.to_vec();
    [nested, vec![0x81; ODD_LEVELS], number, b"\xff\xfe".to_vec()]
}

/// Returns the path prefix of the route that a version of the configuration adds.
pub(super) fn version_route_prefix(version: u64) -> String {
    format!("/version-{version}/")
}
