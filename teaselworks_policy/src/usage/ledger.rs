//! One router's whole part in the counting of use, as a state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch::{AttemptKey, Batch, Charge, Source};
use super::copies::Copies;
use super::course::Course;
use super::fleet::Fleet;
use super::journal::Journal;
use super::merge::{Merge, Reading, SlotStep, WriteOutcome};
use super::message::{
    Answer, Call, ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, OfferAnswer, OfferRequest,
    Request,
};
use super::pace::write_interval;
use super::pack::PackedBatch;
use super::record::UsageRecord;
use super::shard::{SHARDS, Slot};
use super::witness::{Sighting, Witness};

/// How long a slot's value is kept in memory after its last use.
const SLOT_IDLE: Duration = Duration::from_secs(600);

/// One router's whole part in the counting of use.
///
/// As source it numbers its own charges and brings them to the owners of slots; as holder of
/// copies it does the same for routers that were lost; as owner it writes slots to the platform.
#[derive(Clone, Debug)]
pub struct Ledger {
    own: Course,
    adopted: BTreeMap<Source, Course>,
    copies: Copies,
    merges: BTreeMap<Slot, Merge>,
    newly_adopted: Vec<(Source, usize)>,
    witness: Witness,
    stopping: bool,
}

impl Ledger {
    /// Makes the ledger of a router's process.
    pub fn new(source: Source) -> Self {
        Self {
            own: Course::new(Journal::new(source)),
            adopted: BTreeMap::new(),
            copies: Copies::default(),
            merges: BTreeMap::new(),
            newly_adopted: Vec::new(),
            witness: Witness::default(),
            stopping: false,
        }
    }

    /// Charges what an attempt used; the caller makes sure that each attempt comes once.
    pub fn record(&mut self, record: &UsageRecord, now: Duration) {
        self.own.journal.add(record.period(), Charge::from(record), now);
        if record.attempt.router == self.own.journal.source().router {
            self.own.journal.hasten();
        }
    }

    /// Notes what an attempt in progress has used so far; told to the holder of copies, it is
    /// charged if this router is lost before the attempt's end.
    pub fn progress(&mut self, record: &UsageRecord) {
        self.own.journal.progress(record.period(), Charge::from(record));
    }

    /// Keeps what this router saw of an attempt at another one, which charges it while it lives.
    pub fn see(&mut self, sighting: Sighting) {
        self.witness.add(sighting);
    }

    /// Begins a planned stop: what is held leaves the router at once.
    pub fn stop(&mut self, now: Duration) {
        self.stopping = true;
        self.own.journal.close(now);
        self.own.copy_soon();
    }

    /// Tells whether another router or the platform holds everything, so that a stopping router
    /// may end.
    pub fn may_end(&self) -> bool {
        let is_safe = |course: &Course| course.journal.is_empty() || course.is_handed_over();
        is_safe(&self.own) && self.adopted.values().all(is_safe)
    }

    /// Returns the messages that are due.
    pub fn calls(&mut self, fleet: &Fleet, now: Duration) -> Vec<Call> {
        if self.stopping {
            self.own.journal.close(now);
        }
        self.own.journal.close_due(now);
        self.take_over(fleet, now);
        for (period, charge) in self.copies.take_progress(now, |source| fleet.is_lost(source)) {
            self.own.journal.add(period, Charge { contested: true, ..charge }, now);
        }
        self.copies.forget_silent(now);
        let stopping = self.stopping;
        let mut calls = Vec::new();
        for course in std::iter::once(&mut self.own).chain(self.adopted.values_mut()) {
            course.journal.drop_kept(now);
            calls.extend(course.next_copy(fleet, stopping, now));
            calls.extend(course.next_offers(fleet, now));
        }
        calls.extend(self.witness.calls(fleet, now));
        self.adopted.retain(|_, course| !course.is_done());
        calls
    }

    /// Answers another router's request.
    pub fn serve(&mut self, request: Request, now: Duration) -> Answer {
        match request {
            Request::Copy(request) => Answer::Copy(self.serve_copy(request, now)),
            Request::Offer(request) => Answer::Offer(self.serve_offer(request, now)),
            Request::Claim(request) => Answer::Claim(self.serve_claim(request, now)),
        }
    }

    /// Takes the answer to one of this router's calls; `None` when there was none.
    pub fn answered(&mut self, call: Call, answer: Option<Answer>, now: Duration) {
        match call.request {
            Request::Copy(request) => {
                let answer = match answer {
                    Some(Answer::Copy(answer)) => Some(answer),
                    _ => None,
                };
                if let Some(course) = self.course(&request.source) {
                    course.copied(&call.to, &request, answer, now);
                }
            }
            Request::Offer(request) => {
                let marks = match answer {
                    Some(Answer::Offer(answer)) => answer.marks,
                    _ => Vec::new(),
                };
                let source = request.portions.first().map(|portion| portion.source.clone());
                if let Some(course) = source.and_then(|source| self.course(&source)) {
                    course.offered(request, marks);
                }
            }
            Request::Claim(request) => {
                if let Some(Answer::Claim(ClaimAnswer::Decided)) = answer {
                    self.witness.decided(&request);
                }
            }
        }
    }

