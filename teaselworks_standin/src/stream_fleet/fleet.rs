//! The store, the engines and the router processes of a run.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::content::StreamRoute;
use super::engine::{Behaviour, Engine, SLOTS};
use crate::configuration::{TestConfiguration, upstream_entry};
use crate::proxy::Proxy;
use crate::router::{Program, Router};
use crate::store::Store;

/// Service of most engines.
pub(super) const MAIN_SERVICE: &str = "model-pool";
/// Service of the other engines.
pub(super) const OTHER_SERVICE: &str = "model-pool-next";
/// One engine in this many belongs to the other service.
const OTHER_SERVICE_ONE_IN: usize = 7;
/// Interval at which the exit of a process is checked.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Routers that start at the same time.
const STARTED_AT_ONCE: usize = 8;

/// A router process and its path to the store.
pub(super) struct StreamRouter {
    pub(super) process: Router,
    pub(super) store_proxy: Proxy,
}

/// A running fleet.
pub(super) struct StreamFleet {
    pub(super) store: Store,
    pub(super) configuration: Mutex<TestConfiguration>,
    pub(super) routers: Vec<Mutex<StreamRouter>>,
    engines: Mutex<Vec<Arc<Engine>>>,
    behaviour: Mutex<Behaviour>,
    runs: Arc<AtomicU64>,
    started_engines: AtomicU64,
}

impl StreamFleet {
    /// Starts a fleet and waits until its routers are ready.
    pub(super) async fn start(
        program: &Program,
        routers: usize,
        engines: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let mut fleet = Self {
            store: Store::start()?,
            configuration: Mutex::new(configuration()),
            routers: Vec::new(),
            engines: Mutex::default(),
            behaviour: Mutex::default(),
            runs: Arc::default(),
            started_engines: AtomicU64::new(0),
        };
        fleet.publish(|_| {});
        for number in 0..engines {
            let is_other = number % OTHER_SERVICE_ONE_IN == OTHER_SERVICE_ONE_IN - 1;
            fleet.start_engine(if is_other { OTHER_SERVICE } else { MAIN_SERVICE }, "v1")?;
        }
        let bounds = json!({
            "draining_ms": 3_000, "configuration_ms": 3_000, "retry_ratio": 0.5,
            "retry_slack": 194, "retry_window_s": 10, "stop_grace_s": 8,
        });
        let mut seeds: Vec<SocketAddr> = Vec::new();
        let mut started = Vec::new();
        for number in 0..routers {
            let store_proxy = Proxy::start(fleet.store.address())?;
            let name = format!("router-{number}");
            let address = store_proxy.address();
            let process = Router::start(program.clone(), &name, address, &seeds, &bounds)?;
            if seeds.len() < 3 {
                seeds.push(process.peers_address());
            }
            if number % STARTED_AT_ONCE == STARTED_AT_ONCE - 1 {
                process.wait_until_ready().await?;
            }
            started.push(StreamRouter { process, store_proxy });
        }
        for router in &started {
            router.process.wait_until_ready().await?;
        }
        fleet.routers = started.into_iter().map(Mutex::new).collect();
        Ok(fleet)
    }

    /// Returns the router with this number.
    pub(super) fn router(&self, number: usize) -> MutexGuard<'_, StreamRouter> {
        self.routers[number].lock().expect("locks are never poisoned")
    }

    /// Returns the engines that are listed or serve on.
    pub(super) fn engines(&self) -> Vec<Arc<Engine>> {
        self.engines.lock().expect("locks are never poisoned").clone()
    }

    /// Changes the configuration and publishes it as the next version.
    pub(super) fn publish(&self, change: impl FnOnce(&mut TestConfiguration)) {
        let mut configuration = self.configuration.lock().expect("locks are never poisoned");
        change(&mut configuration);
        configuration.next_version();
        self.store.put_json("op/config", &configuration.value);
    }

    /// Starts an engine and lists it in the store.
    pub(super) fn start_engine(
        &self,
        service: &'static str,
        version: &str,
    ) -> std::io::Result<Arc<Engine>> {
        let number = self.started_engines.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:04}-{version}");
        let engine = Arc::new(Engine::start(&id, service, version, &self.runs)?);
        engine.set_behaviour(*self.behaviour.lock().expect("locks are never poisoned"));
        self.put_entry(&engine, "ready");
        self.engines.lock().expect("locks are never poisoned").push(engine.clone());
        Ok(engine)
    }

    /// Writes the entry of an engine to the store.
    pub(super) fn put_entry(&self, engine: &Engine, state: &str) {
        let upstream = &engine.upstream;
        let mut entry = upstream_entry(upstream, upstream.address(), engine.service, state);
        entry["slots"] = json!(SLOTS);
        self.store.put_json(&entry_key(engine), &entry);
    }

    /// Removes the entry of an engine from the store.
    pub(super) fn remove_entry(&self, engine: &Engine) {
        self.store.remove(&entry_key(engine));
    }

    /// Ends an engine with all its connections.
    pub(super) fn end_engine(&self, engine: &Engine) {
        engine.upstream.stop();
        let mut engines = self.engines.lock().expect("locks are never poisoned");
        engines.retain(|known| known.upstream.id != engine.upstream.id);
    }

    /// Changes how all engines answer, also those that start later.
    pub(super) fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = self.behaviour.lock().expect("locks are never poisoned");
        change(&mut behaviour);
        for engine in self.engines() {
            engine.set_behaviour(*behaviour);
        }
    }

    /// Sends a signal to a router, and starts it again some time after it has exited.
    pub(super) async fn restart_router(
        &self,
        number: usize,
        signal: Signal,
        down: Duration,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        self.router(number).process.signal(signal)?;
        while !self.router(number).process.has_exited()? {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        tokio::time::sleep(down).await;
        self.router(number).process.spawn()?;
        Ok(())
    }
}

fn entry_key(engine: &Engine) -> String {
    format!("servers/{}", engine.upstream.id)
}

/// Returns the configuration: three streaming routes to the main service.
fn configuration() -> TestConfiguration {
    let mut configuration = TestConfiguration::default();
    configuration.value["routes"] = json!([]);
    let service = |name: &str| {
        json!({
            "name": name, "health_path": "/health", "connection_limit": 570, "protocol": "h1",
            "tls": false, "engine": { "slots": SLOTS, "kv_capacity": 328_752, "moves": true }
        })
    };
    configuration.value["services"] = json!([service(MAIN_SERVICE), service(OTHER_SERVICE)]);
    for route in StreamRoute::ALL {
        let added = configuration.add_route(
            route.prefix(),
            "streaming",
            MAIN_SERVICE,
            route.max_attempts(),
        );
        added["resumable"] = json!(route.is_resumable());
        added["timeout_ms"] = json!(route.deadline_ms());
        added["target_latency_ms"] = json!(800);
        added["sticky"] = Value::Bool(true);
    }
    configuration
}
