//! Requests and answers of the gateway: bytes in base64, 64-bit numbers as strings, default values
//! left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel in base64.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64).map_err(serde::de::Error::custom)
    }
}

/// 64-bit number that travels as a string; a plain number is understood too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Int(number)),
            Form::Text(text) => text.parse().map(Int).map_err(serde::de::Error::custom),
        }
    }
}

/// Condition of a transaction.
#[derive(Debug, Serialize)]
pub struct CompareMessage {
    pub result: &'static str,
    pub target: &'static str,
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int>,
}

/// One step of a transaction.
#[derive(Debug, Serialize)]
pub enum OperationMessage {
    #[serde(rename = "request_range")]
    Range(RangeMessage),
    #[serde(rename = "request_put")]
    Put(PutMessage),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteMessage),
}

/// Reads a key, or the keys up to `range_end`.
#[derive(Debug, Serialize)]
pub struct RangeMessage {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    pub limit: Int,
}

/// Writes a key.
#[derive(Debug, Serialize)]
pub struct PutMessage {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int,
}

/// Removes a key, or the keys up to `range_end`.
#[derive(Debug, Serialize)]
pub struct DeleteMessage {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

/// Steps that run at once, chosen by conditions.
#[derive(Debug, Serialize)]
pub struct TransactionMessage {
    pub compare: Vec<CompareMessage>,
    pub success: Vec<OperationMessage>,
    pub failure: Vec<OperationMessage>,
}

/// Grants, keeps or revokes a lease.
#[derive(Debug, Serialize)]
pub struct LeaseMessage {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl_s: Int,
}

/// Opens a watch.
#[derive(Debug, Serialize)]
pub struct WatchMessage {
    pub create_request: WatchCreateMessage,
}

/// What a watch reports.
#[derive(Debug, Serialize)]
pub struct WatchCreateMessage {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    pub start_revision: Int,
}

/// State of the service that an answer was made in.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct HeaderMessage {
    pub revision: Int,
}

/// One entry.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValueMessage {
    pub key: Base64,
    pub value: Base64,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
}

/// Answer to a range.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeAnswer {
    pub header: HeaderMessage,
    pub kvs: Vec<KeyValueMessage>,
    pub more: bool,
}

/// Answer to one step: exactly one member is there.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct OperationAnswer {
    #[serde(alias = "responseRange")]
    pub response_range: Option<RangeAnswer>,
}

/// Answer to a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TransactionAnswer {
    pub header: Option<HeaderMessage>,
    pub succeeded: bool,
    pub responses: Vec<OperationAnswer>,
}

/// Answer to a lease call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseAnswer {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl_s: Int,
}

/// Answer of a stream: each line has a result or an error.
#[derive(Debug, Deserialize)]
pub struct StreamAnswer<T> {
    pub result: Option<T>,
}

/// One line of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchAnswer {
    pub header: HeaderMessage,
    pub canceled: bool,
    #[serde(alias = "compactRevision")]
    pub compact_revision: Int,
    pub events: Vec<EventMessage>,
}

/// Change of one key.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EventMessage {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: KeyValueMessage,
}

/// Error of the gateway.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorAnswer {
    pub message: String,
}
