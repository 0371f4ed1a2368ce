//! Items of the platform's store: the kinds of keys, and how each kind's value is decoded.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::origin_memory::RecordedOrigins;
use teaselworks_policy::upstream::Upstream;

use super::{DecodeError, configuration, origins, registration, upstream};

/// Key of the operator's configuration.
const CONFIGURATION_KEY: &str = "op/config";
/// Prefix of the keys of evacuated zones.
const EVACUATION_KEY_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys of blocked parts of prompts.
const BLOCKED_PART_KEY_PREFIX: &str = "blocked-parts/";
/// Prefix of the keys of requests under which replicas ended.
const ENDED_REQUEST_KEY_PREFIX: &str = "ended-requests/";
/// Key of the record of where streams can have begun lately.
pub const ORIGINS_KEY: &str = "stream-origins";
/// Prefix of the keys of upstreams.
const UPSTREAM_KEY_PREFIX: &str = "servers/";

/// Largest value of a key that replicas or routers write; theirs have a few KB.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// A key of the store with its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value after base64 decoding; `None` if the store contains something other than base64 text, or a
    /// value that is larger than any of this kind.
    pub value: Option<Bytes>,
    /// Revision of the store at which the key was last written.
    pub revision: u64,
}

/// Kind of entry that a key of the store names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyKind<'a> {
    /// The operator's configuration.
    Configuration,
    /// The operator's evacuation of the zone with this name, which lasts as long as the key exists.
    Evacuation(&'a str),
    /// The part of prompts with this identifier, which is blocked as long as the key exists.
    BlockedPart(u64),
    /// The request with this fingerprint, under which replicas ended.
    EndedRequest(u64),
    /// The record of where streams can have begun lately.
    RecordedOrigins,
    /// The upstream with this identifier.
    Upstream(&'a str),
    /// The router with this name.
    Router(&'a str),
    /// A key that routers do not use.
    Other,
}

/// Returns the store key of a blocked part.
///
/// ```
/// use teaselworks::platform::{KeyKind, blocked_part_key, classify_key};
///
/// assert_eq!(classify_key(&blocked_part_key(0xbad)), KeyKind::BlockedPart(0xbad));
/// ```
pub fn blocked_part_key(part: u64) -> String {
    format!("{BLOCKED_PART_KEY_PREFIX}{part:x}")
}

/// Returns the store key of a request under which replicas ended.
///
/// ```
/// use teaselworks::platform::{KeyKind, classify_key, ended_request_key};
///
/// assert_eq!(classify_key(&ended_request_key(0xbad)), KeyKind::EndedRequest(0xbad));
/// ```
pub fn ended_request_key(fingerprint: u64) -> String {
    format!("{ENDED_REQUEST_KEY_PREFIX}{fingerprint:x}")
}

/// Value of such a key.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedEnds {
    /// Hashes of the incarnations that ended while they ran the request.
    pub ends: Vec<u64>,
    /// Whether it was answered before.
    pub was_answered: bool,
}

impl ListedEnds {
    /// Returns the value as it is written.
    ///
    /// ```
    /// use teaselworks::platform::ListedEnds;
    ///
    /// let value = ListedEnds { ends: vec![7], was_answered: false }.encode();
    /// assert_eq!(value, br#"{"ends":[7],"was_answered":false}"#);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Never fails: it has no map whose keys are not text.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the kind of entry that a key names.
///
/// ```
/// use teaselworks::platform::{KeyKind, classify_key};
///
/// assert_eq!(classify_key("servers/i-7"), KeyKind::Upstream("i-7"));
/// assert_eq!(classify_key("op/evacuate/a"), KeyKind::Evacuation("a"));
/// assert_eq!(classify_key("elsewhere"), KeyKind::Other);
/// ```
pub fn classify_key(key: &str) -> KeyKind<'_> {
    if key == CONFIGURATION_KEY {
        return KeyKind::Configuration;
    }
    if key == ORIGINS_KEY {
        return KeyKind::RecordedOrigins;
    }
    if let Some(zone) = key.strip_prefix(EVACUATION_KEY_PREFIX) {
        return KeyKind::Evacuation(zone);
    }
    if let Some(part) = key.strip_prefix(BLOCKED_PART_KEY_PREFIX) {
        return u64::from_str_radix(part, 16).map_or(KeyKind::Other, KeyKind::BlockedPart);
    }
    if let Some(hash) = key.strip_prefix(ENDED_REQUEST_KEY_PREFIX) {
        return u64::from_str_radix(hash, 16).map_or(KeyKind::Other, KeyKind::EndedRequest);
    }
    if let Some(id) = key.strip_prefix(UPSTREAM_KEY_PREFIX) {
        return KeyKind::Upstream(id);
    }
    match key.strip_prefix(registration::KEY_PREFIX) {
        Some(name) => KeyKind::Router(name),
        None => KeyKind::Other,
    }
}

/// Returns the size of the largest value that is kept of a key of this kind. Other programs may write
/// values that together are larger than the memory of a router.
pub(super) fn max_value_bytes(kind: KeyKind<'_>) -> usize {
    match kind {
        KeyKind::Configuration => usize::MAX,
        KeyKind::Other | KeyKind::Evacuation(_) | KeyKind::BlockedPart(_) => 0,
        KeyKind::EndedRequest(_)
        | KeyKind::RecordedOrigins
        | KeyKind::Upstream(_)
        | KeyKind::Router(_) => MAX_ENTRY_BYTES,
    }
}

/// Decoded value of an item.
#[derive(Clone, Debug)]
pub enum ItemValue {
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// The name of an evacuated zone.
    Evacuation(Arc<str>),
    /// The identifier of a blocked part of prompts.
    BlockedPart(u64),
    /// Fingerprint of a request, and the replicas that ended while they ran it.
    EndedRequest(u64, ListedEnds),
    /// The record of where streams can have begun lately.
    RecordedOrigins(RecordedOrigins),
    /// An upstream.
    Upstream(Upstream),
    /// Name of a router, and the address at which other routers reach it.
    Router(Arc<str>, SocketAddr),
    /// The value of a key that routers do not use.
    Other,
}

/// Decodes the value of an item according to the kind of its key.
///
/// Fails if the value of a configuration, an upstream or a router cannot be decoded; values of
/// other keys are ignored.
pub fn decode_item(item: &Item) -> Result<ItemValue, DecodeError> {
    let key_kind = classify_key(&item.key);
    match key_kind {
        KeyKind::Other => return Ok(ItemValue::Other),
        // The key alone states that the zone is evacuated, whatever its value.
        KeyKind::Evacuation(zone) => return Ok(ItemValue::Evacuation(zone.into())),
        KeyKind::BlockedPart(part) => return Ok(ItemValue::BlockedPart(part)),
        KeyKind::EndedRequest(fingerprint) => {
            let value = item.value.as_deref().unwrap_or_default();
            let listed = serde_json::from_slice(value).unwrap_or_default();
            return Ok(ItemValue::EndedRequest(fingerprint, listed));
        }
        // A record that cannot be read tells nothing, but there is one.
        KeyKind::RecordedOrigins => {
            let value = item.value.as_deref().unwrap_or_default();
            let recorded = origins::decode(value).unwrap_or_default();
            return Ok(ItemValue::RecordedOrigins(recorded));
        }
        KeyKind::Configuration | KeyKind::Upstream(_) | KeyKind::Router(_) => {}
    }
    let Some(value) = &item.value else {
        return Err(DecodeError::new("value", "is not base64 text, or is too large"));
    };
    Ok(match key_kind {
        KeyKind::Configuration => ItemValue::Configuration(Box::new(configuration::decode(value)?)),
        KeyKind::Upstream(id) => ItemValue::Upstream(upstream::decode(id, value)?),
        KeyKind::Router(name) => ItemValue::Router(name.into(), registration::decode(value)?),
        KeyKind::Evacuation(_)
        | KeyKind::BlockedPart(_)
        | KeyKind::EndedRequest(_)
        | KeyKind::RecordedOrigins
        | KeyKind::Other => ItemValue::Other,
    })
}
