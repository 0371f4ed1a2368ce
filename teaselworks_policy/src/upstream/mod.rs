//! Replicas of engines and services: which exist, how loaded and how healthy they seem.

mod concurrency;
mod connecting;
mod health;
mod load;
mod observations;
mod pool;
mod reach;
mod registry;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

pub use self::concurrency::ConcurrencyLimit;
pub use self::connecting::ConnectTimes;
pub use self::health::{Health, RequestOutcome};
pub use self::load::{AverageLoad, Load, LoadReport, PeerLoad};
pub use self::observations::{
    EjectionChange, ObservationIndex, SharedFailures, SharedLoad, SharedObservations,
};
pub use self::pool::{Member, Pool};
pub use self::reach::Reach;
pub use self::registry::{Change, ListEntry, Registry};

/// One start of a replica. Two starts may have the same identifier and address.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// Identifier in the list of replicas.
    pub id: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// When the process started by its own clock, where it says so.
    pub started: Option<SystemTime>,
}

/// One replica, as it is listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Identifier, which outlasts a restart.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address, which another replica may be given once this one is gone.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It leaves soon and takes no new requests.
    pub is_draining: bool,
    /// When the process started by its own clock, where it says so.
    pub started: Option<SystemTime>,
}

impl Upstream {
    /// Returns which start of the replica this is.
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

    /// Tells whether this is the start that `incarnation` names.
    fn is(&self, incarnation: &Incarnation) -> bool {
        self.id == incarnation.id
            && self.started == incarnation.started
            && self.address == incarnation.address
    }

    /// Makes a replica with eight slots on loopback, for examples and tests.
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
            slots: 8,
            is_draining: false,
            started: None,
        }
    }
}
