//! A store, replicas and real router processes, together.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use crate::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration, upstream_entry};
use crate::router::{Program, Router};
use crate::store::Store;
use crate::upstream::{ReceivedRequest, Script, Upstream};

/// Key of the operator's configuration.
const CONFIGURATION: &str = "op/config";
/// Longest wait for something that must happen; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between looks for it.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A running fleet.
pub struct Fleet {
    /// The platform's store.
    pub store: Store,
    /// Engines.
    pub engines: Vec<Upstream>,
    /// Replicas of the plain service.
    pub services: Vec<Upstream>,
    /// Routers.
    pub routers: Vec<Router>,
    /// The configuration that was written last.
    pub configuration: TestConfiguration,
}

impl Fleet {
    /// Starts a fleet whose replicas answer whole, and waits until its routers are ready.
    pub async fn start(program: Program, routers: usize) -> io::Result<Self> {
        Self::start_with(program, routers, TestConfiguration::default(), &json!({})).await
    }

    /// Starts a fleet with a configuration and bounds of its own.
    pub async fn start_with(
        program: Program,
        routers: usize,
        configuration: TestConfiguration,
        bounds: &Value,
    ) -> io::Result<Self> {
        let store = Store::start()?;
        let stream = |received: &ReceivedRequest| {
            Script::stream(received, 1..6, Duration::from_millis(1), true)
        };
        let whole = |received: &ReceivedRequest| Script::response(received, 200, "a verse");
        let engines =
            vec![Upstream::start("engine-1", stream)?, Upstream::start("engine-2", stream)?];
        let services =
            vec![Upstream::start("service-1", whole)?, Upstream::start("service-2", whole)?];
        let mut fleet = Self { store, engines, services, routers: Vec::new(), configuration };
        fleet.publish_configuration();
        for upstream in &fleet.engines {
            fleet.list(upstream, CHAT_SERVICE, "ready");
        }
        for upstream in &fleet.services {
            fleet.list(upstream, ARCHIVE_SERVICE, "ready");
        }
        for number in 0..routers {
            let seeds: Vec<_> = fleet.routers.iter().map(Router::peers_address).collect();
            let name = format!("router-{number}");
            let store = fleet.store.address();
            fleet.routers.push(Router::start(program.clone(), &name, store, &seeds, bounds)?);
        }
        for router in &fleet.routers {
            router.wait_until_ready().await?;
        }
        let names = routers;
        wait_until("every router is registered", async || {
            fleet.store.keys("routers/").len() == names
        })
        .await?;
        Ok(fleet)
    }

    /// Writes the configuration.
    pub fn publish_configuration(&self) {
        self.store.put_json(CONFIGURATION, &self.configuration.value);
    }

    /// Writes the entry of a replica.
    pub fn list(&self, upstream: &Upstream, service: &str, state: &str) {
        self.list_at(upstream, upstream.address(), service, state);
    }

    /// Writes the entry of a replica that is reached through another address.
    pub fn list_at(&self, upstream: &Upstream, address: SocketAddr, service: &str, state: &str) {
        let entry = upstream_entry(upstream, address, service, state);
        self.store.put_json(&format!("servers/{}", upstream.id), &entry);
    }

    /// Removes the entry of a replica.
    pub fn unlist(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }
}

/// Waits until something holds.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let end = tokio::time::Instant::now() + PATIENCE;
    while tokio::time::Instant::now() < end {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Err(io::Error::other(format!("never: {what}")))
}
