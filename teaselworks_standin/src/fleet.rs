//! A fleet of real routers among stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use teaselworks_config::configuration::key::KeyDigest;
use teaselworks_config::settings::Settings;

use crate::caller::Caller;
use crate::engine::{Engine, EngineOptions};
use crate::platform::Platform;
use crate::proxy::Proxy;
use crate::router::{Program, RouterPorts, RouterProcess};
use crate::service::Service;
use crate::vm_list::{Vm, VmKind, VmList, VmState};

/// Model that the engines of a fleet serve.
pub const MODEL: &str = "ballad";
/// Adapter of the model.
pub const ADAPTER: &str = "gloss";
/// Service that the service replicas of a fleet belong to.
pub const SERVICE: &str = "booking";
/// Workspace of [`KEY`].
pub const WORKSPACE: &str = "archive";
/// Key of the first workspace.
pub const KEY: &str = "archive-key-for-tests";
/// Workspace of [`OTHER_KEY`].
pub const OTHER_WORKSPACE: &str = "rental";
/// Key of the second workspace.
pub const OTHER_KEY: &str = "rental-key-for-tests";
/// Region of everything.
pub const REGION: &str = "region-1";
/// Longest wait for a fleet to be ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);

type Change<T> = Box<dyn Fn(usize, &mut T) + Send + Sync>;

/// What a fleet consists of.
pub struct FleetPlan {
    /// Program of the routers.
    pub program: Program,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the service.
    pub services: usize,
    /// Availability zones, filled in turn.
    pub zones: Vec<String>,
    /// Properties of each engine.
    pub engine: EngineOptions,
    /// Whether links to each router pass a proxy.
    pub proxy_links: bool,
    /// Whether each router's way to the platform passes a proxy of its own.
    pub proxy_platform: bool,
    /// Whether engines and services stand behind proxies.
    pub proxy_upstreams: bool,
    settings: Change<Settings>,
    configuration: Box<dyn Fn(&mut Value) + Send + Sync>,
}

impl FleetPlan {
    /// Plans routers and engines in two zones, without services and proxies, steps of 1 ms.
    pub fn new(program: Program, routers: usize, engines: usize) -> Self {
        let step = Duration::from_millis(1);
        Self {
            program,
            routers,
            engines,
            services: 0,
            zones: vec!["zone-a".into(), "zone-b".into()],
            engine: EngineOptions { step, ..EngineOptions::default() },
            proxy_links: false,
            proxy_platform: false,
            proxy_upstreams: false,
            settings: Box::new(|_, _| {}),
            configuration: Box::new(|_| {}),
        }
    }

    /// Changes the settings of each router, given its number.
    pub fn with_settings(
        mut self,
        change: impl Fn(usize, &mut Settings) + Send + Sync + 'static,
    ) -> Self {
        self.settings = Box::new(change);
        self
    }

    /// Changes the first configuration, as JSON.
    pub fn with_configuration(
        mut self,
        change: impl Fn(&mut Value) + Send + Sync + 'static,
    ) -> Self {
        self.configuration = Box::new(change);
        self
    }

    fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

/// A running fleet; everything in it ends when it is dropped.
pub struct Fleet {
    /// Routers.
    pub routers: Vec<RouterProcess>,
    /// Key-value service.
    pub platform: Platform,
    /// List of VMs.
    pub vm_list: VmList,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Replicas of the service.
    pub services: Vec<Service>,
    /// Proxies of the links to each router, where planned.
    pub link_proxies: Vec<Proxy>,
    /// Proxies between each router and the platform, where planned.
    pub platform_proxies: Vec<Proxy>,
    /// Proxies in front of each engine, where planned.
    pub engine_proxies: Vec<Proxy>,
    /// Proxies in front of each service replica, where planned.
    pub service_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts a fleet, submits its first configuration and waits until every router is ready.
    pub async fn start(plan: FleetPlan) -> Result<Self, String> {
        let mut fleet = Self::launch(&plan).map_err(|error| error.to_string())?;
        for router in &mut fleet.routers {
            router.until_ok("/health", READY_TIMEOUT).await?;
        }
        let configuration = fleet.configuration(&plan);
        fleet.submit_first(&configuration).await?;
        fleet.until_ready().await?;
        Ok(fleet)
    }

    /// Starts everything without waiting and without a configuration.
    pub fn launch(plan: &FleetPlan) -> io::Result<Self> {
        let mut fleet = Self {
            routers: Vec::new(),
            platform: Platform::start()?,
            vm_list: VmList::start()?,
            engines: Vec::new(),
            services: Vec::new(),
            link_proxies: Vec::new(),
            platform_proxies: Vec::new(),
            engine_proxies: Vec::new(),
            service_proxies: Vec::new(),
        };
        for _ in 0..plan.engines {
            let engine = Engine::start(plan.engine.clone())?;
            if plan.proxy_upstreams {
                fleet.engine_proxies.push(Proxy::start(engine.server().address())?);
            }
            fleet.engines.push(engine);
        }
        for _ in 0..plan.services {
            let service = Service::start()?;
            if plan.proxy_upstreams {
                fleet.service_proxies.push(Proxy::start(service.server().address())?);
            }
            fleet.services.push(service);
        }
        fleet.launch_routers(plan)?;
        Ok(fleet)
    }

