//! Messages between routers. Each is sent as CBOR in one binary WebSocket message.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use teaselworks_policy::upstream::{SharedFailures, SharedLoad, SharedObservations};

use super::PeerError;
use crate::discovery::StoreUpdate;

/// Query of a router for what changed in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Revision of the store up to which the querying router has applied every change.
    pub known_revision: u64,
    /// Longest time for which the response may wait for a newer revision.
    pub wait: Duration,
    /// Largest update that the querying router accepts; `None` accepts any. It reads the store
    /// itself if the update is larger.
    pub largest_bytes: Option<usize>,
    /// The querying router's own observations of upstreams since its last query.
    #[serde(rename = "heard")]
    #[serde(default)]
    pub observations: PackedObservations,
}

/// Response of the queried router.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Whether the queried router can currently read the store.
    pub reads_store: bool,
    /// Time since the queried router's list of upstreams was last known to be complete; `None` if it
    /// never was, or the router is of an earlier version.
    #[serde(default)]
    pub list_age: Option<Duration>,
    /// What is newer than the query's `known_revision`.
    #[serde(rename = "news")]
    pub update: StoreUpdate,
    /// Observations of upstreams that the queried router made or received since its last response
    /// on this connection.
    #[serde(rename = "heard")]
    #[serde(default)]
    pub observations: PackedObservations,
}

/// Observations of upstreams in the compact form of the messages. An incarnation is one start of an
/// upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PackedObservations {
    /// Number of requests at each incarnation, and the age of the load report.
    #[serde(default)]
    loads: Vec<Row>,
    /// Number of requests to each incarnation that failed since it last responded to any router,
    /// and the time since the first of them was sent.
    #[serde(default)]
    failures: Vec<Row>,
}

/// Hash of an incarnation, a number of requests and an age in milliseconds.
type Row = (u64, u32, u32);

impl PackedObservations {
    /// Packs observations for a message.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks::peers::message::PackedObservations;
    /// use teaselworks_policy::upstream::{SharedLoad, SharedObservations};
    ///
    /// let load = SharedLoad { incarnation: 7, total: 3, age: Duration::from_millis(40) };
    /// let observations =
    ///     SharedObservations { loads: vec![load], ..SharedObservations::default() };
    /// assert_eq!(PackedObservations::pack(&observations).unpack(), observations);
    /// ```
    pub fn pack(observations: &SharedObservations) -> Self {
        let load = |load: &SharedLoad| (load.incarnation, load.total, age_ms(load.age));
        let failed = |item: &SharedFailures| (item.incarnation, item.count, age_ms(item.age));
        Self {
            loads: observations.loads.iter().map(load).collect(),
            failures: observations.failures.iter().map(failed).collect(),
        }
    }

    /// Unpacks the observations of a message.
    pub fn unpack(&self) -> SharedObservations {
        let load = |&(incarnation, total, age_ms): &Row| {
            let age = Duration::from_millis(age_ms.into());
            SharedLoad { incarnation, total, age }
        };
        let failed = |&(incarnation, count, age_ms): &Row| {
            let age = Duration::from_millis(age_ms.into());
            SharedFailures { incarnation, count, age }
        };
        SharedObservations {
            loads: self.loads.iter().map(load).collect(),
            failures: self.failures.iter().map(failed).collect(),
        }
    }
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes a message. Fails with [`PeerError::Malformed`] if it cannot be serialized.
///
/// ```
/// use teaselworks::peers::message::{decode, encode};
///
/// let bytes = encode(&7_u64).unwrap();
/// assert_eq!(decode::<u64>(&bytes), Ok(7));
/// ```
pub fn encode(message: &impl Serialize) -> Result<Bytes, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|_| PeerError::Malformed)?;
    Ok(bytes.into())
}

/// Decodes a message. Fails with [`PeerError::Malformed`] if the bytes cannot be decoded as `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    ciborium::from_reader(bytes).map_err(|_| PeerError::Malformed)
}
