//! Requests and answers of the etcd v3 JSON gateway: bytes in base64, 64-bit numbers as strings,
//! fields that hold their default left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel in base64.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(serde::de::Error::custom)
    }
}

/// 64-bit number that travels as a string; a plain number is understood too.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Int(pub i64);

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

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub key: Bytes,
    /// First key after the range; empty: the one key; one zero byte: no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    pub limit: Int,
    pub revision: Int,
    #[serde(alias = "sortOrder")]
    pub sort_order: String,
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    #[serde(alias = "countOnly")]
    pub count_only: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub key: Bytes,
    pub value: Bytes,
    pub lease: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteRangeRequest {
    pub key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub key: Bytes,
    pub target: String,
    pub result: String,
    pub version: Int,
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    pub value: Bytes,
    pub lease: Int,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl_s: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreateRequest {
    pub key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
}

#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    pub key: Bytes,
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int,
    pub mod_revision: Int,
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int,
    #[serde(skip_serializing_if = "is_default")]
    pub value: Bytes,
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) struct Event {
    /// `DELETE`; left out for a write.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    pub kv: KeyValue,
}
