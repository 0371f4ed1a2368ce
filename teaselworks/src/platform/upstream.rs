//! Decodes the entry that each replica keeps about itself in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::Deserialize;
use teaselworks_policy::upstream::Upstream;

use super::{DecodeError, wire};

/// JSON value of a replica's entry.
///
/// Every field except `born` is required: an entry that lacks one was not written by a replica.
#[derive(Deserialize)]
struct WireUpstream {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    version: Arc<str>,
    #[serde(deserialize_with = "wire::saturating_u32")]
    slots: u32,
    state: State,
    #[serde(deserialize_with = "wire::duration_ms")]
    cold_remaining_ms: Duration,
    #[serde(rename = "sequence", deserialize_with = "wire::saturating_u64")]
    _sequence: u64,
    /// Start of the process in milliseconds since the Unix epoch; replicas of earlier versions omit
    /// it.
    #[serde(default, deserialize_with = "wire::non_null")]
    born: Option<u64>,
}

/// State that a replica reports; there is no value for an unhealthy replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes an entry; `id` comes from its key, as the value does not contain it.
pub(super) fn decode(id: &str, value: &[u8]) -> Result<Upstream, DecodeError> {
    let wire: WireUpstream = wire::from_json(value)?;
    Ok(Upstream {
        id: id.into(),
        service: wire.service,
        address: wire.address,
        zone: wire.zone,
        version: wire.version,
        slots: wire.slots,
        is_draining: wire.state == State::Draining,
        cold_remaining: wire.cold_remaining_ms,
        started: wire.born.map(|ms| SystemTime::UNIX_EPOCH + Duration::from_millis(ms)),
    })
}
