//! Client of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::wire;
use super::{Item, StoreError};
use crate::net;

/// Longest wait for an answer to a call, and for more of one that has begun; one that is given up is
/// only made again, so a slow store is waited for, and a small link that carries a large answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time beyond the agreed wait after which a watch counts as dead.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// A lease, with which keys vanish when it is not renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Identifier.
    pub id: u64,
    /// Time for which it runs from each renewal.
    pub ttl: Duration,
}

/// All items, as of a revision or later.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store when the reading began: watches continue from here.
    pub revision: u64,
    /// Every item.
    pub items: Vec<Item>,
}

/// What a watch brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// Changes in order, none where nothing changed.
    Changes(Vec<ItemChange>),
    /// The store no longer knows what changed since then: everything must be read again.
    Compacted,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ItemChange {
    /// It was written.
    Written(Item),
    /// It was deleted at this revision.
    Deleted {
        /// Key.
        key: Arc<str>,
        /// Revision of the store.
        revision: u64,
    },
}

impl ItemChange {
    /// Returns the item that was written, where it was not deleted.
    pub fn item(&self) -> Option<&Item> {
        match self {
            ItemChange::Written(item) => Some(item),
            ItemChange::Deleted { .. } => None,
        }
    }

    /// Returns the revision of the store that the change made.
    pub fn revision(&self) -> u64 {
        match self {
            ItemChange::Written(item) => item.revision,
            ItemChange::Deleted { revision, .. } => *revision,
        }
    }
}

#[derive(Deserialize)]
struct WireItem {
    key: Arc<str>,
    #[serde(default)]
    value: Option<WireValue>,
    #[serde(deserialize_with = "wire::whole")]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// A value as the store hands it on, whoever wrote it.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireValue {
    Text(String),
    Other(IgnoredAny),
}

#[derive(Deserialize)]
struct WireRange {
    items: Vec<WireItem>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the whole store, not of the items.
    #[serde(deserialize_with = "wire::whole")]
    at: u64,
}

#[derive(Deserialize)]
struct WireWatch {
    events: Vec<WireItem>,
}

#[derive(Deserialize)]
struct WireLease {
    #[serde(deserialize_with = "wire::whole")]
    lease: u64,
    #[serde(deserialize_with = "wire::milliseconds")]
    ttl_ms: Duration,
}

#[derive(Serialize)]
struct WirePut<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

