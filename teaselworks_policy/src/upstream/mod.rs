//! Upstreams, the replicas of model engines and services: the list of them, their load and health.

mod brittleness;
mod cold;
mod concurrency;
mod connecting;
mod evacuation;
mod health;
mod link;
mod load;
mod member;
mod observations;
mod pool;
mod reach;
mod registry;
mod slot_share;
mod versions;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::placement::{hash_upstream_id, rendezvous_score};

pub use self::brittleness::{Brittleness, brittle_requests_per_slot};
pub use self::cold::{ColdBound, ColdSettings, ColdState};
pub use self::concurrency::ConcurrencyLimit;
pub use self::connecting::ConnectTimes;
pub use self::evacuation::{EvacuatedZones, EvacuationChange};
pub use self::health::{Health, RequestOutcome};
pub use self::link::{LinkChange, ServiceLink};
pub use self::load::{AverageLoad, Load, LoadReport, PeerLoad};
pub use self::member::Member;
pub use self::observations::{
    EjectionChange, ObservationIndex, SharedFailures, SharedLoad, SharedObservations,
};
pub use self::pool::Pool;
pub use self::reach::Reachability;
pub use self::registry::{Change, ListEntry, Registry};
pub use self::slot_share::{ServiceLoad, SlotShare};
pub use self::versions::VersionHistory;

/// Identifies one start of a replica's process: a replica may keep its identifier and address when
/// it restarts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// Identifier in the list of upstreams.
    pub id: Arc<str>,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Start time of the process by its own clock; `None` if the replica does not report it.
    pub started: Option<SystemTime>,
}

impl Incarnation {
    /// Returns a hash that differs between starts of the same replica.
    ///
    /// ```
    /// use teaselworks_policy::upstream::Upstream;
    ///
    /// let hash = |id| Upstream::example(id, "service").incarnation().hash();
    /// assert_ne!(hash("i-1"), hash("i-2"));
    /// ```
    pub fn hash(&self) -> u64 {
        incarnation_hash(self.started, hash_upstream_id(&self.id))
    }
}

/// Returns a hash of a replica's start and of the hash of its identifier.
fn incarnation_hash(started: Option<SystemTime>, id_hash: u64) -> u64 {
    let started = started.and_then(|at| at.duration_since(SystemTime::UNIX_EPOCH).ok());
    rendezvous_score(started.map_or(0, |since| since.as_millis() as u64), id_hash)
}

/// A replica, as its entry in the list describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Identifier, which stays the same across restarts.
    pub id: Arc<str>,
    /// Service that the replica belongs to.
    pub service: Arc<str>,
    /// Address, which may be given to another replica once this one is gone.
    pub address: SocketAddr,
    /// Availability zone that the replica runs in.
    pub zone: Arc<str>,
    /// Version of the software that the replica runs, not of the model's weights.
    pub version: Arc<str>,
    /// Number of requests that the replica processes at the same time.
    pub slots: u32,
    /// Whether the replica is about to stop and takes no new requests.
    pub is_draining: bool,
    /// Start time of the process by its own clock; `None` if the replica does not report it.
    pub started: Option<SystemTime>,
    /// Time for which the replica was still cold when it wrote its entry; zero if it was not.
    pub cold_remaining: Duration,
}

impl Upstream {
    /// Returns the incarnation, which identifies this start of the replica.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use teaselworks_policy::upstream::Upstream;
    ///
    /// let before = Upstream::example("i-1", "service");
    /// let started = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(5));
    /// let after = Upstream { started, ..before.clone() };
    /// assert_ne!(before.incarnation(), after.incarnation());
    /// ```
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), address: self.address, started: self.started }
    }

    /// Returns whether `incarnation` identifies this start of the replica.
    fn has_incarnation(&self, incarnation: &Incarnation) -> bool {
        self.id == incarnation.id
            && self.started == incarnation.started
            && self.address == incarnation.address
    }

    /// Creates a replica with eight slots, version `v1` and a loopback address, for examples and
    /// tests.
    ///
    /// ```
    /// use teaselworks_policy::upstream::Upstream;
    ///
    /// assert!(!Upstream::example("i-1", "service").is_draining);
    /// ```
    pub fn example(id: &str, service: &str) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "a".into(),
            version: "v1".into(),
            slots: 8,
            is_draining: false,
            started: None,
            cold_remaining: Duration::ZERO,
        }
    }
}
