//! Messages about configurations between routers, in CBOR.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselworks_policy::name::Name;
use teaselworks_policy::store::version::Version;

/// Number and lineage as they travel.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionMessage {
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "l")]
    pub lineage: Name,
}

impl From<Version> for VersionMessage {
    fn from(version: Version) -> Self {
        Self { number: version.number, lineage: version.lineage }
    }
}

impl From<VersionMessage> for Version {
    fn from(version: VersionMessage) -> Self {
        Self { number: version.number, lineage: version.lineage }
    }
}

/// What one router asks of another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Tells a new version, with the patches that led to it as far as they are small.
    Announce { from: Name, version: VersionMessage, patches: Vec<Bytes> },
    /// Tells the own version and asks for the other's.
    Ask { from: Name, version: VersionMessage },
    /// Asks for the patches after a version.
    Patches { after: VersionMessage },
    /// Asks for a piece of the whole configuration.
    Piece { version: VersionMessage, offset_bytes: u64 },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Version in force.
    Have { version: VersionMessage },
    /// The next patches; none: nothing newer is in force.
    Patches { patches: Vec<Bytes> },
    /// Bytes of the encoded configuration from the offset on.
    Piece { size_bytes: u64, bytes: Bytes },
    /// The patches are no longer kept, or the version is no longer in force.
    Gone { version: VersionMessage },
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages of plain fields encode");
    bytes.into()
}

/// Decodes a message; `None` when it is none.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