/// One connection to the store, which is opened when it is needed and after it broke.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Store {
    /// Makes a client; nothing is opened yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Reads everything.
    pub async fn snapshot(&mut self) -> Result<Snapshot, StoreError> {
        let mut snapshot: Option<Snapshot> = None;
        let mut after = String::new();
        loop {
            let mut path = "/kv-range?prefix=".to_owned();
            if !after.is_empty() {
                path.push_str("&after=");
                path.push_str(&encode(&after));
            }
            let (status, body) = self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
            if status != StatusCode::OK {
                return Err(StoreError::Status(status.as_u16()));
            }
            let range: WireRange = read(&body)?;
            // Pages are read one after the other: what changes meanwhile is seen by a watch from
            // the first page's revision on.
            let whole = snapshot.get_or_insert(Snapshot { revision: range.at, items: Vec::new() });
            for item in range.items {
                after = item.key.to_string();
                whole.items.push(item.read());
            }
            if !range.has_more {
                return Ok(snapshot.unwrap_or_default());
            }
        }
    }

    /// Waits for changes after a revision.
    pub async fn watch(&mut self, after: u64, wait: Duration) -> Result<WatchResult, StoreError> {
        let path = format!("/kv-watch?prefix=&after={after}&wait_ms={}", wait.as_millis());
        let (status, body) = self.call(Method::GET, &path, None, wait + WATCH_SLACK).await?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(WatchResult::Compacted),
            _ => return Err(StoreError::Status(status.as_u16())),
        }
        let watch: WireWatch = read(&body)?;
        Ok(WatchResult::Changes(watch.events.into_iter().map(WireItem::change).collect()))
    }

    /// Takes a lease.
    pub async fn grant_lease(&mut self, ttl: Duration) -> Result<Lease, StoreError> {
        let body = json!({ "ttl_ms": ttl.as_millis() as u64 });
        let body = self.post("/kv-lease", &body).await?;
        let lease: WireLease = read(&body)?;
        Ok(Lease { id: lease.lease, ttl: lease.ttl_ms })
    }

    /// Renews a lease; false where it has ended.
    pub async fn renew_lease(&mut self, lease: Lease) -> Result<bool, StoreError> {
        let path = format!("/kv-keep/{}", lease.id);
        match self.post(&path, &json!({})).await {
            Ok(_) => Ok(true),
            Err(StoreError::Status(404)) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Ends a lease and removes its keys.
    pub async fn revoke_lease(&mut self, lease: Lease) -> Result<(), StoreError> {
        let path = format!("/kv-lease-end/{}", lease.id);
        let (status, _) = self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(StoreError::Status(status.as_u16()))
    }

    /// Writes a key under a lease; false where the lease has ended.
    pub async fn put(&mut self, key: &str, value: &[u8], lease: Lease) -> Result<bool, StoreError> {
        let put = WirePut { key, value: STANDARD.encode(value), lease: lease.id };
        let body = json!({ "expect": [], "puts": [put], "remove": [] });
        match self.post("/kv-txn", &body).await {
            Ok(_) => Ok(true),
            Err(StoreError::Status(404)) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn post(&mut self, path: &str, body: &serde_json::Value) -> Result<Bytes, StoreError> {
        let body = Bytes::from(body.to_string());
        let (status, body) = self.call(Method::POST, path, Some(body), CALL_TIMEOUT).await?;
        if status.is_success() {
            return Ok(body);
        }
        Err(StoreError::Status(status.as_u16()))
    }

    /// Makes one call. After any failure the connection is not used again: the answer may still
    /// come, and would be taken for that to the next call.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let sent = self.exchange(method, path, body);
        let sent = tokio::time::timeout(timeout, sent).await.unwrap_or(Err(StoreError::Timeout));
        let (sender, answer) = sent?;
        let status = answer.status();
        let body = read_body(answer.into_body()).await?;
        self.sender = Some(sender);
        Ok((status, body))
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), StoreError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body.unwrap_or_default()))
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.open().await?,
        };
        sender.ready().await.map_err(|_| StoreError::Broken)?;
        let answer = sender.send_request(request).await.map_err(|_| StoreError::Broken)?;
        Ok((sender, answer))
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        let stream =
            net::connect(self.address).await.map_err(|error| StoreError::Connect(error.kind()))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| StoreError::Broken)?;
        // Its end shows in the sender.
        tokio::spawn(async move { connection.await.ok() });
        Ok(sender)
    }
}

/// Reads a body for as long as more of it arrives.
async fn read_body(mut body: Incoming) -> Result<Bytes, StoreError> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(CALL_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StoreError::Timeout)? else {
            return Ok(bytes.freeze());
        };
        if let Ok(data) = frame.map_err(|_| StoreError::Broken)?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

impl WireItem {
    fn read(self) -> Item {
        let value = match self.value {
            Some(WireValue::Text(text)) => STANDARD.decode(&text).ok().map(Bytes::from),
            Some(WireValue::Other(_)) | None => None,
        };
        Item { key: self.key, value, revision: self.revision }
    }

    fn change(self) -> ItemChange {
        if self.deleted {
            return ItemChange::Deleted { key: self.key, revision: self.revision };
        }
        ItemChange::Written(self.read())
    }
}

fn read<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, StoreError> {
    wire::read(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Encodes a key for a query.
fn encode(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
            continue;
        }
        encoded.push_str(&format!("%{byte:02X}"));
    }
    encoded
}
