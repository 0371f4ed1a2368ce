//! Content of the key-value service: entries, leases and the history of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::message::{
    Bytes, Compare, DeleteRangeRequest, Event, Int, KeyValue, LeaseRequest, PutRequest,
    RangeRequest, RequestOp, TxnRequest,
};

/// Largest value.
pub(super) const LARGEST_VALUE_BYTES: usize = 1_000_000;
/// Most conditions or steps of one transaction.
pub(super) const LARGEST_TXN_STEPS: usize = 128;
/// Largest sum of the values of one transaction.
pub(super) const LARGEST_REQUEST_BYTES: usize = 3 << 19;

/// Refusal in the gateway's form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StoreError {
    /// Status code as gRPC counts them.
    pub code: u8,
    /// Text.
    pub message: &'static str,
}

const INVALID_ARGUMENT: u8 = 3;
const NOT_FOUND: u8 = 5;
const FAILED_PRECONDITION: u8 = 9;
const OUT_OF_RANGE: u8 = 11;

fn error<T>(code: u8, message: &'static str) -> Result<T, StoreError> {
    Err(StoreError { code, message })
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Content of the service; every call is one step of a linear order.
#[derive(Default)]
pub(super) struct Store {
    revision: i64,
    entries: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    granted: i64,
    /// Changes since the start, those undone by [`Store::rewind`] left out.
    history: Vec<Event>,
    /// Every change there ever was.
    log: Vec<Event>,
    rewinds: u64,
}

impl Store {
    pub fn revision(&self) -> i64 {
        self.revision
    }

    pub fn entries(&self) -> Vec<KeyValue> {
        self.entries.values().cloned().collect()
    }

    pub fn log(&self) -> &[Event] {
        &self.log
    }

    pub fn history(&self) -> &[Event] {
        &self.history
    }

    pub fn rewinds(&self) -> u64 {
        self.rewinds
    }

    pub fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Makes an answer: the header is added, and fields that hold their default are left out.
    pub(super) fn answer(&self, mut fields: Value) -> Value {
        if let Some(fields) = fields.as_object_mut() {
            fields
                .retain(|_, value| *value != json!(false) && *value != "0" && *value != json!([]));
            fields.insert("header".into(), json!({ "revision": Int(self.revision) }));
        }
        fields
    }

    /// Reads, at an older revision where the request names one.
    pub fn range(&self, request: &RangeRequest) -> Result<Value, StoreError> {
        if request.revision.0 > self.revision {
            return error(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision");
        }
        let past = (request.revision.0 > 0).then(|| self.content_at(request.revision.0));
        let entries = past.as_ref().unwrap_or(&self.entries);
        let bounds = bounds(&request.key, &request.range_end);
        let mut kvs: Vec<KeyValue> = match bounds {
            Some(bounds) => entries.range(bounds).map(|(_, entry)| entry.clone()).collect(),
            None => Vec::new(),
        };
        let count = kvs.len();
        if request.sort_order == "DESCEND" {
            kvs.reverse();
        }
        if request.limit.0 > 0 {
            kvs.truncate(usize::try_from(request.limit.0).unwrap_or(usize::MAX));
        }
        let more = kvs.len() < count;
        if request.count_only {
            kvs.clear();
        }
        if request.keys_only {
            for entry in &mut kvs {
                entry.value = Bytes::default();
            }
        }
        let count = Int(i64::try_from(count).expect("counts are small"));
        let more = more && !request.count_only;
        Ok(self.answer(json!({ "kvs": kvs, "more": more, "count": count })))
    }

    fn content_at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        let mut entries = BTreeMap::new();
        for event in &self.history {
            if event.kv.mod_revision.0 > revision {
                break;
            }
            match event.kind {
                None => entries.insert(event.kv.key.0.clone(), event.kv.clone()),
                Some(_) => entries.remove(&event.kv.key.0),
            };
        }
        entries
    }

    pub fn put(&mut self, request: PutRequest) -> Result<Value, StoreError> {
        self.check_put(&request)?;
        self.revision += 1;
        self.apply_put(request);
        Ok(self.answer(json!({})))
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), StoreError> {
        if request.key.0.is_empty() {
            return error(INVALID_ARGUMENT, "etcdserver: key is not provided");
        }
        if request.value.0.len() > LARGEST_VALUE_BYTES {
            return error(INVALID_ARGUMENT, "etcdserver: request is too large");
        }
        if request.lease.0 != 0 && !self.leases.contains_key(&request.lease.0) {
            return error(NOT_FOUND, "etcdserver: requested lease not found");
        }
        Ok(())
    }

    fn apply_put(&mut self, request: PutRequest) {
        let old = self.entries.get(&request.key.0);
        let kv = KeyValue {
            create_revision: old.map_or(Int(self.revision), |old| old.create_revision),
            mod_revision: Int(self.revision),
            version: Int(old.map_or(0, |old| old.version.0) + 1),
            key: request.key,
            value: request.value,
            lease: request.lease,
        };
        self.entries.insert(kv.key.0.clone(), kv.clone());
        self.record(Event { kind: None, kv });
    }

    fn record(&mut self, event: Event) {
        self.history.push(event.clone());
        self.log.push(event);
    }

    pub fn delete_range(&mut self, request: &DeleteRangeRequest) -> Value {
        let keys = self.keys_in(request);
        if !keys.is_empty() {
            self.revision += 1;
        }
        let deleted = self.apply_delete(keys);
        self.answer(json!({ "deleted": deleted }))
    }

    fn keys_in(&self, request: &DeleteRangeRequest) -> Vec<Vec<u8>> {
        let bounds = bounds(&request.key, &request.range_end);
        let Some(bounds) = bounds else { return Vec::new() };
        self.entries.range(bounds).map(|(key, _)| key.clone()).collect()
    }

    fn apply_delete(&mut self, keys: Vec<Vec<u8>>) -> Int {
        let deleted = Int(i64::try_from(keys.len()).expect("counts are small"));
        for key in keys {
            self.entries.remove(&key);
            let mod_revision = Int(self.revision);
            let kv = KeyValue { key: Bytes(key), mod_revision, ..KeyValue::default() };
            self.record(Event { kind: Some("DELETE"), kv });
        }
        deleted
    }

    /// Runs the steps that the conditions choose, all in one revision.
    pub fn txn(&mut self, request: TxnRequest) -> Result<Value, StoreError> {
        check_txn(&request)?;
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let steps = if succeeded { request.success } else { request.failure };
        for step in &steps {
            if let RequestOp::Put(put) = step {
                self.check_put(put)?;
            }
        }
        let before = self.revision;
        let changes = self.history.len();
        self.revision += 1;
        let mut responses = Vec::new();
        for step in steps {
            responses.push(self.run(step)?);
        }
        if self.history.len() == changes {
            self.revision = before;
        }
        Ok(self.answer(json!({ "succeeded": succeeded, "responses": responses })))
    }

    fn run(&mut self, step: RequestOp) -> Result<Value, StoreError> {
        Ok(match step {
            RequestOp::Range(range) => json!({ "response_range": self.range(&range)? }),
            RequestOp::Put(put) => {
                self.apply_put(put);
                json!({ "response_put": self.answer(json!({})) })
            }
            RequestOp::DeleteRange(delete) => {
                let keys = self.keys_in(&delete);
                let deleted = self.apply_delete(keys);
                json!({ "response_delete_range": self.answer(json!({ "deleted": deleted })) })
            }
        })
    }

    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let found = self.entries.get(&compare.key.0);
        let entry = found.unwrap_or(&absent);
        let ordering = match compare.target.as_str() {
            "" | "VERSION" => entry.version.cmp(&compare.version),
            "CREATE" => entry.create_revision.cmp(&compare.create_revision),
            "MOD" => entry.mod_revision.cmp(&compare.mod_revision),
            "LEASE" => entry.lease.cmp(&compare.lease),
            // A value condition on an absent key never holds, whatever its result.
            _ if found.is_none() => return false,
            _ => entry.value.cmp(&compare.value),
        };
        match compare.result.as_str() {
            "" | "EQUAL" => ordering.is_eq(),
            "GREATER" => ordering.is_gt(),
            "LESS" => ordering.is_lt(),
            _ => ordering.is_ne(),
        }
    }

    pub fn grant(&mut self, request: LeaseRequest) -> Result<Value, StoreError> {
        self.granted += 1;
        let id = if request.id.0 == 0 { self.granted } else { request.id.0 };
        if self.leases.contains_key(&id) {
            return error(FAILED_PRECONDITION, "etcdserver: lease already exists");
        }
        let ttl_s = u64::try_from(request.ttl_s.0).unwrap_or_default().max(1);
        let ttl = Duration::from_secs(ttl_s);
        self.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        Ok(self.lease_response(id, ttl))
    }

    fn lease_response(&self, id: i64, ttl: Duration) -> Value {
        let ttl_s = Int(i64::try_from(ttl.as_secs()).expect("leases are short"));
        self.answer(json!({ "ID": Int(id), "TTL": ttl_s }))
    }

    /// Begins a lease's time to live anew; answers without one when the lease has ended.
    pub fn keep_alive(&mut self, id: i64) -> Value {
        let Some(lease) = self.leases.get_mut(&id) else {
            return self.lease_response(id, Duration::ZERO);
        };
        lease.ends = Instant::now() + lease.ttl;
        let ttl = lease.ttl;
        self.lease_response(id, ttl)
    }

    /// Ends a lease and removes its entries.
    pub fn revoke(&mut self, id: i64) -> Result<Value, StoreError> {
        if self.leases.remove(&id).is_none() {
            return error(NOT_FOUND, "etcdserver: requested lease not found");
        }
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease.0 == id);
        let keys: Vec<Vec<u8>> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.apply_delete(keys);
        Ok(self.answer(json!({})))
    }

    /// Ends the leases whose time is over; tells whether there was one.
    pub fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            let _ = self.revoke(*id);
        }
        !ended.is_empty()
    }

    /// Goes back to the content of an older revision, as a service restored from a backup.
    pub fn rewind(&mut self, revision: i64) {
        self.entries = self.content_at(revision);
        self.history.retain(|event| event.kv.mod_revision.0 <= revision);
        self.revision = revision;
        self.rewinds += 1;
    }
}

