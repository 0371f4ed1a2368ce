//! Conditions and steps of a transaction, with keys as text without the fleet's prefix.

use super::message::{
    Base64, CompareMessage, DeleteMessage, Int, KeyValueMessage, OperationAnswer, OperationMessage,
    PutMessage, RangeMessage, TransactionAnswer, TransactionMessage,
};

/// Condition on one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key is absent.
    Absent {
        /// Key.
        key: String,
    },
    /// The key was last written at this revision; 0: it is absent.
    ModRevision {
        /// Key.
        key: String,
        /// Revision of its last write.
        revision: i64,
    },
}

/// One step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Reads one key.
    Get {
        /// Key.
        key: String,
    },
    /// Reads the keys from `start` on and before `end`, lowest first.
    Range {
        /// First key.
        start: String,
        /// First key that is not read.
        end: String,
        /// Most entries; 0: all.
        limit: u32,
    },
    /// Writes one key.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
        /// Lease with which the entry ends; 0: none.
        lease: i64,
    },
    /// Removes one key.
    Delete {
        /// Key.
        key: String,
    },
    /// Removes the keys from `start` on and before `end`.
    DeleteRange {
        /// First key.
        start: String,
        /// First key that is not removed.
        end: String,
    },
}

/// Steps that run at once or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Steps when all conditions hold.
    pub success: Vec<Operation>,
    /// Steps when one does not.
    pub failure: Vec<Operation>,
}

/// One entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// Key without the fleet's prefix.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last write.
    pub mod_revision: i64,
    /// Revision that created it.
    pub create_revision: i64,
}

/// What one step found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OperationResult {
    /// Entries read; empty for a write.
    pub entries: Vec<Entry>,
    /// Whether the limit left entries out.
    pub more: bool,
}

/// What a transaction did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TransactionOutcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the service after it.
    pub revision: i64,
    /// Results of the steps that ran, in their order.
    pub results: Vec<OperationResult>,
}

impl TransactionOutcome {
    /// Returns the first entry that the step at `index` read.
    pub fn entry(&self, index: usize) -> Option<&Entry> {
        self.results.get(index)?.entries.first()
    }
}

impl Compare {
    fn encode(&self, prefix: &str) -> CompareMessage {
        let (target, key, mod_revision, create_revision) = match self {
            Compare::Absent { key } => ("CREATE", key, None, Some(Int(0))),
            Compare::ModRevision { key, revision } => ("MOD", key, Some(Int(*revision)), None),
        };
        let key = full_key(prefix, key);
        CompareMessage { result: "EQUAL", target, key, mod_revision, create_revision }
    }
}

impl Operation {
    pub(super) fn range(&self, prefix: &str) -> Option<RangeMessage> {
        match self {
            Operation::Get { key } => {
                Some(RangeMessage { key: full_key(prefix, key), range_end: None, limit: Int(1) })
            }
            Operation::Range { start, end, limit } => Some(RangeMessage {
                key: full_key(prefix, start),
                range_end: Some(full_key(prefix, end)),
                limit: Int(i64::from(*limit)),
            }),
            _ => None,
        }
    }

    fn encode(&self, prefix: &str) -> OperationMessage {
        match self {
            Operation::Put { key, value, lease } => OperationMessage::Put(PutMessage {
                key: full_key(prefix, key),
                value: Base64(value.clone()),
                lease: Int(*lease),
            }),
            Operation::Delete { key } => OperationMessage::Delete(DeleteMessage {
                key: full_key(prefix, key),
                range_end: None,
            }),
            Operation::DeleteRange { start, end } => OperationMessage::Delete(DeleteMessage {
                key: full_key(prefix, start),
                range_end: Some(full_key(prefix, end)),
            }),
            read => OperationMessage::Range(read.range(prefix).expect("only reads are left")),
        }
    }
}

impl Transaction {
    pub(super) fn encode(&self, prefix: &str) -> TransactionMessage {
        let steps = |steps: &[Operation]| steps.iter().map(|step| step.encode(prefix)).collect();
        TransactionMessage {
            compare: self.compare.iter().map(|compare| compare.encode(prefix)).collect(),
            success: steps(&self.success),
            failure: steps(&self.failure),
        }
    }
}

pub(super) fn decode_outcome(answer: TransactionAnswer, prefix: &str) -> TransactionOutcome {
    let results = answer.responses.into_iter();
    TransactionOutcome {
        succeeded: answer.succeeded,
        revision: answer.header.unwrap_or_default().revision.0,
        results: results.map(|result| decode_result(result, prefix)).collect(),
    }
}

fn decode_result(answer: OperationAnswer, prefix: &str) -> OperationResult {
    let range = answer.response_range.unwrap_or_default();
    let entries = range.kvs.into_iter().map(|entry| decode_entry(entry, prefix)).collect();
    OperationResult { entries, more: range.more }
}

pub(super) fn decode_entry(entry: KeyValueMessage, prefix: &str) -> Entry {
    let key = String::from_utf8_lossy(&entry.key.0).into_owned();
    Entry {
        key: key.strip_prefix(prefix).unwrap_or(&key).to_owned(),
        value: entry.value.0,
        mod_revision: entry.mod_revision.0,
        create_revision: entry.create_revision.0,
    }
}

pub(super) fn full_key(prefix: &str, key: &str) -> Base64 {
    Base64(format!("{prefix}{key}").into_bytes())
}
