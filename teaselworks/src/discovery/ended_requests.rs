//! Task that writes to the store under which requests replicas ended, so that a router that starts
//! has that record although all others were killed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::crash::REQUEST_MEMORY;

use crate::metrics::{Metrics, StoreOutcome};
use crate::platform::{ListedEnds, Store, StoreError, ended_request_key};
use crate::relay::Shared;

/// Pause in which further changes are collected for the same call.
const COLLECTING_TIME: Duration = Duration::from_millis(20);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of keys in one call.
const MAX_KEYS: usize = 32;
/// Maximum number of changes that wait for a store which does not answer.
const MAX_WAITING: usize = 1_024;

/// Task that writes the ends of replicas under requests to the store.
pub struct EndedRequestWriter {
    store: Store,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    waiting: HashSet<u64>,
}

impl EndedRequestWriter {
    /// Creates the task.
    pub fn new(store: Store, shared: Arc<Shared>, metrics: Arc<Metrics>) -> Self {
        Self { store, shared, metrics, waiting: HashSet::new() }
    }

    /// Writes changes until the process ends.
    pub async fn run(mut self) {
        let Some(mut changes) = self.shared.take_request_changes() else { return };
        loop {
            if self.waiting.is_empty() {
                let Some(fingerprint) = changes.recv().await else { return };
                self.waiting.insert(fingerprint);
                tokio::time::sleep(COLLECTING_TIME).await;
            }
            while let Ok(fingerprint) = changes.try_recv() {
                if self.waiting.len() < MAX_WAITING {
                    self.waiting.insert(fingerprint);
                }
            }
            let batch: Vec<u64> = self.waiting.iter().copied().take(MAX_KEYS).collect();
            let outcome = self.write(&batch).await;
            let is_written = outcome.is_ok();
            let outcome = if is_written { StoreOutcome::Answered } else { StoreOutcome::Failed };
            self.metrics.add_store_call(outcome);
            if is_written {
                batch.iter().for_each(|fingerprint| {
                    self.waiting.remove(fingerprint);
                });
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Writes the current records of the requests; removes keys without a record.
    async fn write(&mut self, batch: &[u64]) -> Result<(), StoreError> {
        let (mut puts, mut removed) = (Vec::new(), Vec::new());
        for fingerprint in batch {
            let fleet = self.shared.fleet();
            let requests = &fleet.crashes.requests;
            let ends = requests.ends(*fingerprint).iter().map(|end| end.incarnation).collect();
            let listed = ListedEnds { ends, was_answered: requests.was_answered(*fingerprint) };
            let key = ended_request_key(*fingerprint);
            if listed.ends.is_empty() {
                removed.push(key);
            } else {
                puts.push((key, listed.encode()));
            }
        }
        if !removed.is_empty() {
            self.store.remove_all(&removed).await?;
        }
        if puts.is_empty() {
            return Ok(());
        }
        let lease = self.store.grant_lease(REQUEST_MEMORY).await?;
        self.store.put_all(&puts, lease).await.map(|_| ())
    }
}
