//! Batches of one source until the platform keeps them.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::batch::{AttemptKey, Batch, Charge, Portion, Source};
use super::cut::{Cut, SlotMark};
use super::merge::MarkAnswer;
use super::message::{CopyAnswer, CopyRequest};
use super::names::Dictionary;
use super::open::{BATCH_CHARGES, OpenBatch};
use super::pack::PackedBatch;
use super::period::Period;
use super::progress::Progress;
use super::shard::Slot;

/// Charges in one message to the holder of copies.
const COPY_CHARGES: usize = 256;

/// How long a batch stays after it was closed, kept or not, to recognise claims of its attempts.
pub const BATCH_RETENTION: Duration = Duration::from_secs(30);

/// Charges that closed batches may hold; beyond it charges are summed in the open batch.
///
/// At 88 bytes a charge it bounds the journal at 9 MB: 69 minutes without the platform at 24
/// requests a second.
const HELD_CHARGES: usize = 100_000;

/// How long charges are contested after another router became the holder of copies: longer than
/// the silence after which the former one decides on no claims.
const HOLDER_CHANGE: Duration = Duration::from_secs(20);

/// How long copying may fail before batches are offered uncopied.
const COPY_PATIENCE: Duration = Duration::from_secs(10);

/// Batches of one source, closed and numbered, until the platform keeps them.
#[derive(Clone, Debug)]
pub struct Journal {
    source: Source,
    open: OpenBatch,
    batches: VecDeque<Batch>,
    held_charges: usize,
    last_number: u64,
    slots: BTreeMap<Slot, SlotMark>,
    names: Dictionary,
    copied_through: u64,
    told_through: u64,
    copies_sent: u64,
    progress: Progress,
    uncopied_since: Option<Duration>,
    contested_until: Duration,
    retention: Duration,
}

impl Journal {
    /// Makes an empty journal of a source.
    ///
    /// ```
    /// use teaselworks_policy::usage::{Journal, Source};
    ///
    /// let journal = Journal::new(Source { router: "a".into(), incarnation: 1 });
    /// assert!(journal.is_empty());
    /// ```
    pub fn new(source: Source) -> Self {
        Self {
            source,
            open: OpenBatch::default(),
            batches: VecDeque::new(),
            held_charges: 0,
            last_number: 0,
            slots: BTreeMap::new(),
            names: Dictionary::default(),
            copied_through: 0,
            told_through: 0,
            copies_sent: 0,
            progress: Progress::default(),
            uncopied_since: None,
            contested_until: Duration::ZERO,
            retention: BATCH_RETENTION,
        }
    }

    /// Makes a journal for batches that another router left; they are dropped as soon as kept.
    pub fn adopted(source: Source) -> Self {
        Self { retention: Duration::ZERO, ..Self::new(source) }
    }

    /// Tells whether another router left these batches.
    ///
    /// The holder of copies hears of an own journal even while it is empty: only who knows the
    /// source can decide on claims of its attempts.
    pub fn is_adopted(&self) -> bool {
        self.retention.is_zero()
    }

