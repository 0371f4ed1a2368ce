//! What a key of the store is about, and what its value says.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::upstream::Upstream;

use super::{DecodeError, configuration, registration, upstream};

const CONFIGURATION: &str = "op/config";
const UPSTREAMS: &str = "servers/";

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` where it is no base64 text.
    pub value: Option<Bytes>,
    /// Revision of the store at which it was written.
    pub revision: u64,
}

/// What a key is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyKind<'a> {
    /// The operator's configuration.
    Configuration,
    /// The upstream of this identifier.
    Upstream(&'a str),
    /// The router of this name.
    Router(&'a str),
    /// Nothing that a router needs.
    Other,
}

/// Tells what a key is about.
///
/// ```
/// use teaselworks::platform::{KeyKind, classify_key};
///
/// assert_eq!(classify_key("servers/i-7"), KeyKind::Upstream("i-7"));
/// assert_eq!(classify_key("elsewhere"), KeyKind::Other);
/// ```
pub fn classify_key(key: &str) -> KeyKind<'_> {
    if key == CONFIGURATION {
        return KeyKind::Configuration;
    }
    if let Some(id) = key.strip_prefix(UPSTREAMS) {
        return KeyKind::Upstream(id);
    }
    match key.strip_prefix(registration::PREFIX) {
        Some(name) => KeyKind::Router(name),
        None => KeyKind::Other,
    }
}

/// What an item says.
#[derive(Clone, Debug)]
pub enum DecodedItem {
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// An upstream.
    Upstream(Upstream),
    /// Where a router can be asked.
    Router(Arc<str>, SocketAddr),
    /// Nothing that a router needs.
    Other,
}

/// Decodes an item.
pub fn decode_item(item: &Item) -> Result<DecodedItem, DecodeError> {
    let subject = classify_key(&item.key);
    if subject == KeyKind::Other {
        return Ok(DecodedItem::Other);
    }
    let Some(value) = &item.value else {
        return Err(DecodeError::new("value", "is no base64 text"));
    };
    Ok(match subject {
        KeyKind::Configuration => {
            DecodedItem::Configuration(Box::new(configuration::decode(value)?))
        }
        KeyKind::Upstream(id) => DecodedItem::Upstream(upstream::decode(id, value)?),
        KeyKind::Router(name) => DecodedItem::Router(name.into(), registration::decode(value)?),
        KeyKind::Other => DecodedItem::Other,
    })
}
