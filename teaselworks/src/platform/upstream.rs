//! Decodes the entry that a replica keeps of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use teaselworks_policy::upstream::Upstream;

use super::{DecodeError, wire};

#[derive(Deserialize)]
struct WireUpstream {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(default, deserialize_with = "wire::small")]
    slots: u32,
    /// `ready` or `draining`; nothing is said of a replica that is ill.
    state: String,
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
        // A state that is not known promises nothing.
        is_draining: wire.state != "ready",
    })
}
