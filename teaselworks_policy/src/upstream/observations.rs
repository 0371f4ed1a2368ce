//! Observations of upstreams that routers share with each other.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Load of an upstream, from the latest report that the sharing router has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedLoad {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Number of requests of all routers at the upstream.
    pub total: u32,
    /// Time since the upstream made the report.
    pub age: Duration,
}

/// Failures of requests to an upstream since it last responded to any router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedFailures {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Number of failed requests.
    pub count: u32,
    /// Time since the first of these requests was sent.
    pub age: Duration,
}

/// Observations that one router made or received since it last shared them with another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharedObservations {
    /// Load reports of upstreams.
    pub loads: Vec<SharedLoad>,
    /// Failures of requests to upstreams.
    pub failures: Vec<SharedFailures>,
}

impl SharedObservations {
    /// Returns whether there is nothing to share.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.failures.is_empty()
    }

    /// Adds the observations of another service.
    pub fn extend(&mut self, other: SharedObservations) {
        self.loads.extend(other.loads);
        self.failures.extend(other.failures);
    }
}

/// Shared observations, indexed by the hash of the upstream's incarnation.
#[derive(Clone, Debug, Default)]
pub struct ObservationIndex {
    pub(super) loads: HashMap<u64, SharedLoad>,
    pub(super) failures: HashMap<u64, SharedFailures>,
}

impl From<&SharedObservations> for ObservationIndex {
    fn from(observations: &SharedObservations) -> Self {
        Self {
            loads: observations.loads.iter().map(|load| (load.incarnation, *load)).collect(),
            failures: observations
                .failures
                .iter()
                .map(|failed| (failed.incarnation, *failed))
                .collect(),
        }
    }
}

/// A replica that was ejected or readmitted because of observations of other routers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionChange {
    /// Identifier of the replica.
    pub upstream: Arc<str>,
    /// True if the replica was ejected, false if it was readmitted.
    pub is_ejected: bool,
}