fn check_txn(request: &TxnRequest) -> Result<(), StoreError> {
    let steps = [request.compare.len(), request.success.len(), request.failure.len()];
    if steps.iter().any(|steps| *steps > LARGEST_TXN_STEPS) {
        return error(INVALID_ARGUMENT, "etcdserver: too many operations in txn request");
    }
    for branch in [&request.success, &request.failure] {
        let mut size_bytes = 0;
        let mut keys = BTreeSet::new();
        for step in branch {
            let RequestOp::Put(put) = step else { continue };
            size_bytes += put.value.0.len();
            if !keys.insert(&put.key) {
                return error(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request");
            }
        }
        if size_bytes > LARGEST_REQUEST_BYTES {
            return error(INVALID_ARGUMENT, "etcdserver: request is too large");
        }
    }
    Ok(())
}

type Bounds = (Bound<Vec<u8>>, Bound<Vec<u8>>);

/// Returns the bounds of a range, `None` for an empty one.
fn bounds(key: &Bytes, range_end: &Bytes) -> Option<Bounds> {
    let first = Bound::Included(key.0.clone());
    let last = match range_end.0.as_slice() {
        [] => Bound::Included(key.0.clone()),
        [0] => Bound::Unbounded,
        end if end <= key.0.as_slice() => return None,
        end => Bound::Excluded(end.to_vec()),
    };
    Some((first, last))
}

/// Tells whether a key lies in a range.
pub(super) fn contains(key: &Bytes, range_end: &Bytes, candidate: &Bytes) -> bool {
    match range_end.0.as_slice() {
        [] => candidate == key,
        [0] => candidate >= key,
        _ => candidate >= key && candidate < range_end,
    }
}
