//! What of a journal is offered to one slot next.

use std::collections::BTreeMap;

use super::batch::{Charge, Portion, Source};
use super::record::{KeyHash, UseKey, UseSum};
use super::shard::Slot;

/// Rows at which a portion takes no further batch.
const PORTION_ROWS: usize = 256;

/// How far a slot contains the journal.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotMark {
    /// Number that the next portion must follow.
    pub(super) waiting: u64,
    /// Number of the last batch that the platform keeps.
    pub(super) kept: u64,
    /// Whether the slot's owner could take portions when it last answered.
    pub(super) ready: bool,
    /// Whether the slot's owner may lack rows, so that it is told names.
    pub(super) named: bool,
    /// Whether the slot's owner did not take all that it was offered last.
    pub(super) short: bool,
}

impl Default for SlotMark {
    fn default() -> Self {
        Self { waiting: 0, kept: 0, ready: true, named: true, short: false }
    }
}

/// A portion that grows by batches.
pub(super) struct Cut {
    after: u64,
    skip_through: u64,
    through: u64,
    rows: BTreeMap<UseKey, UseSum>,
    contested: Vec<Charge>,
    stopped: bool,
    named: bool,
}

impl Cut {
    pub(super) fn new(mark: &SlotMark) -> Self {
        // Where the owner's mark stands behind what the platform has kept before, only batches
        // that are not kept follow it; the owner's write fails if it read an old value.
        Self {
            after: mark.waiting,
            skip_through: mark.waiting.max(mark.kept),
            through: mark.waiting,
            rows: BTreeMap::new(),
            contested: Vec::new(),
            stopped: !mark.ready,
            named: mark.named,
        }
    }

    /// Adds a charge of a batch; batches come in order, and one is taken whole or not at all.
    pub(super) fn take(&mut self, number: u64, charge: &Charge, contested: bool) {
        if self.stopped || number <= self.skip_through {
            return;
        }
        let full = self.rows.len() + self.contested.len() >= PORTION_ROWS;
        if number > self.through && full {
            self.stopped = true;
            return;
        }
        self.through = number;
        if contested {
            self.contested.push(Charge { contested, ..charge.clone() });
            return;
        }
        *self.rows.entry(charge.key.clone()).or_default() += charge.sum;
    }

    pub(super) fn into_portion(self, source: &Source, slot: Slot) -> Portion {
        let (mut rows, mut hashed) = (Vec::new(), Vec::new());
        for (key, sum) in self.rows {
            match self.named {
                true => rows.push((key, sum)),
                false => hashed.push((KeyHash::from(&key), sum)),
            }
        }
        Portion {
            source: source.clone(),
            slot,
            after: self.after,
            through: self.through,
            rows,
            hashed,
            contested: self.contested,
        }
    }
}
