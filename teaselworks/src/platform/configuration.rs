//! Decodes the operator's configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use teaselworks_policy::configuration::{
    Configuration, Kind, RequestLimits, Route, Routes, Service, Target, Workspace, Workspaces,
};

use super::{DecodeError, wire};

#[derive(Deserialize)]
struct WireConfiguration {
    #[serde(deserialize_with = "wire::whole")]
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    /// Workspaces.
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    prefix: Arc<str>,
    kind: String,
    #[serde(deserialize_with = "wire::milliseconds")]
    timeout_ms: Duration,
    #[serde(default, deserialize_with = "wire::milliseconds")]
    target_latency_ms: Duration,
    #[serde(default, deserialize_with = "wire::milliseconds")]
    target_gap_ms: Duration,
    /// Rank, where 0 goes first: a larger number is less urgent.
    #[serde(default, deserialize_with = "wire::small")]
    priority: u32,
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<WireTarget>,
    /// Replicas on which a request may run; offers that were turned away do not count.
    #[serde(default = "one", deserialize_with = "wire::small")]
    max_attempts: u32,
    #[serde(default)]
    anonymous: bool,
    /// Says that requests describe their prompts, not that connections stay with a replica.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
struct WireTarget {
    service: Arc<str>,
    #[serde(deserialize_with = "wire::small")]
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: Arc<str>,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    /// Engines copy memory from each other.
    #[serde(default)]
    moves: bool,
}

#[derive(Deserialize)]
struct WireLimits {
    #[serde(deserialize_with = "wire::whole")]
    max_header_bytes: u64,
    #[serde(deserialize_with = "wire::whole")]
    max_body_bytes: u64,
    #[serde(deserialize_with = "wire::milliseconds")]
    header_timeout_ms: Duration,
    #[serde(deserialize_with = "wire::milliseconds")]
    idle_timeout_ms: Duration,
}

#[derive(Deserialize)]
struct WireTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    /// Rank in place of the route's.
    priority: Option<f64>,
}

/// Decodes a configuration.
pub(super) fn decode(value: &[u8]) -> Result<Configuration, DecodeError> {
    let wire: WireConfiguration = wire::read(value)?;
    let mut services = HashMap::new();
    for service in wire.services {
        services.insert(service.name.clone(), service.into());
    }
    Ok(Configuration {
        version: wire.version,
        routes: Routes::new(wire.routes.into_iter().map(Route::from)),
        services,
        workspaces: Workspaces::new(wire.tenants.into_iter().map(workspace)),
        limits: wire.limits.map(RequestLimits::from).unwrap_or_default(),
    })
}

impl From<WireRoute> for Route {
    fn from(wire: WireRoute) -> Self {
        let split = wire.traffic_split.into_iter();
        let mut targets: Vec<Target> =
            split.map(|target| Target { service: target.service, weight: target.weight }).collect();
        if let Some(service) = wire.service {
            targets.push(Target { service, weight: 1 });
        }
        Self {
            name: wire.name,
            host: wire.host,
            prefix: wire.prefix,
            kind: kind(&wire.kind),
            timeout: wire.timeout_ms,
            target_latency: wire.target_latency_ms,
            target_gap: wire.target_gap_ms,
            priority: rank(f64::from(wire.priority)),
            targets,
            max_attempts: wire.max_attempts.max(1),
            is_anonymous: wire.anonymous,
            has_prompts: wire.sticky,
            is_resumable: wire.resumable,
        }
    }
}

/// Decodes what a route carries; an unknown kind is carried under the strictest promise.
fn kind(name: &str) -> Kind {
    match name {
        "safe" => Kind::Idempotent,
        "streaming" => Kind::Stream,
        _ => Kind::AtMostOnce,
    }
}

fn rank(priority: f64) -> u8 {
    // A cast from a float saturates.
    priority as u8
}

impl From<WireService> for Service {
    fn from(wire: WireService) -> Self {
        Self { has_kv_transfer: wire.engine.is_some_and(|engine| engine.moves) }
    }
}

impl From<WireLimits> for RequestLimits {
    fn from(wire: WireLimits) -> Self {
        Self {
            header_size_bytes: usize::try_from(wire.max_header_bytes).unwrap_or(usize::MAX),
            body_size_bytes: wire.max_body_bytes,
            header_timeout: wire.header_timeout_ms,
            idle_timeout: wire.idle_timeout_ms,
        }
    }
}

fn workspace(wire: WireTenant) -> (Workspace, Vec<Box<str>>) {
    (Workspace { name: wire.name, priority: wire.priority.map(rank) }, wire.api_keys)
}
