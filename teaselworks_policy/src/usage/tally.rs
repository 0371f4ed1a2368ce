//! The value that the platform holds for one slot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::batch::{AttemptKey, Portion, Source};
use super::pack::{Names, PackedKey, PackedSum};
use super::record::{UseKey, UseSum};
use crate::name::Name;

/// How long a mark is kept after it last moved, in milliseconds.
///
/// A router that was paused for longer, while it held another router's batches, would add them a
/// second time when it woke.
const MARK_RETENTION_MS: u64 = 3 * 86_400_000;

/// How long a contested attempt is remembered, in milliseconds.
const CONTESTED_RETENTION_MS: u64 = 3_600_000;

/// How far a source's batches are contained in a tally.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mark {
    /// Number of the last batch contained.
    pub through: u64,
    /// Wall clock of the writer when the mark moved, in milliseconds.
    pub at_ms: u64,
}

/// Sums of one slot, and how far each source is contained in them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedTally", from = "PackedTally")]
pub struct Tally {
    /// Sums by workspace, model and adapter.
    pub rows: BTreeMap<UseKey, UseSum>,
    /// Marks of the sources that added lately.
    pub marks: BTreeMap<Source, Mark>,
    /// Contested attempts that are contained, with the writer's wall clock in milliseconds.
    pub contested: BTreeMap<AttemptKey, u64>,
}

impl Tally {
    /// Returns the number of the last batch of a source that is contained, 0 for none.
    pub fn mark(&self, source: &Source) -> u64 {
        self.marks.get(source).map_or(0, |mark| mark.through)
    }

    /// Adds a portion if it continues where the source's mark stands; returns whether it did.
    ///
    /// What goes wrong without the marks: an answer is lost, the portion is sent again or sent by
    /// the router that holds the copy, and the workspace pays twice. The mark is written together
    /// with the sums, so both are in force or neither is.
    ///
    /// ```
    /// use teaselworks_policy::usage::{Period, Portion, Slot, Source, Tally, UseKey, UseSum};
    ///
    /// let key = UseKey { workspace: "choir".into(), model: "m".into(), adapter: None };
    /// let sum = UseSum { attempts: 1, output_tokens: 5, ..UseSum::default() };
    /// let source = Source { router: "a".into(), incarnation: 1 };
    /// let slot = Slot::of(Period::at(0), "choir");
    /// let rows = vec![(key, sum)];
    /// let (hashed, contested) = (Vec::new(), Vec::new());
    /// let portion = Portion { source, slot, after: 0, through: 3, rows, hashed, contested };
    /// let mut tally = Tally::default();
    /// assert!(tally.add(&portion, 0));
    /// assert!(!tally.add(&portion, 0));
    /// ```
    pub fn add(&mut self, portion: &Portion, at_ms: u64) -> bool {
        if self.mark(&portion.source) != portion.after {
            return false;
        }
        for (key, sum) in &portion.rows {
            *self.rows.entry(key.clone()).or_default() += *sum;
        }
        for charge in &portion.contested {
            if self.contested.insert(charge.attempt, at_ms).is_none() {
                *self.rows.entry(charge.key.clone()).or_default() += charge.sum;
            }
        }
        let mark = Mark { through: portion.through, at_ms };
        self.marks.insert(portion.source.clone(), mark);
        true
    }

    /// Forgets marks that have not moved for days, and contested attempts after an hour.
    pub fn forget_old(&mut self, at_ms: u64) {
        self.contested.retain(|_, since_ms| *since_ms + CONTESTED_RETENTION_MS > at_ms);
        self.marks.retain(|_, mark| mark.at_ms + MARK_RETENTION_MS > at_ms);
    }

    /// Tells whether a lately moved mark stands lower here than in an `earlier` reading.
    pub fn is_behind(&self, earlier: &Tally, at_ms: u64) -> bool {
        let is_recent = |mark: &Mark| mark.at_ms + MARK_RETENTION_MS / 2 > at_ms;
        let is_lower = |source: &Source, mark: &Mark| self.mark(source) < mark.through;
        earlier.marks.iter().any(|(source, mark)| is_recent(mark) && is_lower(source, mark))
    }
}

/// Router, incarnation, number of the last batch contained, time.
#[derive(Clone, Serialize, Deserialize)]
struct PackedMark(u32, u64, u64, u64);

#[derive(Clone, Serialize, Deserialize)]
struct PackedTally(Vec<Name>, Vec<PackedMark>, Vec<(PackedKey, PackedSum)>, Vec<(AttemptKey, u64)>);

impl From<Tally> for PackedTally {
    fn from(tally: Tally) -> Self {
        let mut names = Names::default();
        let mut marks = Vec::new();
        for (source, mark) in tally.marks {
            let router = names.number(&source.router);
            marks.push(PackedMark(router, source.incarnation, mark.through, mark.at_ms));
        }
        let mut rows = Vec::new();
        for (key, sum) in tally.rows {
            rows.push((names.pack(&key), sum.into()));
        }
        Self(names.list, marks, rows, Vec::from_iter(tally.contested))
    }
}

impl From<PackedTally> for Tally {
    fn from(PackedTally(names, packed_marks, packed_rows, contested): PackedTally) -> Self {
        let mut marks = BTreeMap::new();
        for PackedMark(router, incarnation, through, at_ms) in packed_marks {
            let router = names.get(router as usize).cloned().unwrap_or_default();
            marks.insert(Source { router, incarnation }, Mark { through, at_ms });
        }
        let unpack = |(key, sum): (PackedKey, PackedSum)| (key.unpack(&names), sum.into());
        let rows = packed_rows.into_iter().map(unpack).collect();
        Self { rows, marks, contested: BTreeMap::from_iter(contested) }
    }
}
