//! Writes whole configurations beside the patches, and removes what is no longer needed.

use std::time::Duration;

use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_config::configuration::chunk::CHUNK_SIZE_BYTES;
use teaselworks_policy::platform::backoff::Backoff;
use teaselworks_policy::store::version::Version;

use super::Store;
use super::commit::encode;
use super::load::LoadError;
use super::record::{
    HEAD_KEY, SnapshotReference, StoredPatch, chunk_key, older_snapshots, patch_key, snapshot_id,
    submission_key,
};
use crate::event;
use crate::platform::{CallPurpose, Compare, Operation, Transaction};

/// Patches after which a new snapshot is written.
const SNAPSHOT_PATCHES: u64 = 64;
/// Newest patches kept as history.
const HISTORY_PATCHES: u64 = 10_000;
/// Old patches removed by one call.
const PRUNE_PAGE: u32 = 32;
const TRIES: u32 = 5;
const BACKOFF: Backoff =
    Backoff { first: Duration::from_secs(1), longest: Duration::from_secs(30) };

impl Store {
    /// Writes a snapshot each time that one is due, until the router stops.
    pub(super) async fn write_snapshots(&self) {
        loop {
            self.snapshot_due.notified().await;
            for failures in 1..=TRIES {
                match self.write_snapshot().await {
                    Ok(()) => break,
                    Err(error) => event::SNAPSHOT_FAILED.log(format_args!("{error}")),
                }
                let wait = self.with_random(|random| BACKOFF.wait(failures, random));
                tokio::time::sleep(wait).await;
            }
        }
    }

    /// Asks for a snapshot when the newest one is many patches old.
    pub(super) fn consider_snapshot(&self, snapshot: Option<&SnapshotReference>, number: u64) {
        let newest = snapshot.map_or(0, |snapshot| snapshot.manifest.version);
        if number.saturating_sub(newest) >= SNAPSHOT_PATCHES {
            self.snapshot_due.notify_one();
        }
    }

    /// Writes the configuration in force as chunks under new keys, then names them in the head.
    ///
    /// The chunks are found only through the head, so a writer that stops between two of them
    /// leaves keys that nobody reads; the next snapshot removes them.
    async fn write_snapshot(&self) -> Result<(), LoadError> {
        let seen = self.load().await?;
        let (version, numbered) = self.held.both();
        let newest = seen.head.snapshot.as_ref().map_or(0, |snapshot| snapshot.manifest.version);
        if version != seen.head.version() || newest + SNAPSHOT_PATCHES > version.number {
            return Ok(());
        }
        let snapshot = self.write_chunks(&version, &numbered).await?;
        if self.name_snapshot(&snapshot).await? {
            self.prune(version.number).await?;
        }
        Ok(())
    }

    pub(super) async fn write_chunks(
        &self,
        version: &Version,
        numbered: &NumberedConfiguration,
    ) -> Result<SnapshotReference, LoadError> {
        let nonce = self.with_random(rand::Rng::next_u64);
        let id = snapshot_id(version.number, nonce);
        let configuration = &numbered.configuration;
        let manifest = configuration.manifest(version.number, CHUNK_SIZE_BYTES);
        for index in 0..manifest.chunks {
            let chunk = configuration.chunk(&manifest, index, CHUNK_SIZE_BYTES);
            let key = chunk_key(&id, index);
            self.platform.put(CallPurpose::Configuration, &key, chunk, 0).await?;
        }
        Ok(SnapshotReference { id, lineage: version.lineage.clone(), manifest })
    }

    /// Names a snapshot in the head; returns false when the head names a newer one.
    async fn name_snapshot(&self, snapshot: &SnapshotReference) -> Result<bool, LoadError> {
        loop {
            let mut seen = self.read_head().await?;
            if seen.head.snapshot.as_ref() == Some(snapshot) {
                return Ok(true);
            }
            let named = seen.head.snapshot.as_ref();
            if named.is_some_and(|named| named.manifest.version >= snapshot.manifest.version) {
                return Ok(false);
            }
            seen.head.snapshot = Some(snapshot.clone());
            let put = Operation::Put { key: HEAD_KEY.into(), value: encode(&seen.head), lease: 0 };
            let transaction = Transaction {
                compare: vec![Compare::ModRevision {
                    key: HEAD_KEY.into(),
                    revision: seen.revision,
                }],
                success: vec![put],
                failure: Vec::new(),
            };
            match self.platform.transact(CallPurpose::Configuration, &transaction).await {
                Ok(outcome) if outcome.succeeded => return Ok(true),
                // Another patch was accepted meanwhile, or the answer was lost: look again.
                Ok(_) => {}
                Err(error) if error.may_have_taken_effect() => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Removes snapshots older than `number`, and patches too old for the history.
    async fn prune(&self, number: u64) -> Result<(), LoadError> {
        let (start, end) = older_snapshots(number);
        self.delete(vec![Operation::DeleteRange { start, end }]).await?;
        let Some(oldest) = number.checked_sub(HISTORY_PATCHES) else { return Ok(()) };
        loop {
            let (start, end) = (patch_key(0), patch_key(oldest));
            let purpose = CallPurpose::Configuration;
            let page = self.platform.range(purpose, &start, &end, PRUNE_PAGE).await?;
            let mut deletes = Vec::new();
            for entry in page.entries {
                if let Ok(stored) = serde_json::from_slice::<StoredPatch>(&entry.value) {
                    let key = submission_key(&stored.record.id);
                    deletes.push(Operation::Delete { key });
                }
                deletes.push(Operation::Delete { key: entry.key });
            }
            if deletes.is_empty() {
                return Ok(());
            }
            self.delete(deletes).await?;
        }
    }

    async fn delete(&self, success: Vec<Operation>) -> Result<(), LoadError> {
        let transaction = Transaction { success, ..Transaction::default() };
        self.platform.transact(CallPurpose::Configuration, &transaction).await?;
        Ok(())
    }
}
