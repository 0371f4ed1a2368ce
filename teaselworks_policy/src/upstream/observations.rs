//! What routers tell each other of upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What one router heard of an upstream's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedLoad {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Requests there.
    pub total: u32,
    /// Time since the upstream said it.
    pub age: Duration,
}

/// Failures of requests at an upstream since any router heard of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedFailures {
    /// Hash of the upstream's incarnation.
    pub incarnation: u64,
    /// Their number.
    pub count: u32,
    /// Time since the first of these requests was sent.
    pub age: Duration,
}

/// What one router heard of upstreams since it told it last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharedObservations {
    /// Loads.
    pub loads: Vec<SharedLoad>,
    /// Failures.
    pub failures: Vec<SharedFailures>,
}

impl SharedObservations {
    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.failures.is_empty()
    }

    /// Adds what is known of another service.
    pub fn extend(&mut self, other: SharedObservations) {
        self.loads.extend(other.loads);
        self.failures.extend(other.failures);
    }
}

/// SharedObservations by the hash of the incarnation.
#[derive(Clone, Debug, Default)]
pub struct ObservationIndex {
    pub(super) loads: HashMap<u64, SharedLoad>,
    pub(super) failures: HashMap<u64, SharedFailures>,
}

impl From<&SharedObservations> for ObservationIndex {
    fn from(observations: &SharedObservations) -> Self {
        Self {
            loads: observations.loads.iter().map(|load| (load.incarnation, *load)).collect(),
            failures: observations.failures.iter().map(|told| (told.incarnation, *told)).collect(),
        }
    }
}

/// A replica of which other routers' words changed the use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionChange {
    /// Its identifier.
    pub upstream: Arc<str>,
    /// It gets no requests for a while; else it gets requests again.
    pub is_ejected: bool,
}
