//! Settings of one router, from a file of JSON with comments.

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
pub use self::fault::{Fault, Faults, FieldPath, Finding, Step};

/// All settings of a router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the router is.
    pub router: RouterSettings,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Where the platform's store is.
    pub platform: PlatformSettings,
    /// Addresses of a few routers, to ask where the store does not answer; some may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the VM allows the process.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Bounds that the whole fleet keeps.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who a router is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Availability zone of its VM.
    pub zone: Arc<str>,
}

/// Addresses that a router listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The balancer's question whether the router is ready.
    pub health: SocketAddr,
    /// Questions of other routers; without it they cannot ask this one.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Counters and histograms as text.
    pub metrics: SocketAddr,
}

/// Where the platform's store is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address.
    pub address: SocketAddr,
    /// Shortest lease that it grants.
    #[serde(default = "shortest_lease_ms")]
    pub shortest_lease_ms: u64,
}

fn shortest_lease_ms() -> u64 {
    1_000
}

/// What the VM allows the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Descriptors of files and sockets.
    pub file_descriptors: u32,
}

impl Default for LimitSettings {
    /// Returns the usual limit of a process.
    fn default() -> Self {
        Self { file_descriptors: 1_024 }
    }
}

/// Bounds that the whole fleet keeps.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time from the request to stop until the process is killed.
    pub stop_grace_s: f64,
    /// Time from the acknowledgement of a configuration until it is in force everywhere.
    pub configuration_ms: u64,
    /// Time from the news that an upstream drains until it gets no new request.
    pub draining_ms: u64,
    /// Repeats for each request, summed over all routers.
    pub retry_ratio: f64,
    /// Repeats besides in each window, summed over all routers.
    pub retry_slack: f64,
    /// Length of the window in which repeats are counted.
    pub retry_window_s: f64,
    /// Multiple of the mean load of a service that no upstream should exceed.
    pub load_factor: f64,
}

impl Default for BoundSettings {
    /// Returns the strictest values that the users' deployments set.
    fn default() -> Self {
        Self {
            stop_grace_s: 8.0,
            configuration_ms: 2_000,
            draining_ms: 2_000,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            load_factor: 2.0,
        }
    }
}

impl BoundSettings {
    /// Returns the time from the request to stop until the process is killed.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// Returns the longest age that beliefs about the fleet may have.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks::settings::BoundSettings;
    ///
    /// let bounds = BoundSettings { draining_ms: 1_500, ..BoundSettings::default() };
    /// assert_eq!(bounds.news_age(), Duration::from_millis(1_500));
    /// ```
    pub fn news_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.draining_ms))
    }
}

/// What is logged and how.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severity that is logged.
    pub level: LogLevel,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a reader.
    Text,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need somebody.
    Error,
    /// Faults that the router copes with.
    Warn,
    /// Decisions and changes of belief.
    #[default]
    Info,
    /// Details of connections.
    Debug,
}
