//! The record of one call as the platform holds it.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use teaselworks_policy::once::claim::SeenRecord;
use teaselworks_wire::message::Header;

/// Prefix of all records.
const ONCE_PREFIX: &str = "once/";
/// Longest body that is kept for repeats.
pub const KEPT_BODY_SIZE_BYTES: usize = 64 << 10;
/// Longest sum of header names and values that is kept.
const KEPT_HEADERS_SIZE_BYTES: usize = 8 << 10;
/// Longest part of a key that is used as it is.
const PLAIN_LENGTH: usize = 128;

/// Digest of a request, by which a key that is used for another one is recognised.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Digests what makes two requests the same.
    ///
    /// ```
    /// use teaselworks::once::Fingerprint;
    ///
    /// let booking = Fingerprint::of("stock", "POST", "/slots/9", b"{}");
    /// assert_ne!(booking, Fingerprint::of("stock", "POST", "/slots/9", b"{ }"));
    /// ```
    pub fn of(target: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [target.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hexadecimal(&hash.finalize()))
    }

    /// Returns the digest as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Body of a kept outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptBody {
    /// The whole body.
    Whole(#[serde(with = "base64_bytes")] Bytes),
    /// The body was too large to keep.
    TooLarge {
        /// Length in bytes.
        size_bytes: u64,
        /// SHA-256 digest in lower-case hexadecimal.
        digest: String,
    },
}

/// Answer of the service, kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on to the caller; none when they were too large to keep.
    pub headers: Vec<Header>,
    /// Body.
    pub body: KeptBody,
}

impl StoredOutcome {
    /// Keeps an answer, or only a digest of its body when that is too large.
    ///
    /// ```
    /// use teaselworks::once::{KeptBody, StoredOutcome};
    ///
    /// let outcome = StoredOutcome::new(201, Vec::new(), b"booked");
    /// assert_eq!(outcome.body, KeptBody::Whole("booked".into()));
    /// ```
    pub fn new(status: u16, headers: Vec<Header>, body: &[u8]) -> Self {
        let mut kept = BodyKeeper::default();
        kept.data(body);
        kept.into_outcome(status, headers)
    }
}

/// Keeps a body that arrives in parts: whole up to the limit, and its digest in any case.
#[derive(Debug, Default)]
pub struct BodyKeeper {
    kept: Vec<u8>,
    size_bytes: u64,
    hash: Sha256,
}

impl BodyKeeper {
    /// Takes the next part.
    pub fn data(&mut self, bytes: &[u8]) {
        self.size_bytes += bytes.len() as u64;
        self.hash.update(bytes);
        let room = KEPT_BODY_SIZE_BYTES.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Returns what repeats are answered with.
    ///
    /// ```
    /// use teaselworks::once::{BodyKeeper, KeptBody};
    ///
    /// let mut keeper = BodyKeeper::default();
    /// keeper.data(b"boo");
    /// keeper.data(b"ked");
    /// let outcome = keeper.into_outcome(201, Vec::new());
    /// assert_eq!(outcome.body, KeptBody::Whole("booked".into()));
    /// ```
    pub fn into_outcome(self, status: u16, headers: Vec<Header>) -> StoredOutcome {
        let size_bytes: usize =
            headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        let headers = if size_bytes > KEPT_HEADERS_SIZE_BYTES { Vec::new() } else { headers };
        let body = if self.size_bytes > KEPT_BODY_SIZE_BYTES as u64 {
            let digest = hexadecimal(&self.hash.finalize());
            KeptBody::TooLarge { size_bytes: self.size_bytes, digest }
        } else {
            KeptBody::Whole(self.kept.into())
        };
        StoredOutcome { status, headers, body }
    }
}

/// Record of one call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    pub claim: String,
    pub fingerprint: Fingerprint,
    pub started_at_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<StoredOutcome>,
}

impl Record {
    pub fn seen(&self) -> SeenRecord<'_> {
        SeenRecord {
            claim: &self.claim,
            fingerprint: self.fingerprint.as_str(),
            finished: self.outcome.is_some(),
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records of plain fields encode")
    }
}

/// Returns the key of a call's record.
pub(super) fn record_key(workspace: &str, key: &str) -> String {
    format!("{ONCE_PREFIX}{}/{}", key_part(workspace), key_part(key))
}

/// Makes a part of a key from text of a caller's choice, differently for any two texts.
fn key_part(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    if text.len() <= PLAIN_LENGTH && text.bytes().all(plain) {
        return format!("k-{text}");
    }
    format!("d-{}", hexadecimal(&Sha256::digest(text.as_bytes())))
}

fn hexadecimal(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}

mod base64_bytes {
    use super::{Bytes, Deserialize, Deserializer, Engine, STANDARD, Serializer};

    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
    }
}
