//! State of the test store: items, revisions, the event history and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Size of the values on one page of items, unless the page has one item only.
const PAGE_BYTES: usize = 1 << 20;

/// Value of a key, with its metadata.
#[derive(Clone, Debug)]
struct Item {
    /// Value as clients get it: base64 text, or any JSON value that [`State::put_raw`] set.
    value: Value,
    /// Revision of the last write.
    revision: u64,
    /// Revision of the first write since the key was last absent.
    created_revision: u64,
    /// Lease that the key is attached to; 0 means none.
    lease: u64,
}

/// A lease; its keys are removed when it expires.
#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Contents of the store. Every change of a key increments the revision.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and event of each change since the last compaction.
    history: Vec<(u64, String, Value)>,
    /// Revision up to which the events were discarded.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    /// Identifier of the lease granted last; identifiers count from 1.
    last_lease: u64,
}

impl State {
    /// Returns the current revision.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the keys that start with `prefix`, in order.
    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Sets a key to a value, which is encoded in base64; a lease of 0 means none.
    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.put_raw(key, STANDARD.encode(value).into(), lease);
    }

    /// Sets a key to a value as it is; a lease of 0 means none.
    pub(super) fn put_raw(&mut self, key: &str, value: Value, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created_revision = self.items.get(key).map_or(revision, |item| item.created_revision);
        let item = Item { value, revision, created_revision, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes a key; does nothing if the key does not exist.
    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let event = json!({ "key": key, "revision": self.revision, "deleted": true });
        self.history.push((self.revision, key.to_owned(), event));
    }

    /// Discards all events up to the current revision.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Returns the events after a revision for keys that start with `prefix`; `None` if some events
    /// after that revision were discarded.
    pub(super) fn events_after(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.compacted_revision {
            return None;
        }
        let events = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        Some(events.map(|(_, _, event)| event.clone()).collect())
    }

    /// Returns a page of up to `limit` items, and of about [`PAGE_BYTES`], whose keys start with
    /// `prefix` and sort after `after`.
    pub(super) fn range(&self, prefix: &str, after: &str, limit: usize) -> Value {
        let matching: Vec<(&String, &Item)> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let mut size_bytes = 0;
        let mut items: Vec<Value> = Vec::new();
        for (key, item) in matching.iter().take(limit) {
            size_bytes += item.value.as_str().map_or(0, str::len);
            if size_bytes > PAGE_BYTES && !items.is_empty() {
                break;
            }
            items.push(item_json(key, item));
        }
        let has_more = matching.len() > items.len();
        json!({ "items": items, "has_more": has_more, "at": self.revision })
    }

    /// Grants a lease and returns its identifier.
    pub(super) fn grant_lease(&mut self, ttl_ms: u64) -> u64 {
        self.last_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: Instant::now() + ttl });
        self.last_lease
    }

    /// Renews a lease and returns its TTL in milliseconds; `None` if the lease does not exist.
    pub(super) fn renew_lease(&mut self, id: u64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        u64::try_from(lease.ttl.as_millis()).ok()
    }

    /// Ends a lease and removes the keys that are attached to it.
    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Ends every lease.
    pub(super) fn end_leases(&mut self) {
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        for id in leases {
            self.end_lease(id);
        }
    }

    /// Ends every lease whose TTL has elapsed since it was granted or last renewed.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Sets and removes the keys in the body of a transaction, and ignores its conditions. Returns
    /// the new revision, or `None` without any change if a lease does not exist.
    pub(super) fn transact(&mut self, body: &Value) -> Option<u64> {
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        for put in &puts {
            let lease = put["lease"].as_u64().unwrap_or_default();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return None;
            }
        }
        for put in puts {
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            let lease = put["lease"].as_u64().unwrap_or_default();
            self.put(put["key"].as_str().unwrap_or_default(), &value.unwrap_or_default(), lease);
        }
        for key in body["remove"].as_array().into_iter().flatten() {
            self.remove(key.as_str().unwrap_or_default());
        }
        Some(self.revision)
    }
}

/// Returns an item as range responses and watch events contain it.
fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created_revision": item.created_revision,
        "lease": item.lease,
    })
}