    /// Returns what the platform is to be asked for, each slot at most once at a time.
    pub fn steps(&mut self, fleet: &Fleet, now: Duration, wall_ms: u64) -> Vec<(Slot, SlotStep)> {
        let interval = write_interval(fleet.live.len());
        self.merges.retain(|_, merge| !merge.is_idle(SLOT_IDLE, now));
        let mut steps = Vec::new();
        for (slot, merge) in &mut self.merges {
            if let Some(step) = merge.next_step(interval, now, wall_ms) {
                steps.push((*slot, step));
            }
        }
        steps
    }

    /// Takes a slot's value; `None` when it could not be read.
    pub fn read_done(&mut self, slot: Slot, reading: Option<Reading>, wall_ms: u64) {
        if let Some(merge) = self.merges.get_mut(&slot) {
            merge.read_done(reading, wall_ms);
        }
    }

    /// Takes the outcome of a slot's write.
    pub fn write_done(&mut self, slot: Slot, outcome: WriteOutcome, wall_ms: u64) {
        if let Some(merge) = self.merges.get_mut(&slot) {
            merge.write_done(outcome, wall_ms);
        }
    }

    /// Returns the slots whose value on the platform was older than one seen before, once each.
    pub fn take_behind(&mut self) -> Vec<Slot> {
        let mut behind = Vec::new();
        for (slot, merge) in &mut self.merges {
            if merge.take_fell_behind() {
                behind.push(*slot);
            }
        }
        behind
    }

    /// Returns the sources taken over since the last call, and the charges that each left.
    pub fn take_adopted(&mut self) -> Vec<(Source, usize)> {
        std::mem::take(&mut self.newly_adopted)
    }

    /// Tells whether this router holds copies of a process's batches, or lately did.
    pub fn knows(&self, owner: &Source) -> bool {
        self.copies.knows(owner)
    }

    /// Tells whether this router knows what an attempt in progress at another one had used.
    pub fn holds_progress(&self, attempt: AttemptKey) -> bool {
        self.copies.holds_progress(attempt)
    }

    /// Returns the attempts of lost owners whose claims nobody decided on, once.
    pub fn take_dropped_claims(&mut self) -> Vec<AttemptKey> {
        self.witness.take_dropped()
    }

    /// Tells whether this router saw an attempt at another one and may still claim it.
    pub fn has_seen(&self, attempt: AttemptKey) -> bool {
        self.witness.holds(attempt)
    }

    /// Tells whether this router holds an attempt's charge, as source, in a copy or adopted.
    pub fn holds(&self, attempt: AttemptKey) -> bool {
        let mut courses = std::iter::once(&self.own).chain(self.adopted.values());
        courses.any(|course| course.journal.holds(attempt)) || self.copies.holds(attempt)
    }

    /// Returns the charges that this router holds: its own and adopted ones, and copies.
    pub fn held_charges(&self) -> (usize, usize) {
        let adopted = self.adopted.values().map(|course| course.journal.held_charges());
        let own = self.own.journal.held_charges() + adopted.sum::<usize>();
        (own, self.copies.held_charges())
    }

    fn take_over(&mut self, fleet: &Fleet, now: Duration) {
        for takeover in self.copies.take_over(now, |source| fleet.is_lost(source)) {
            let fresh = || Course::new(Journal::adopted(takeover.source.clone()));
            let course = self.adopted.entry(takeover.source.clone()).or_insert_with(fresh);
            let charges = takeover.batches.iter().map(|batch| batch.charges.len()).sum();
            self.newly_adopted.push((takeover.source, charges));
            for batch in takeover.batches {
                course.journal.hold(Batch { since: now, ..batch });
            }
            course.offer_soon();
        }
    }

    fn course(&mut self, source: &Source) -> Option<&mut Course> {
        if self.own.journal.source() == source {
            return Some(&mut self.own);
        }
        self.adopted.get_mut(source)
    }

    fn serve_copy(&mut self, request: CopyRequest, now: Duration) -> CopyAnswer {
        if request.source == *self.own.journal.source() {
            // This router was taken for lost while it was only silent, and still holds it all.
            let last = request.batches.last().map_or(request.after, PackedBatch::number);
            return CopyAnswer { held_through: last, ..CopyAnswer::default() };
        }
        if let Some(course) = self.adopted.get_mut(&request.source) {
            course.journal.drop_through(request.dropped_through);
        }
        self.copies.receive(request, now)
    }

    fn serve_claim(&mut self, request: ClaimRequest, now: Duration) -> ClaimAnswer {
        let attempts: Vec<AttemptKey> =
            request.charges.iter().map(|(_, charge)| charge.attempt).collect();
        let heard = now.saturating_sub(Duration::from_millis(request.age_ms));
        let Some(accepted) = self.copies.claim(&request.owner, &attempts, heard, now) else {
            return ClaimAnswer::NotHolder;
        };
        for (period, charge) in request.charges {
            if accepted.contains(&charge.attempt) {
                self.own.journal.add(period, Charge { contested: true, ..charge }, now);
            }
        }
        ClaimAnswer::Decided
    }

    fn serve_offer(&mut self, request: OfferRequest, now: Duration) -> OfferAnswer {
        let mut marks = Vec::new();
        for portion in request.portions {
            if portion.slot.shard >= SHARDS {
                marks.push(None);
                continue;
            }
            let merge = self.merges.entry(portion.slot).or_default();
            marks.push(merge.offer(portion, now));
        }
        OfferAnswer { marks }
    }
}
