//! Replicas of engines and services: which exist, how loaded and how healthy they seem.

mod health;
mod load;
mod pool;
mod registry;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::health::{Health, Symptom};
pub use self::load::{Foreign, Load, LoadReport, Usual};
pub use self::pool::{Member, Pool};
pub use self::registry::{Change, Registry};

/// One replica, as it is listed. Each start of a replica is an upstream of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Identifier of this start of the replica, never used again.
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
}
