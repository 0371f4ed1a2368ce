//! Records that the counting of use has not taken yet, each attempt once.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use teaselworks_policy::name::AttemptId;
use teaselworks_policy::usage::UsageRecord;

/// Attempts remembered, so that a second record of one is recognised: minutes at full load.
const REMEMBERED_ATTEMPTS: usize = 8_192;

/// Hash of an attempt's identity, wide enough that no attempt is taken for another one: at 9,800
/// attempts a second in the fleet, each compared with 8,192, it would happen once in 7,000 years.
type AttemptHash = u64;

/// Records that wait for the next tick.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    waiting: Vec<UsageRecord>,
    progress: BTreeMap<AttemptHash, UsageRecord>,
    known: HashSet<AttemptHash>,
    order: VecDeque<AttemptHash>,
}

impl Recorded {
    /// Takes a record; returns whether its attempt is new.
    pub(super) fn add(&mut self, record: UsageRecord) -> bool {
        let attempt = hash_of(&record.attempt);
        if !self.known.insert(attempt) {
            return false;
        }
        self.order.push_back(attempt);
        if self.order.len() > REMEMBERED_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.progress.remove(&attempt);
        self.waiting.push(record);
        true
    }

    /// Notes what an attempt in progress has used so far; nothing once it has ended.
    pub(super) fn note_progress(&mut self, record: UsageRecord) {
        let attempt = hash_of(&record.attempt);
        if !self.known.contains(&attempt) {
            self.progress.insert(attempt, record);
        }
    }

    /// Returns what attempts in progress have used since the last call.
    pub(super) fn take_progress(&mut self) -> Vec<UsageRecord> {
        std::mem::take(&mut self.progress).into_values().collect()
    }

    /// Tells whether no record waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the records that wait, and forgets them.
    pub(super) fn take(&mut self) -> Vec<UsageRecord> {
        std::mem::take(&mut self.waiting)
    }
}

fn hash_of(attempt: &AttemptId) -> AttemptHash {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}
