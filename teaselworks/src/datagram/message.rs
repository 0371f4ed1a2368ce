//! Messages between routers that fit into one datagram. Each is sent as CBOR.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselworks_policy::stream_origin::{StreamKeys, StreamOrigin};

use super::load_message::LoadMessage;

/// Longest name in a message: those of services and versions are far shorter.
const MAX_NAME_BYTES: usize = 200;

/// A message to another router.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A resumable stream began; the receiver keeps a copy of its origin.
    #[serde(rename = "began")]
    StreamBegan {
        /// Keys of the stream.
        #[serde(rename = "s")]
        keys: PackedKeys,
        /// Where it began.
        #[serde(rename = "o")]
        origin: PackedOrigin,
    },
    /// Requests the origin of a stream.
    #[serde(rename = "ask")]
    StreamQuery {
        /// Keys of the stream.
        #[serde(rename = "s")]
        keys: PackedKeys,
    },
    /// Answers a [`Message::StreamQuery`].
    #[serde(rename = "origin")]
    StreamAnswer {
        /// Keys of the stream.
        #[serde(rename = "s")]
        keys: PackedKeys,
        /// Where it began; `None` if the router does not know, or not which of several.
        #[serde(rename = "o")]
        origin: Option<PackedOrigin>,
        /// Whether equal requests began differently.
        #[serde(rename = "m")]
        is_ambiguous: bool,
        /// Time for which the router was told of all streams with the keys, in milliseconds.
        #[serde(rename = "a")]
        known_for_ms: u32,
    },
    /// Replicas broke off requests; sent to the holders of the parts of their prompts.
    #[serde(rename = "crashes")]
    PartCrashes(Vec<CrashRow>),
    /// Queries whether an answer was written on a part since the first crash, or shortly before.
    #[serde(rename = "suspect")]
    PartSuspected {
        /// Identifier of the part.
        #[serde(rename = "p")]
        part: u64,
        /// Time since the first crash, in milliseconds.
        #[serde(rename = "a")]
        first_age_ms: u32,
    },
    /// An answer was written on a part.
    #[serde(rename = "proof")]
    PartProven {
        /// Identifier of the part.
        #[serde(rename = "p")]
        part: u64,
        /// Time since the answer began, in milliseconds.
        #[serde(rename = "a")]
        began_age_ms: u32,
    },
    /// A part crashes replicas and gets no requests.
    #[serde(rename = "block")]
    PartBlocked {
        /// Identifier of the part.
        #[serde(rename = "p")]
        part: u64,
        /// Hashes of the incarnations that crashed.
        #[serde(rename = "c")]
        crashes: Vec<u64>,
        /// Time since the first crash, in milliseconds.
        #[serde(rename = "a")]
        first_age_ms: u32,
    },
    /// A part is no longer blocked, since an answer was written on it.
    #[serde(rename = "release")]
    PartReleased {
        /// Identifier of the part.
        #[serde(rename = "p")]
        part: u64,
    },
    /// Replicas ended under requests.
    #[serde(rename = "ends")]
    RequestEnds {
        /// Whether the sender observed the ends and requests the record of the receiver.
        #[serde(rename = "q")]
        is_report: bool,
        /// Record of the sender.
        #[serde(rename = "r")]
        rows: Vec<EndsRow>,
    },
    /// A request under which replicas had ended was answered.
    #[serde(rename = "answered")]
    RequestAnswered {
        /// Fingerprint of the request.
        #[serde(rename = "f")]
        fingerprint: u64,
        /// Time since the answered attempt was sent, in milliseconds.
        #[serde(rename = "a")]
        sent_age_ms: u32,
    },
    /// The offered load of a service.
    #[serde(rename = "load")]
    Load(LoadMessage),
}

/// A crash report: the part, the hash of the incarnation, the times since the request was sent and
/// since its replica broke off in milliseconds, and whether answers were lately written on the part.
pub type CrashRow = (u64, u64, u32, u32, bool);

/// Fingerprint of a request, whether it was answered before, and the ends of replicas that ran it.
pub type EndsRow = (u64, bool, Vec<EndRow>);

/// Hash of the incarnation that ended, the times since the request was sent and since the replica ended in
/// milliseconds, and whether its answer had begun.
pub type EndRow = (u64, u32, u32, bool);

/// Keys of a stream: that of the request which it answers, and that of the request's content.
pub type PackedKeys = (u64, u64);

/// Origin of a stream: the service, and the version of its replica's software.
pub type PackedOrigin = (Arc<str>, Arc<str>);

/// Returns the origin as a message carries it.
pub(super) fn pack_origin(origin: &StreamOrigin) -> PackedOrigin {
    (origin.service.clone(), origin.version.clone())
}

/// Returns the origin that a message carries.
pub(crate) fn unpack_origin((service, version): PackedOrigin) -> StreamOrigin {
    StreamOrigin { service, version }
}

/// Returns the keys as a message carries them.
pub(super) fn pack_keys(keys: StreamKeys) -> PackedKeys {
    (keys.request, keys.content)
}

/// Returns the keys that a message carries.
pub(crate) fn unpack_keys((request, content): PackedKeys) -> StreamKeys {
    StreamKeys { request, content }
}

/// Encodes a message.
///
/// ```
/// use teaselworks::datagram::{Message, decode_message, encode_message};
///
/// let message = Message::StreamQuery { keys: (7, 8) };
/// assert_eq!(decode_message(&encode_message(&message)), Some(message));
/// ```
pub fn encode_message(message: &Message) -> Bytes {
    let mut bytes = Vec::new();
    // Writing CBOR to a vector does not fail. If it did, the receiver would drop the message.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes.into()
}

/// Decodes a message; `None` if the bytes are not one.
pub fn decode_message(bytes: &[u8]) -> Option<Message> {
    let message: Message = ciborium::from_reader(bytes).ok()?;
    if let Message::Load(load) = &message
        && !load.is_plausible()
    {
        return None;
    }
    let origin = match &message {
        Message::StreamBegan { origin, .. } => Some(origin),
        Message::StreamAnswer { origin, .. } => origin.as_ref(),
        _ => None,
    };
    let is_short = |name: &str| name.len() <= MAX_NAME_BYTES;
    let has_short_names =
        origin.is_none_or(|(service, version)| is_short(service) && is_short(version));
    has_short_names.then_some(message)
}
