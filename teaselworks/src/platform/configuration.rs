//! Decodes the operator's configuration from the JSON in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use teaselworks_policy::configuration::{
    Configuration, Kind, RequestLimits, Route, Routes, Service, Target, Workspace, Workspaces,
};

use super::{DecodeError, wire};

/// The operator's configuration, as the platform writes it.
#[derive(Deserialize)]
struct WireConfiguration {
    #[serde(deserialize_with = "wire::saturating_u64")]
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
    #[serde(deserialize_with = "wire::duration_ms")]
    timeout_ms: Duration,
    #[serde(default, deserialize_with = "wire::duration_ms")]
    target_latency_ms: Duration,
    /// Target for the longest pause between events of a stream.
    #[serde(default, deserialize_with = "wire::duration_ms")]
    target_gap_ms: Duration,
    /// Priority; 0 is the most urgent, a larger number is less urgent.
    #[serde(default, deserialize_with = "wire::saturating_u32")]
    priority: u32,
    /// Only service of the route, or one more target, of weight 1, beside those in `traffic_split`.
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<WireTarget>,
    /// Number of replicas on which a request may run. Attempts that a replica rejected without
    /// running the request do not count.
    #[serde(default = "default_max_attempts", deserialize_with = "wire::saturating_u32")]
    max_attempts: u32,
    #[serde(default)]
    anonymous: bool,
    /// Whether requests describe their prompts; it does not keep a connection on one replica.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
}

fn default_max_attempts() -> u32 {
    1
}

/// A service that receives a share of a route's requests, in proportion to `weight`.
#[derive(Deserialize)]
struct WireTarget {
    service: Arc<str>,
    #[serde(deserialize_with = "wire::saturating_u32")]
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: Arc<str>,
    /// Requests per second that a cold replica bears; zero if it bears as many as any other.
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    /// Whether engines copy cached parts of prompts from each other.
    #[serde(default)]
    moves: bool,
}

#[derive(Deserialize)]
struct WireLimits {
    #[serde(deserialize_with = "wire::saturating_u64")]
    max_header_bytes: u64,
    #[serde(deserialize_with = "wire::saturating_u64")]
    max_body_bytes: u64,
    #[serde(deserialize_with = "wire::duration_ms")]
    header_timeout_ms: Duration,
    #[serde(deserialize_with = "wire::duration_ms")]
    idle_timeout_ms: Duration,
}

/// A workspace, which the platform calls a tenant.
#[derive(Deserialize)]
struct WireTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    /// Priority that replaces the route's; [`priority_level`] converts it to an integer.
    priority: Option<f64>,
}

/// Decodes the JSON value of a configuration.
pub(super) fn decode(value: &[u8]) -> Result<Configuration, DecodeError> {
    let wire: WireConfiguration = wire::from_json(value)?;
    let mut services = HashMap::new();
    for service in wire.services {
        services.insert(service.name.clone(), service.into());
    }
    Ok(Configuration {
        version: wire.version,
        routes: Routes::new(wire.routes.into_iter().map(Route::from)),
        services,
        workspaces: Workspaces::new(wire.tenants.into_iter().map(workspace_and_keys)),
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
            kind: parse_kind(&wire.kind),
            timeout: wire.timeout_ms,
            target_latency: wire.target_latency_ms,
            target_gap: wire.target_gap_ms,
            priority: priority_level(f64::from(wire.priority)),
            targets,
            max_attempts: wire.max_attempts.max(1),
            is_anonymous: wire.anonymous,
            has_prompts: wire.sticky,
            is_resumable: wire.resumable,
        }
    }
}

/// Decodes the kind of a route's requests. An unknown kind gets the strictest guarantee: a request
/// runs at most once.
fn parse_kind(name: &str) -> Kind {
    match name {
        "safe" => Kind::Idempotent,
        "streaming" => Kind::Stream,
        _ => Kind::AtMostOnce,
    }
}

/// Converts a priority to an integer: cuts off a fraction, and replaces a number outside the range
/// of `u8` by the nearest value in it.
fn priority_level(priority: f64) -> u8 {
    // Casting a float to an integer truncates and saturates.
    priority as u8
}

impl From<WireService> for Service {
    fn from(wire: WireService) -> Self {
        Self {
            has_kv_transfer: wire.engine.is_some_and(|engine| engine.moves),
            cold_requests_per_s: Some(wire.cold_per_s).filter(|rate| *rate > 0.0),
        }
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

/// Returns a workspace and its API keys.
fn workspace_and_keys(wire: WireTenant) -> (Workspace, Vec<Box<str>>) {
    (Workspace { name: wire.name, priority: wire.priority.map(priority_level) }, wire.api_keys)
}