    /// Returns whose batches these are.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.batches.is_empty()
    }

    /// Returns the number of charges held.
    pub fn held_charges(&self) -> usize {
        self.held_charges + self.open.len()
    }

    /// Tells whether so much is held that charges are summed uncopied in the open batch.
    pub fn is_full(&self) -> bool {
        self.held_charges >= HELD_CHARGES
    }

    /// Notes what an attempt in progress has used so far, for the holder of copies.
    pub fn progress(&mut self, period: Period, charge: Charge) {
        self.progress.note(period, charge);
    }

    /// Adds a charge of a month to the open batch.
    pub fn add(&mut self, period: Period, charge: Charge, now: Duration) {
        self.progress.forget(charge.attempt);
        if !self.open.is_of(period) {
            self.close(now);
        }
        self.open.add(period, charge, self.is_full(), now);
    }

    /// Lets the open batch be closed sooner, because no other router saw one of its attempts.
    pub fn hasten(&mut self) {
        self.open.hasten();
    }

    /// Closes the open batch when it is old or large enough.
    pub fn close_due(&mut self, now: Duration) {
        if self.open.is_due(now) && !self.is_full() {
            self.close(now);
        }
    }

    /// Closes the open batch.
    pub fn close(&mut self, now: Duration) {
        let (period, open) = self.open.take();
        let mut open = open.into_iter().peekable();
        while open.peek().is_some() {
            let mut charges: Vec<Charge> = open.by_ref().take(BATCH_CHARGES).collect();
            if now < self.contested_until {
                charges.iter_mut().for_each(|charge| charge.contested = true);
            }
            let number = self.last_number + 1;
            self.hold(Batch { number, period, charges, since: now });
        }
    }

    /// Holds a closed batch, of this source or adopted; one that is held already changes nothing.
    pub fn hold(&mut self, batch: Batch) {
        if batch.number <= self.last_number {
            return;
        }
        self.last_number = batch.number;
        self.held_charges += batch.charges.len();
        self.batches.push_back(batch);
    }

    /// Returns the next message to the holder of copies.
    ///
    /// An empty one tells the holder that the source is still there, and what may be dropped.
    pub fn next_copy(&mut self, closing: bool) -> CopyRequest {
        self.copies_sent += 1;
        self.names.make_room();
        if self.is_adopted() {
            // Several routers may have taken one source's batches over; each message of theirs
            // brings all its names.
            self.names.restart();
        }
        let mut batches = Vec::new();
        let mut charges = 0;
        for batch in &self.batches {
            if batch.number <= self.copied_through {
                continue;
            }
            if charges > 0 && charges + batch.charges.len() > COPY_CHARGES {
                break;
            }
            charges += batch.charges.len();
            let Batch { number, period, charges, .. } = batch;
            batches.push(PackedBatch::pack(*number, *period, charges, &mut self.names));
        }
        let progress = self.progress.take(&mut self.names);
        CopyRequest {
            source: self.source.clone(),
            after: self.copied_through,
            dropped_through: self.dropped_through(),
            adopted: self.is_adopted(),
            closing,
            sequence: self.copies_sent,
            names: self.names.news(),
            batches,
            progress,
        }
    }

    /// Tells whether it is to be told what attempts in progress have used.
    pub fn has_progress(&self) -> bool {
        !self.progress.is_empty()
    }

    /// Tells whether a closed batch has no copy yet.
    pub fn has_uncopied(&self) -> bool {
        self.batches.back().is_some_and(|batch| batch.number > self.copied_through)
    }

    /// Tells whether every charge has a copy.
    pub fn is_copied(&self) -> bool {
        self.open.is_empty() && !self.has_uncopied()
    }

    /// Tells whether an attempt's charge is held.
    pub fn holds(&self, attempt: AttemptKey) -> bool {
        let closed = self.batches.iter().flat_map(|batch| &batch.charges);
        self.open.charges().chain(closed).any(|charge| charge.attempt == attempt)
    }

    /// Takes the holder's answer to a request.
    pub fn copied(&mut self, request: &CopyRequest, answer: &CopyAnswer) {
        self.uncopied_since = None;
        let before = self.copied_through;
        // Claims were told for the batches of this request only, so no later one counts.
        let sent = request.batches.last().map_or(request.after, PackedBatch::number);
        self.copied_through = answer.held_through.min(sent);
        self.told_through = request.dropped_through;
        self.names.answered(&request.names, answer.unread);
        let contested: HashSet<&AttemptKey> = answer.contested.iter().collect();
        for batch in self.batches.iter_mut().filter(|batch| batch.number > before) {
            for charge in &mut batch.charges {
                charge.contested |= contested.contains(&charge.attempt);
            }
        }
    }

    /// Notes that the holder of copies did not answer.
    pub fn copy_failed(&mut self, now: Duration) {
        self.uncopied_since.get_or_insert(now);
    }

    /// Starts copying anew, because another router holds the copies from now on.
    ///
    /// The former holder may have accepted claims of what it has no copy of, and will for as long
    /// as other routers take it for the holder: until then every charge is contested.
    pub fn forget_copies(&mut self, now: Duration) {
        self.contested_until = now + HOLDER_CHANGE;
        for batch in &mut self.batches {
            let uncopied = batch.number > self.copied_through;
            batch.charges.iter_mut().for_each(|charge| charge.contested |= uncopied);
        }
        self.names.restart();
        self.copied_through = self.dropped_through();
        self.told_through = self.copied_through;
        self.uncopied_since = None;
    }

    /// Tells whether the holder of copies still has to be told that nothing is to be held.
    ///
    /// Untold, it would take the silence for a loss and bring the same batches to the platform
    /// again; the marks refuse them, but each time another router would copy them first.
    pub fn owes_word(&self) -> bool {
        self.batches.is_empty() && self.told_through < self.last_number && !self.is_unheard()
    }

    fn is_unheard(&self) -> bool {
        self.uncopied_since.is_some()
    }

    /// Returns a portion for each slot that does not keep all of the journal yet; with `short` only
    /// for those whose owners did not take all that they were offered last.
    ///
    /// Batches without a copy wait: until the copy is held, a claim of one of their attempts may
    /// still be accepted in its stead. `alone` says that no router can hold copies.
    pub fn portions(&self, alone: bool, short: bool, now: Duration) -> Vec<Portion> {
        let impatient = self.uncopied_since.is_some_and(|at| now >= at + COPY_PATIENCE);
        let waits = !(alone || impatient || self.is_adopted());
        let limit = if !waits { self.last_number } else { self.copied_through };
        let mut cuts: BTreeMap<Slot, Cut> = BTreeMap::new();
        for batch in &self.batches {
            if batch.number > limit {
                break;
            }
            for charge in &batch.charges {
                let slot = Slot::of(batch.period, &charge.key.workspace);
                let mark = self.slots.get(&slot).copied().unwrap_or_default();
                if batch.number <= mark.kept || (short && !mark.short) {
                    continue;
                }
                let uncopied = batch.number > self.copied_through && !self.is_adopted();
                let cut = cuts.entry(slot).or_insert_with(|| Cut::new(&mark));
                cut.take(batch.number, charge, charge.contested || uncopied);
            }
        }
        cuts.into_iter().map(|(slot, cut)| cut.into_portion(&self.source, slot)).collect()
    }

    /// Takes the answer of a slot's owner, which was offered batches `through` a number.
    pub fn offered(&mut self, slot: Slot, through: u64, answer: Option<MarkAnswer>) {
        let mark = self.slots.entry(slot).or_default();
        mark.ready = answer.is_some();
        mark.short = answer.is_none_or(|answer| answer.waiting < through);
        mark.named = answer.map_or(mark.named, |answer| answer.unknown);
        if let Some(answer) = answer {
            mark.waiting = answer.waiting;
            mark.kept = mark.kept.max(answer.kept);
        }
    }

    /// Drops batches that the platform keeps and that are old enough.
    pub fn drop_kept(&mut self, now: Duration) {
        while let Some(batch) = self.batches.front() {
            let is_kept =
                |slot: &Slot| self.slots.get(slot).is_some_and(|mark| mark.kept >= batch.number);
            let is_old = now >= batch.since + self.retention;
            if !is_old || !batch.slots().iter().all(is_kept) {
                break;
            }
            self.held_charges -= batch.charges.len();
            self.batches.pop_front();
        }
    }

    /// Drops batches up to a number, because their source says that they are kept.
    pub fn drop_through(&mut self, number: u64) {
        while self.batches.front().is_some_and(|batch| batch.number <= number) {
            if let Some(batch) = self.batches.pop_front() {
                self.held_charges -= batch.charges.len();
            }
        }
    }

    fn dropped_through(&self) -> u64 {
        self.batches.front().map_or(self.last_number, |batch| batch.number - 1)
    }
}
