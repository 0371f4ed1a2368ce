//! Decodes the entry that a replica keeps of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::Deserialize;
use teaselworks_policy::upstream::Upstream;

use super::{DecodeError, wire};

/// Every field stands in every entry; one that lacks a field is not a replica's own.
#[derive(Deserialize)]
struct WireUpstream {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(rename = "version")]
    _version: IgnoredText,
    #[serde(deserialize_with = "wire::small")]
    slots: u32,
    state: State,
    #[serde(rename = "cold_remaining_ms", deserialize_with = "wire::milliseconds")]
    _cold: Duration,
    #[serde(rename = "sequence", deserialize_with = "wire::whole")]
    _sequence: u64,
    /// Milliseconds since the epoch at which the process started; replicas of earlier versions do
    /// not say it.
    #[serde(default, deserialize_with = "wire::present")]
    born: Option<u64>,
}

/// Text that is checked and not kept.
type IgnoredText = Box<str>;

/// Nothing is said of a replica that is ill.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes an entry; `id` stands in its key alone.
pub(super) fn decode(id: &str, value: &[u8]) -> Result<Upstream, DecodeError> {
    let wire: WireUpstream = wire::read(value)?;
    Ok(Upstream {
        id: id.into(),
        service: wire.service,
        address: wire.address,
        zone: wire.zone,
        slots: wire.slots,
        is_draining: wire.state == State::Draining,
        started: wire.born.map(|ms| SystemTime::UNIX_EPOCH + Duration::from_millis(ms)),
    })
}
