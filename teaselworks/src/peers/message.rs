//! Messages between routers, as CBOR in WebSocket frames.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use teaselworks_policy::upstream::{SharedFailures, SharedLoad, SharedObservations};

use super::PeerError;
use crate::discovery::StoreUpdate;

/// What a router asks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Revision of the store up to which it knows everything.
    pub known_revision: u64,
    /// Longest time for which the answer waits for something newer.
    pub wait: Duration,
    /// Largest answer that it wants; it reads the store where there is more.
    pub largest_bytes: Option<usize>,
    /// What it heard of upstreams itself since it asked last.
    #[serde(default)]
    #[serde(rename = "heard")]
    pub observations: PackedObservations,
}

/// What the other one answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// It can read the store.
    pub reads_store: bool,
    /// What it knows beyond the revision.
    #[serde(rename = "news")]
    pub update: StoreUpdate,
    /// What it heard of upstreams since it answered last.
    #[serde(default)]
    #[serde(rename = "heard")]
    pub observations: PackedObservations,
}

/// What a router heard of upstreams, in rows of the hash of the incarnation, a number and an age in
/// milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PackedObservations {
    /// Requests there.
    #[serde(default)]
    loads: Vec<Row>,
    /// Failures since it was last heard of.
    #[serde(default)]
    failures: Vec<Row>,
}

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
        let load = |load: &SharedLoad| (load.incarnation, load.total, ms(load.age));
        let failed = |told: &SharedFailures| (told.incarnation, told.count, ms(told.age));
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

fn ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes a message.
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

/// Decodes a message; fails with [`PeerError::Malformed`] on bytes that are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    ciborium::from_reader(bytes).map_err(|_| PeerError::Malformed)
}