    fn launch_routers(&mut self, plan: &FleetPlan) -> io::Result<()> {
        let mut prepared = Vec::new();
        for index in 0..plan.routers {
            let ports = RouterPorts::take()?;
            let settings = self.settings(plan, index, &ports)?;
            self.vm_list.update(|vms| {
                vms.push(Vm {
                    name: settings.router.name.to_string(),
                    kind: VmKind::Router,
                    links: Some(links_of(&settings).to_string()),
                    zone: plan.zone(index).into(),
                    region: REGION.into(),
                    state: VmState::Live,
                });
            });
            prepared.push((settings, ports));
        }
        for (settings, ports) in prepared {
            self.routers.push(RouterProcess::start(plan.program.clone(), settings, ports)?);
        }
        Ok(())
    }

    fn settings(
        &mut self,
        plan: &FleetPlan,
        index: usize,
        ports: &RouterPorts,
    ) -> io::Result<Settings> {
        let mut platform = self.platform.server().address();
        if plan.proxy_platform {
            let proxy = Proxy::start(platform)?;
            platform = proxy.address();
            self.platform_proxies.push(proxy);
        }
        let mut advertised = None;
        if plan.proxy_links {
            let proxy = Proxy::start(ports.links.address())?;
            advertised = Some(proxy.address());
            self.link_proxies.push(proxy);
        }
        let settings = json!({
            "router": {
                "name": format!("router-{index}"), "region": REGION, "zone": plan.zone(index),
            },
            "listen": {
                "callers": ports.callers.address(),
                "links": ports.links.address(),
                "operators": ports.operators.address(),
                "links_advertised": advertised,
            },
            "links": { "secret": "a secret for tests alone" },
            "platform": { "endpoints": [format!("http://{platform}")] },
            "vm_list": { "url": self.vm_list.url(), "poll_ms": 200 },
            "stop": { "notice_ms": 100 },
        });
        let mut settings: Settings = serde_json::from_value(settings)?;
        (plan.settings)(index, &mut settings);
        Ok(settings)
    }

    /// Returns the first configuration of a plan, as JSON.
    pub fn configuration(&self, plan: &FleetPlan) -> Value {
        let mut upstreams = json!({});
        for (index, engine) in self.engines.iter().enumerate() {
            let address = address_of(engine.server().address(), self.engine_proxies.get(index));
            upstreams[format!("engine-{index}")] = json!({
                "kind": "engine", "serves": MODEL, "url": format!("http://{address}"),
                "region": REGION, "zone": plan.zone(index),
                "checks_fencing": plan.engine.checks_fencing,
            });
        }
        for (index, service) in self.services.iter().enumerate() {
            let address = address_of(service.server().address(), self.service_proxies.get(index));
            upstreams[format!("{SERVICE}-{index}")] = json!({
                "kind": "service", "serves": SERVICE, "url": format!("http://{address}"),
                "region": REGION, "zone": plan.zone(index),
            });
        }
        let workspace = |key: &str| json!({ "key_digests": [KeyDigest::of(key).to_string()] });
        let mut configuration = json!({
            "workspaces": { WORKSPACE: workspace(KEY), OTHER_WORKSPACE: workspace(OTHER_KEY) },
            "models": { MODEL: { "reproducible": true, "adapters": { ADAPTER: "1" } } },
            "upstreams": upstreams,
        });
        if !self.services.is_empty() {
            let book = json!({ "method": "POST", "path_prefix": "/book" });
            configuration["services"] = json!({ SERVICE: { "non_idempotent": [book] } });
        }
        (plan.configuration)(&mut configuration);
        configuration
    }

    async fn submit_first(&self, configuration: &Value) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..200 {
            match self.patch(0, "first", 0, configuration).await {
                Ok((200..=299, _)) => return Ok(()),
                Ok((status @ 400..=499, body)) => return Err(format!("{status}: {body}")),
                Ok((status, body)) => last = format!("{status}: {body}"),
                Err(error) => last = error,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(last)
    }

    /// Submits a patch to a router; returns status and answer, fails when there is none.
    pub async fn patch(
        &self,
        router: usize,
        id: &str,
        expect: u64,
        patch: &Value,
    ) -> Result<(u16, Value), String> {
        let body = json!({
            "id": id, "expect": expect, "author": "test", "reason": "test", "patch": patch,
        });
        self.routers[router].post("/v1/configuration/patches", &body).await
    }

    /// Waits until every router sees all others alive and is ready; fails with the log of one that
    /// is not. Until then owners still change.
    pub async fn until_ready(&mut self) -> Result<(), String> {
        for router in &self.routers {
            router.until_alive(self.routers.len(), READY_TIMEOUT).await?;
        }
        for router in &mut self.routers {
            router.until_ok("/ready", READY_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Returns a caller with the first workspace's key at a router.
    pub fn caller(&self, router: usize) -> Caller {
        self.caller_with(router, KEY)
    }

    /// Returns a caller with a key at a router.
    pub fn caller_with(&self, router: usize, key: &str) -> Caller {
        Caller::new(&self.routers[router].callers_url(), key)
    }
}

fn links_of(settings: &Settings) -> SocketAddr {
    settings.listen.links_advertised.unwrap_or(settings.listen.links)
}

fn address_of(address: SocketAddr, proxy: Option<&Proxy>) -> SocketAddr {
    proxy.map_or(address, Proxy::address)
}

/// Waits until a condition holds; panics with `what` when it never does.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..3_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never: {what}");
}
