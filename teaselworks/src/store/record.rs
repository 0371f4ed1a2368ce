//! What the platform holds about the configuration, and under which keys.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use teaselworks_config::configuration::chunk::Manifest;
use teaselworks_config::configuration::history::PatchRecord;
use teaselworks_policy::name::Name;
use teaselworks_policy::store::version::Version;

/// Key of the head.
pub const HEAD_KEY: &str = "configuration/head";
/// Prefix of all patch records.
const PATCH_PREFIX: &str = "configuration/patch/";
/// Prefix of all records that tell what became of a submission.
const SUBMISSION_PREFIX: &str = "configuration/submission/";
/// Prefix of all snapshots.
const SNAPSHOT_PREFIX: &str = "configuration/snapshot/";

/// The head: the one value by which a configuration comes into force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the configuration.
    pub version: u64,
    /// Its lineage, as in [`Version`].
    pub lineage: Name,
    /// The newest whole configuration; `None`: apply all patches to the empty one.
    pub snapshot: Option<SnapshotReference>,
}

impl Head {
    /// Returns the identity of the configuration.
    pub fn version(&self) -> Version {
        Version { number: self.version, lineage: self.lineage.clone() }
    }
}

/// Where a whole configuration is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotReference {
    /// Identifier, unlike any other writer's.
    pub id: String,
    /// Lineage of the configuration.
    pub lineage: Name,
    /// Number, chunks and digest.
    pub manifest: Manifest,
}

impl SnapshotReference {
    /// Returns the identity of the configuration.
    pub fn version(&self) -> Version {
        Version { number: self.manifest.version, lineage: self.lineage.clone() }
    }
}

/// A patch record as it is kept, with its place in the lineage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredPatch {
    /// Lineage of the configuration before.
    pub parent: Name,
    /// Lineage of the configuration after.
    pub lineage: Name,
    /// The patch.
    pub record: PatchRecord,
}

/// What became of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Number under which it was accepted.
    pub version: u64,
    /// Digest of the submission.
    pub digest: String,
}

/// Returns the key of the patch that made a version; keys sort as versions do.
pub fn patch_key(version: u64) -> String {
    format!("{PATCH_PREFIX}{version:020}")
}

/// Returns the key that tells what became of a submission.
pub fn submission_key(id: &str) -> String {
    format!("{SUBMISSION_PREFIX}{id}")
}

/// Returns the key of one chunk of a snapshot.
pub fn chunk_key(id: &str, index: u32) -> String {
    format!("{SNAPSHOT_PREFIX}{id}/{index:06}")
}

/// Returns the identifier of a snapshot; those of older versions sort before it.
pub fn snapshot_id(version: u64, nonce: u64) -> String {
    format!("{version:020}-{nonce:016x}")
}

/// Returns the first and the end of the keys of all snapshots older than a version.
pub fn older_snapshots(version: u64) -> (String, String) {
    (SNAPSHOT_PREFIX.to_owned(), format!("{SNAPSHOT_PREFIX}{version:020}"))
}

/// Digests parts in a way that no other parts give the same digest; lower-case hexadecimal.
pub fn digest(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut text = String::new();
    for byte in hash.finalize() {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
