//! Collects portions for one slot and writes them by compare-and-swap.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch::{Portion, Source};
use super::record::{KeyHash, UseKey};
use super::tally::Tally;

/// Portions that may wait in one slot; a source whose portion is refused offers it again.
const WAITING_PORTIONS: usize = 4_096;

/// What a slot's owner knows of one source's batches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MarkAnswer {
    /// Number of the last batch that waits here or is kept; the next portion must follow it.
    pub waiting: u64,
    /// Number of the last batch that the platform is known to keep.
    pub kept: u64,
    /// Whether a row is new here: by hash, so that the portion was not taken, or by name, so that
    /// the next one may bring new rows too.
    pub unknown: bool,
}

/// A value as the platform gave it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// The value; empty when the platform has none.
    pub tally: Tally,
    /// Revision of the key's last change, 0 when there is no value.
    pub revision: u64,
}

/// A value to be written if the key's revision is still the expected one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotWrite {
    /// The new value.
    pub tally: Tally,
    /// Revision that the key must have, 0 for no value.
    pub expected_revision: u64,
}

/// How a write ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The value was replaced; its new revision.
    Written(u64),
    /// Somebody else wrote first; what the platform holds now.
    Conflict(Reading),
    /// The call did not leave the router, or the platform answered that it did nothing.
    NotWritten,
    /// The answer was lost, or the call failed: the value may or may not have been replaced.
    Unknown,
}

/// What a slot needs of the platform next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotStep {
    /// Read the value.
    Read,
    /// Replace the value.
    Write(SlotWrite),
}

/// Collects portions for one slot.
///
/// It is no holder of use: sources and the routers that hold their copies keep every batch until
/// the platform does. Losing it costs a repeated offer.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    base: Option<Reading>,
    last_seen: Tally,
    waiting: Vec<Portion>,
    writing: Option<(SlotWrite, usize)>,
    reading: bool,
    wanted: bool,
    written_at: Option<Duration>,
    used_at: Duration,
    fell_behind: bool,
}

impl Merge {
    /// Takes a portion and tells how far its source is contained; `None` before the value is read.
    ///
    /// A portion that does not follow the mark is not taken; the source cuts a new one to follow
    /// the answer's `waiting`.
    pub fn offer(&mut self, mut portion: Portion, now: Duration) -> Option<MarkAnswer> {
        self.wanted = true;
        self.used_at = now;
        self.base.as_ref()?;
        let source = portion.source.clone();
        let follows = portion.after == self.waiting_mark(&source);
        let room = self.waiting.len() < WAITING_PORTIONS;
        let mut unknown = false;
        if follows && room && portion.through > portion.after {
            let named = self.name_rows(&mut portion);
            unknown = !named || self.has_new_row(&portion);
            if named {
                self.waiting.push(portion);
            }
        }
        let kept = self.base.as_ref().map_or(0, |base| base.tally.mark(&source));
        Some(MarkAnswer { waiting: self.waiting_mark(&source), kept, unknown })
    }

    /// Returns what to ask of the platform, at most one thing at a time and a write at most once
    /// in `interval`.
    pub fn next_step(
        &mut self,
        interval: Duration,
        now: Duration,
        wall_ms: u64,
    ) -> Option<SlotStep> {
        if self.reading || self.writing.is_some() {
            return None;
        }
        let Some(base) = &self.base else {
            if !self.wanted {
                return None;
            }
            self.reading = true;
            return Some(SlotStep::Read);
        };
        let rested = self.written_at.is_none_or(|at| now >= at + interval);
        if self.waiting.is_empty() || !rested {
            return None;
        }
        let mut tally = base.tally.clone();
        for portion in &self.waiting {
            // Every waiting portion was checked against its mark when it was taken.
            tally.add(portion, wall_ms);
        }
        tally.forget_old(wall_ms);
        let write = SlotWrite { tally, expected_revision: base.revision };
        self.writing = Some((write.clone(), self.waiting.len()));
        self.written_at = Some(now);
        Some(SlotStep::Write(write))
    }

