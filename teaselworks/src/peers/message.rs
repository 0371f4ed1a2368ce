//! Messages between routers, as CBOR in WebSocket frames.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::PeerError;
use crate::beliefs::News;

/// What a router asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Revision of the store up to which it knows everything.
    pub known_revision: u64,
    /// Longest time for which the answer waits for something newer.
    pub wait: Duration,
    /// Largest answer that it wants; it reads the store where there is more.
    pub largest_bytes: Option<usize>,
}

/// What the other one answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// It can read the store.
    pub reads_store: bool,
    /// What it knows beyond the revision.
    pub news: News,
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
