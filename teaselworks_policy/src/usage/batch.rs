//! Numbered batches of what one router charged.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::period::Period;
use super::record::{KeyHash, UsageRecord, UseKey, UseSum};
use super::shard::Slot;
use crate::name::{AttemptId, Name};

/// One run of a router's process, which numbers its batches from 1.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Source {
    /// Router.
    pub router: Name,
    /// Wall clock at the process's start in milliseconds.
    pub incarnation: u64,
}

/// Least difference between the incarnations of two processes of one router.
///
/// Membership's incarnation begins as the wall clock in milliseconds too, and is raised by one each
/// time that the router denies its loss.
const RESTART_DIFFERENCE: u64 = 1_000;

impl Source {
    /// Tells whether a router that membership shows at `incarnation` is a later process.
    ///
    /// ```
    /// use teaselworks_policy::usage::Source;
    ///
    /// let source = Source { router: "a".into(), incarnation: 50_000 };
    /// assert!(!source.is_before(50_001));
    /// assert!(source.is_before(90_000));
    /// ```
    pub fn is_before(&self, incarnation: u64) -> bool {
        incarnation >= self.incarnation.saturating_add(RESTART_DIFFERENCE)
    }

    /// Tells whether this is the process that membership shows as `other`.
    pub fn is_process(&self, other: &Source) -> bool {
        let later = other.incarnation < self.incarnation;
        self.router == other.router && !later && !self.is_before(other.incarnation)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.router, self.incarnation)
    }
}

/// Bits of an [`AttemptKey`], as many as copies of batches carry.
const ATTEMPT_KEY_BITS: u32 = 40;

/// Hash of an attempt's identity, by which two reports of it are told to be the same.
///
/// Reports are compared only where an owner is lost or its holder of copies changes: thousands of
/// attempts with hundreds of claims, so that two of 40 bits are the same once in a million times,
/// and then one attempt is charged to nobody.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AttemptKey(pub u64);

impl From<&AttemptId> for AttemptKey {
    fn from(attempt: &AttemptId) -> Self {
        Self(xxh3_64(attempt.to_string().as_bytes()) >> (u64::BITS - ATTEMPT_KEY_BITS))
    }
}

/// What one attempt is charged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Workspace, model and adapter.
    pub key: UseKey,
    /// Tokens of the one attempt.
    pub sum: UseSum,
    /// Whether another router may charge the attempt too, so that the platform's value has to
    /// remember it by name.
    pub contested: bool,
}

impl From<&UsageRecord> for Charge {
    fn from(record: &UsageRecord) -> Self {
        Self {
            attempt: (&record.attempt).into(),
            key: record.key(),
            sum: record.sum(),
            contested: false,
        }
    }
}

/// Charges of one month that a source closed together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number, from 1 without gaps.
    pub number: u64,
    /// Month of every charge.
    pub period: Period,
    /// The charges.
    pub charges: Vec<Charge>,
    /// Monotonic clock of this router when the batch was closed or arrived.
    pub since: Duration,
}

impl Batch {
    /// Returns the slots that the batch adds to.
    pub fn slots(&self) -> BTreeSet<Slot> {
        let slot = |charge: &Charge| Slot::of(self.period, &charge.key.workspace);
        self.charges.iter().map(slot).collect()
    }
}

/// Sums of a source's charges to one slot, over a range of its batches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Portion {
    /// Whose batches they are.
    pub source: Source,
    /// Where they are added.
    pub slot: Slot,
    /// Number of the last batch that the slot must hold already.
    pub after: u64,
    /// Number of the last batch in the portion.
    pub through: u64,
    /// Sums by workspace, model and adapter.
    pub rows: Vec<(UseKey, UseSum)>,
    /// Sums under keys that the slot is expected to have rows of already.
    pub hashed: Vec<(KeyHash, UseSum)>,
    /// Contested charges, each added only if its attempt is not there already.
    pub contested: Vec<Charge>,
}
