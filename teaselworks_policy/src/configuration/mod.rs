//! The operator's configuration: routes, services, workspaces and limits on requests.

mod route;
mod routes;
mod workspace;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use self::route::{Kind, Route, Target};
pub use self::routes::Routes;
pub use self::workspace::{Workspace, Workspaces};

/// One complete version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version number. It grows with each configuration, but not by one: numbers may be skipped.
    pub version: u64,
    /// Route table, by host and path.
    pub routes: Routes,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Workspaces by API key.
    pub workspaces: Workspaces,
    /// Limits on requests.
    pub limits: RequestLimits,
}

/// Properties of a service, which is a group of replicas that answer the same requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Its replicas are model engines that can transfer the key-value cache of prompt parts to each
    /// other.
    pub has_kv_transfer: bool,
    /// Number of requests per second that a cold replica bears; `None` if it bears as many as any
    /// other.
    pub cold_requests_per_s: Option<f64>,
}

/// Limits on the size of requests and on the time that callers may take to send them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request's head.
    pub header_size_bytes: usize,
    /// Maximum size of a request's body.
    pub body_size_bytes: u64,
    /// Maximum time from the first byte of a request's head to its end.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle, or no byte of a body may arrive.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until a configuration is known. They are common defaults of
    /// HTTP servers.
    fn default() -> Self {
        Self {
            header_size_bytes: 16 << 10,
            body_size_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
