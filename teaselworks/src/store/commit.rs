//! The one transaction that commits a patch: a compare-and-swap on the head.

use bytes::Bytes;
use serde::Serialize;
use teaselworks_config::configuration::history::PatchRecord;
use teaselworks_policy::name::Name;
use teaselworks_policy::store::version::Version;

use super::Store;
use super::load::SeenHead;
use super::record::{
    HEAD_KEY, Head, StoredPatch, SubmissionRecord, digest, patch_key, submission_key,
};
use super::request::PatchRequest;
use crate::platform::{Compare, Operation, Transaction};

/// Transaction that commits a patch, and what it puts in force.
pub(super) struct Commit {
    pub transaction: Transaction,
    /// Record of the patch.
    pub stored: StoredPatch,
    /// The same, encoded.
    pub raw_patch: Bytes,
}

impl Store {
    /// Prepares the transaction that puts a patch on top of what is held and seen.
    pub(super) fn commit(&self, request: &PatchRequest, held: &Version, seen: &SeenHead) -> Commit {
        let number = held.number + 1;
        let at = self.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let record = PatchRecord {
            version: number,
            id: request.id.clone(),
            author: request.author.clone(),
            reason: request.reason.clone(),
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            patch: request.patch.clone(),
        };
        let submission = SubmissionRecord { version: number, digest: request.digest() };
        let lineage: Name = digest(&[held.lineage.as_bytes(), submission.digest.as_bytes()]).into();
        let stored = StoredPatch { parent: held.lineage.clone(), lineage: lineage.clone(), record };
        let head = Head { version: number, lineage, snapshot: seen.head.snapshot.clone() };
        let raw_patch = Bytes::from(encode(&stored));
        let submission_key = submission_key(&request.id);
        let transaction = Transaction {
            compare: vec![
                Compare::ModRevision { key: HEAD_KEY.into(), revision: seen.revision },
                Compare::Absent { key: submission_key.clone() },
            ],
            success: vec![
                put(HEAD_KEY.into(), encode(&head)),
                put(patch_key(number), raw_patch.to_vec()),
                put(submission_key, encode(&submission)),
            ],
            failure: Vec::new(),
        };
        Commit { transaction, stored, raw_patch }
    }
}

/// Returns the operation that writes a value for good.
pub(super) fn put(key: String, value: Vec<u8>) -> Operation {
    Operation::Put { key, value, lease: 0 }
}

/// Encodes a record of the platform.
pub(super) fn encode(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("records of plain fields encode")
}
