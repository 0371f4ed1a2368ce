//! What the operator configured: routes, services, workspaces and limits of requests.

mod route;
mod routes;
mod workspace;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use self::route::{Kind, Route, Target};
pub use self::routes::Routes;
pub use self::workspace::{Workspace, Workspaces};

/// One numbered configuration, whole.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Number; a later configuration has a larger one, with gaps.
    pub version: u64,
    /// Routes by host and path.
    pub routes: Routes,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Workspaces by API key.
    pub workspaces: Workspaces,
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
}

/// A group of replicas that answer the same requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Its replicas are engines that can copy parts of prompts from each other.
    pub has_kv_transfer: bool,
}

/// Bounds on what callers may send, and how slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head of a request.
    pub header_size_bytes: usize,
    /// Largest body of a request.
    pub body_size_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time in which a connection may be idle, or a body may stand still.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns what holds before a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_size_bytes: 16 << 10,
            body_size_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
