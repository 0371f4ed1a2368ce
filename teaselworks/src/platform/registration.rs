//! The entry by which routers find each other.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::DecodeError;

/// Beginning of the keys of routers.
pub(super) const PREFIX: &str = "routers/";

#[derive(Serialize, Deserialize)]
struct Registration {
    peers: SocketAddr,
}

/// Returns the key of a router.
pub fn registration_key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// Returns the value of a router that can be asked at `peers`.
pub fn registration_value(peers: SocketAddr) -> Bytes {
    let mut value = Vec::new();
    // Writing to memory does not fail; an empty value would be refused by its readers.
    let _ = ciborium::into_writer(&Registration { peers }, &mut value);
    value.into()
}

/// Decodes the value of a router.
pub(super) fn decode(value: &[u8]) -> Result<SocketAddr, DecodeError> {
    let registration: Registration =
        ciborium::from_reader(value).map_err(|error| DecodeError::new("peers", error))?;
    Ok(registration.peers)
}
