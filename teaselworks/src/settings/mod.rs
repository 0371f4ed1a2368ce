//! Settings of one router, loaded from a JSON file with comments.

mod check;
mod document;
mod fault;
mod load;
mod typed;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

pub use self::document::Document;
pub use self::fault::{Fault, Faults, FieldPath, PathSegment, UnlocatedFault};

/// All settings of a router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the router.
    pub router: RouterSettings,
    /// Addresses that the router listens on.
    pub listen: ListenSettings,
    /// Connection to the platform's store.
    pub platform: PlatformSettings,
    /// Peer addresses of some other routers, queried when the store does not answer. Some of them
    /// may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Resource limits of the process on its VM.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Time, retry and load bounds for the whole fleet.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// How an overloaded service is divided between callers.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Format and minimum severity of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity of a router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of the router, unique in the fleet.
    pub name: Arc<str>,
    /// Availability zone of the router's VM.
    pub zone: Arc<str>,
    /// Whether the whole fleet starts for the first time, so that no stream has begun before.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Addresses that a router listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub health: SocketAddr,
    /// Address for queries of other routers; if unset, they cannot query this router.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address of the metrics endpoint, which returns counters and histograms as text.
    pub metrics: SocketAddr,
}

/// Connection to the platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest lease that the store grants, in milliseconds.
    #[serde(default = "default_shortest_lease_ms")]
    pub shortest_lease_ms: u64,
}

fn default_shortest_lease_ms() -> u64 {
    1_000
}

/// Resource limits of the process on its VM.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of open file descriptors, including sockets.
    pub file_descriptors: u32,
}

impl Default for LimitSettings {
    /// Returns the usual default limit of a process.
    fn default() -> Self {
        Self { file_descriptors: 1_024 }
    }
}

/// Time, retry and load bounds for the whole fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time from the stop signal until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Time from the acknowledgement of a configuration until every router applies it, in
    /// milliseconds.
    pub configuration_ms: u64,
    /// Time from the announcement that an upstream drains until no router sends it new requests, in
    /// milliseconds.
    pub draining_ms: u64,
    /// Time from the evacuation of a zone until no router sends requests there, in milliseconds.
    pub evacuation_ms: u64,
    /// Factor by which the requests of all routers to a cold replica may exceed the rate that it
    /// bears.
    pub cold_overshoot: f64,
    /// Number of requests by which they may exceed that rate besides, within any second.
    pub cold_slack: f64,
    /// Retries allowed per request, summed over all routers.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, summed over all routers.
    pub retry_slack: f64,
    /// Length of the window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Load that no upstream should exceed, as a multiple of the mean load of its service.
    pub load_factor: f64,
}

impl Default for BoundSettings {
    /// Returns the strictest value of each bound that known deployments use.
    fn default() -> Self {
        Self {
            stop_grace_s: 8.0,
            configuration_ms: 2_000,
            draining_ms: 2_000,
            evacuation_ms: 5_000,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            load_factor: 2.0,
        }
    }
}

impl BoundSettings {
    /// Returns the time from the stop signal until the process is killed.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// Returns how far this router's view of the fleet may lag behind the store.
    ///
    /// This is the shortest of the bounds on applying a configuration, on draining an upstream and on
    /// evacuating a zone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks::settings::BoundSettings;
    ///
    /// let bounds = BoundSettings { draining_ms: 1_500, ..BoundSettings::default() };
    /// assert_eq!(bounds.max_staleness(), Duration::from_millis(1_500));
    /// ```
    pub fn max_staleness(&self) -> Duration {
        let shortest = self.configuration_ms.min(self.draining_ms).min(self.evacuation_ms);
        Duration::from_millis(shortest)
    }
}

/// How the slots of an overloaded service are divided between callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Whether requests of a more urgent priority are admitted first.
    pub by_priority: bool,
    /// Whether each workspace is held to its share.
    pub workspace_shares: bool,
    /// Number of routers from which services are divided. The routers of a small fleet see each
    /// replica's load in their own answers, and refuse fewer requests by that alone.
    pub min_routers: u32,
}

/// Format and minimum severity of the log.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Minimum severity; less severe events are not logged.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator's action.
    Error,
    /// Faults that the router handles by itself.
    Warn,
    /// Routing decisions, and changes in the router's view of the fleet.
    #[default]
    Info,
    /// Details of connections.
    Debug,
}
