//! Keys, revisions, history and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

#[derive(Clone, Debug)]
struct Item {
    /// As it is handed on: text in base64, or what a careless writer left.
    value: Value,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// State of the store.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Value)>,
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl State {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.put_raw(key, STANDARD.encode(value).into(), lease);
    }

    pub(super) fn put_raw(&mut self, key: &str, value: Value, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created_revision = self.items.get(key).map_or(revision, |item| item.created_revision);
        let item = Item { value, revision, created_revision, lease };
        self.history.push((revision, key.to_owned(), shown(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let event = json!({ "key": key, "revision": self.revision, "deleted": true });
        self.history.push((self.revision, key.to_owned(), event));
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    /// Returns the changes after a revision; `None` where the history does not reach back to it.
    pub(super) fn events(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.forgotten {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        Some(later.map(|(_, _, event)| event.clone()).collect())
    }

    pub(super) fn range(&self, prefix: &str, after: &str, most: usize) -> Value {
        let found: Vec<(&String, &Item)> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let items: Vec<Value> =
            found.iter().take(most).map(|(key, item)| shown(key, item)).collect();
        json!({ "items": items, "has_more": found.len() > most, "at": self.revision })
    }

    pub(super) fn lease(&mut self, ttl_ms: u64) -> u64 {
        self.last_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.last_lease, Lease { ttl, ends: Instant::now() + ttl });
        self.last_lease
    }

    pub(super) fn renew(&mut self, id: u64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = Instant::now() + lease.ttl;
        u64::try_from(lease.ttl.as_millis()).ok()
    }

    pub(super) fn end(&mut self, id: u64) {
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

    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id);
        }
    }

    /// Writes and removes keys without conditions; `None` where a lease has ended.
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

fn shown(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created_revision": item.created_revision,
        "lease": item.lease,
    })
}
