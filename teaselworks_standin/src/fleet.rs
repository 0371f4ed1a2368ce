//! A store, scripted replicas and real router processes that run together.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration, upstream_entry};
use crate::links::ReplicaLinks;
use crate::router::{Program, Router};
use crate::store::Store;
use crate::upstream::{ReceivedRequest, Script, Upstream};

/// Retries that a request pays for unless the bounds of a fleet say otherwise. A fleet that has just
/// started has no other means to pay for them.
const DEFAULT_RETRY_RATIO: f64 = 10.0;
/// Store key of the operator's configuration.
const CONFIGURATION_KEY: &str = "op/config";
/// Maximum time that [`wait_until`] waits; far above what any condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running fleet of routers with its store and replicas.
pub struct Fleet {
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Replicas of the service [`CHAT_SERVICE`].
    pub engines: Vec<Upstream>,
    /// Replicas of the service [`ARCHIVE_SERVICE`].
    pub archives: Vec<Upstream>,
    /// Router processes.
    pub routers: Vec<Router>,
    /// Links of each router to the replicas; empty unless [`Fleet::start_with_links`] created the
    /// fleet.
    pub links: Vec<ReplicaLinks>,
    /// Configuration that [`Fleet::publish_configuration`] writes to the store.
    pub configuration: TestConfiguration,
}

impl Fleet {
    /// Starts a fleet with the default configuration and bounds, and waits until its routers are
    /// ready.
    pub async fn start(program: Program, router_count: usize) -> io::Result<Self> {
        Self::start_with(program, router_count, TestConfiguration::default(), &json!({})).await
    }

    /// Starts a fleet with two replicas of each service, and waits until its routers are ready and
    /// registered in the store. All replicas send complete responses: those of [`CHAT_SERVICE`]
    /// streams of five events, those of [`ARCHIVE_SERVICE`] a body.
    ///
    /// `bounds` is the section `bounds` of every router's settings. Unless it has a ratio of retries,
    /// every request pays for several.
    pub async fn start_with(
        program: Program,
        router_count: usize,
        configuration: TestConfiguration,
        bounds: &Value,
    ) -> io::Result<Self> {
        Self::start_routers(program, router_count, configuration, bounds, false).await
    }

    /// Starts a fleet like [`Fleet::start`], with links from each router to the replicas that can
    /// fail on their own.
    pub async fn start_with_links(program: Program, router_count: usize) -> io::Result<Self> {
        let configuration = TestConfiguration::default();
        Self::start_linked(program, router_count, configuration, &json!({})).await
    }

    /// Starts a fleet like [`Fleet::start_with_links`] with `configuration`; `bounds` is the section
    /// `bounds` of every router's settings.
    pub async fn start_linked(
        program: Program,
        router_count: usize,
        configuration: TestConfiguration,
        bounds: &Value,
    ) -> io::Result<Self> {
        Self::start_routers(program, router_count, configuration, bounds, true).await
    }

    /// Leads all routers that have links to an upstream through a link each.
    pub fn add_links(&mut self, address: SocketAddr) -> io::Result<()> {
        self.links.iter_mut().try_for_each(|links| links.add(address))
    }

    async fn start_routers(
        program: Program,
        router_count: usize,
        configuration: TestConfiguration,
        bounds: &Value,
        has_links: bool,
    ) -> io::Result<Self> {
        let store = Store::start()?;
        let sse = |req: &ReceivedRequest| Script::stream(req, 1..6, Duration::from_millis(1), true);
        let respond = |req: &ReceivedRequest| Script::response(req, 200, "a verse");
        let engines = vec![Upstream::start("engine-1", sse)?, Upstream::start("engine-2", sse)?];
        let archives =
            vec![Upstream::start("service-1", respond)?, Upstream::start("service-2", respond)?];
        let mut fleet = Self {
            store,
            engines,
            archives,
            routers: Vec::new(),
            links: Vec::new(),
            configuration,
        };
        let mut bounds = bounds.clone();
        if bounds.get("retry_ratio").is_none() {
            bounds["retry_ratio"] = json!(DEFAULT_RETRY_RATIO);
        }
        fleet.publish_configuration();
        for upstream in &fleet.engines {
            fleet.put_entry(upstream, CHAT_SERVICE, "ready");
        }
        for upstream in &fleet.archives {
            fleet.put_entry(upstream, ARCHIVE_SERVICE, "ready");
        }
        for number in 0..router_count {
            let seeds: Vec<_> = fleet.routers.iter().map(Router::peers_address).collect();
            let name = format!("router-{number}");
            let mut store = fleet.store.address();
            if has_links {
                let mut links = ReplicaLinks::start(&fleet.store)?;
                for upstream in fleet.engines.iter().chain(&fleet.archives) {
                    links.add(upstream.address())?;
                }
                store = links.store_address();
                fleet.links.push(links);
            }
            fleet.routers.push(Router::start(program.clone(), &name, store, &seeds, &bounds)?);
        }
        for router in &fleet.routers {
            router.wait_until_ready().await?;
        }
        let count = router_count;
        wait_until("all routers registered", async || fleet.store.keys("routers/").len() == count)
            .await?;
        Ok(fleet)
    }

    /// Writes the configuration to the store.
    pub fn publish_configuration(&self) {
        self.store.put_json(CONFIGURATION_KEY, &self.configuration.value);
    }

    /// Writes the entry of a replica to the store, with the address on which it listens.
    pub fn put_entry(&self, upstream: &Upstream, service: &str, state: &str) {
        self.put_entry_at(upstream, upstream.address(), service, state);
    }

    /// Writes the entry of a replica to the store, with another address, such as that of a proxy.
    pub fn put_entry_at(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        service: &str,
        state: &str,
    ) {
        let entry = upstream_entry(upstream, address, service, state);
        self.store.put_json(&format!("servers/{}", upstream.id), &entry);
    }

    /// Removes the entry of a replica from the store.
    pub fn remove_entry(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }
}

/// Waits until a condition is met. Fails with its description, `condition`, after
/// [`WAIT_TIMEOUT`].
pub async fn wait_until(condition: &str, mut is_met: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if is_met().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(io::Error::other(format!("condition not met within {WAIT_TIMEOUT:?}: {condition}")))
}