    /// Takes the value read; `None` when the read failed, which is tried again when it is wanted.
    pub fn read_done(&mut self, reading: Option<Reading>, wall_ms: u64) {
        self.reading = false;
        self.wanted = false;
        let Some(reading) = reading else {
            return;
        };
        self.rebase(reading, wall_ms);
    }

    /// Takes the outcome of a write.
    pub fn write_done(&mut self, outcome: WriteOutcome, wall_ms: u64) {
        let Some((write, portions)) = self.writing.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Written(revision) => {
                self.waiting.drain(..portions);
                self.last_seen = write.tally.clone();
                self.base = Some(Reading { tally: write.tally, revision });
            }
            WriteOutcome::Conflict(reading) => self.rebase(reading, wall_ms),
            WriteOutcome::NotWritten => {}
            WriteOutcome::Unknown => {
                // The write may have taken effect. Only the marks in the value can tell, so it is
                // read again before anything else is added; guessing either way would count the
                // portions twice or not at all.
                self.base = None;
                self.wanted = true;
            }
        }
    }

    /// Tells whether nothing waits and nobody offered for `idle`, so that it may be dropped.
    pub fn is_idle(&self, idle: Duration, now: Duration) -> bool {
        let busy = self.reading || self.writing.is_some() || !self.waiting.is_empty();
        !busy && now >= self.used_at + idle
    }

    /// Returns whether the platform gave a value older than one seen before, and forgets it.
    pub fn take_fell_behind(&mut self) -> bool {
        std::mem::take(&mut self.fell_behind)
    }

    /// Starts from another value: drops waiting portions that it contains or that no longer follow.
    fn rebase(&mut self, reading: Reading, wall_ms: u64) {
        self.fell_behind |= reading.tally.is_behind(&self.last_seen, wall_ms);
        self.last_seen = reading.tally.clone();
        self.base = Some(reading);
        for portion in std::mem::take(&mut self.waiting) {
            if portion.after == self.waiting_mark(&portion.source) {
                self.waiting.push(portion);
            }
        }
    }

    /// Names the rows that a portion brings by hash; returns whether each is known here.
    ///
    /// The platform's value names every row that it has, so that nothing else is kept for it.
    fn name_rows(&self, portion: &mut Portion) -> bool {
        if portion.hashed.is_empty() {
            return true;
        }
        let known = self.known_keys();
        let mut rows = Vec::new();
        for (hash, sum) in &portion.hashed {
            let Some(Some(key)) = known.get(hash) else {
                return false;
            };
            rows.push(((*key).clone(), *sum));
        }
        portion.rows.append(&mut rows);
        portion.hashed.clear();
        true
    }

    /// Tells whether the platform's value lacks a row of a portion, as at the start of a month.
    fn has_new_row(&self, portion: &Portion) -> bool {
        let kept = self.base.as_ref().map(|base| &base.tally.rows);
        portion.rows.iter().any(|(key, _)| kept.is_none_or(|rows| !rows.contains_key(key)))
    }

    /// Returns the keys of the value and of what waits; `None` for a hash that two of them share.
    fn known_keys(&self) -> BTreeMap<KeyHash, Option<&UseKey>> {
        let kept = self.base.iter().flat_map(|base| base.tally.rows.keys());
        let waiting = self.waiting.iter().flat_map(|portion| &portion.rows).map(|(key, _)| key);
        let mut known: BTreeMap<KeyHash, Option<&UseKey>> = BTreeMap::new();
        for key in kept.chain(waiting) {
            let same = known.entry(KeyHash::from(key)).or_insert(Some(key));
            if *same != Some(key) {
                *same = None;
            }
        }
        known
    }

    fn waiting_mark(&self, source: &Source) -> u64 {
        let last = self.waiting.iter().rev().find(|portion| portion.source == *source);
        let kept = || self.base.as_ref().map_or(0, |base| base.tally.mark(source));
        last.map_or_else(kept, |portion| portion.through)
    }
}
