//! Registration of routers in the platform's store, by which routers find each other.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::DecodeError;

/// Prefix of the store keys of routers.
pub(super) const KEY_PREFIX: &str = "routers/";

/// Value that a router stores under its key, encoded as CBOR.
#[derive(Serialize, Deserialize)]
struct Registration {
    /// Address at which other routers reach this one.
    peers: SocketAddr,
}

/// Returns the store key of the router with this name.
pub fn registration_key(name: &str) -> String {
    format!("{KEY_PREFIX}{name}")
}

/// Returns the value that a router stores under its key; other routers reach it at `peers`.
pub fn registration_value(peers: SocketAddr) -> Bytes {
    let mut value = Vec::new();
    // Writing CBOR to a vector does not fail. If it did, the readers would reject the empty value.
    let _ = ciborium::into_writer(&Registration { peers }, &mut value);
    value.into()
}

/// Decodes the value of a router's key; returns the address at which other routers reach it.
pub(super) fn decode(value: &[u8]) -> Result<SocketAddr, DecodeError> {
    let registration: Registration =
        ciborium::from_reader(value).map_err(|error| DecodeError::new("peers", error))?;
    Ok(registration.peers)
}
