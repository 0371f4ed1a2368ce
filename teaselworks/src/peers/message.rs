//! Messages between routers, as CBOR in WebSocket frames.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use teaselworks_policy::upstream::SharedLoad;

use super::PeerError;
use crate::beliefs::News;

/// What a router asks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Revision of the store up to which it knows everything.
    pub known_revision: u64,
    /// Longest time for which the answer waits for something newer.
    pub wait: Duration,
    /// Largest answer that it wants; it reads the store where there is more.
    pub largest_bytes: Option<usize>,
    /// Loads that it heard from upstreams since it asked last.
    #[serde(default)]
    pub loads: Loads,
}

/// What the other one answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// It can read the store.
    pub reads_store: bool,
    /// What it knows beyond the revision.
    pub news: News,
    /// Loads of upstreams that it heard since it answered last.
    #[serde(default)]
    pub loads: Loads,
}

/// Loads of upstreams: hash of the incarnation, requests, age in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loads(Vec<(u64, u32, u32)>);

impl Loads {
    /// Packs loads for a message.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks::peers::message::Loads;
    /// use teaselworks_policy::upstream::SharedLoad;
    ///
    /// let load = SharedLoad { incarnation: 7, total: 3, age: Duration::from_millis(40) };
    /// assert_eq!(Loads::pack(&[load]).unpack(), [load]);
    /// ```
    pub fn pack(loads: &[SharedLoad]) -> Self {
        let pack = |load: &SharedLoad| {
            let age_ms = u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX);
            (load.incarnation, load.total, age_ms)
        };
        Self(loads.iter().map(pack).collect())
    }

    /// Unpacks the loads of a message.
    pub fn unpack(&self) -> Vec<SharedLoad> {
        let unpack = |&(incarnation, total, age_ms): &(u64, u32, u32)| {
            let age = Duration::from_millis(age_ms.into());
            SharedLoad { incarnation, total, age }
        };
        self.0.iter().map(unpack).collect()
    }
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
