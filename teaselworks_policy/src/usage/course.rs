//! One journal's way to the holder of copies and to the owners of slots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::batch::Portion;
use super::fleet::Fleet;
use super::journal::Journal;
use super::merge::MarkAnswer;
use super::message::{Call, CopyAnswer, CopyRequest, OfferRequest, Request};
use super::pace::{FIRST_RETRY, KEEPALIVE, PROGRESS_INTERVAL, contact_interval};
use crate::name::Name;

/// Rows in one message to an owner of slots: about 20 KB.
const OFFER_ROWS: usize = 600;

/// When a journal's next messages are due, and which are on their way.
#[derive(Clone, Debug)]
pub(super) struct Course {
    pub(super) journal: Journal,
    partner: Option<Name>,
    copying: bool,
    copied_at: Option<Duration>,
    offering: usize,
    offer_at: Duration,
    retry_at: Option<Duration>,
    retry: Duration,
    unready: bool,
}

impl Course {
    pub(super) fn new(journal: Journal) -> Self {
        Self {
            journal,
            partner: None,
            copying: false,
            copied_at: None,
            offering: 0,
            offer_at: Duration::ZERO,
            retry_at: None,
            retry: FIRST_RETRY,
            unready: false,
        }
    }

    /// Makes the next copy due at once.
    pub(super) fn copy_soon(&mut self) {
        self.copied_at = None;
    }

    /// Makes the next offer due at once.
    pub(super) fn offer_soon(&mut self) {
        self.offer_at = Duration::ZERO;
    }

    /// Takes the answer to a copy; `None` when there was none.
    pub(super) fn copied(
        &mut self,
        holder: &Name,
        request: &CopyRequest,
        answer: Option<CopyAnswer>,
        now: Duration,
    ) {
        self.copying = false;
        // A holder that is no longer the partner may drop what it holds.
        if self.partner.as_ref() != Some(holder) {
            return;
        }
        match answer {
            Some(answer) => self.journal.copied(request, &answer),
            None => self.journal.copy_failed(now),
        }
    }

    /// Takes the marks in the answer to an offer, none when there was no answer.
    pub(super) fn offered(&mut self, request: OfferRequest, marks: Vec<Option<MarkAnswer>>) {
        self.offering = self.offering.saturating_sub(1);
        let mut marks = marks.into_iter();
        for portion in request.portions {
            let mark = marks.next().flatten();
            self.unready |= mark.is_none_or(|mark| mark.waiting < portion.through);
            self.journal.offered(portion.slot, portion.through, mark);
        }
    }

    /// Tells whether the partner holds everything.
    pub(super) fn is_handed_over(&self) -> bool {
        self.partner.is_some() && !self.copying && self.journal.is_copied()
    }

    /// Tells whether nothing is held and nobody awaits word of it.
    pub(super) fn is_done(&self) -> bool {
        !self.copying && self.offering == 0 && self.is_quiet()
    }

    fn is_quiet(&self) -> bool {
        self.journal.is_empty() && !self.journal.owes_word()
    }

    pub(super) fn next_copy(
        &mut self,
        fleet: &Fleet,
        closing: bool,
        now: Duration,
    ) -> Option<Call> {
        if self.partner != fleet.partner {
            self.partner = fleet.partner.clone();
            self.journal.forget_copies(now);
            self.copied_at = None;
        }
        let partner = self.partner.clone()?;
        let since = |age: Duration| self.copied_at.is_none_or(|at| now >= at + age);
        let due = self.journal.has_uncopied()
            || (self.journal.has_progress() && since(PROGRESS_INTERVAL))
            || since(KEEPALIVE);
        if self.copying || !due || (self.journal.is_adopted() && self.is_quiet()) {
            return None;
        }
        self.copying = true;
        self.copied_at = Some(now);
        let request = self.journal.next_copy(closing);
        Some(Call { to: partner, request: Request::Copy(request) })
    }

    pub(super) fn next_offers(&mut self, fleet: &Fleet, now: Duration) -> Vec<Call> {
        if self.offering > 0 || self.journal.is_empty() {
            return Vec::new();
        }
        let interval = contact_interval(fleet.live.len());
        if std::mem::take(&mut self.unready) {
            // An owner had no value yet, stood elsewhere or did not know a row: ask it again soon,
            // then ever later.
            self.retry_at = Some(now + self.retry.min(interval));
            self.retry = (self.retry * 2).min(interval);
        } else if now >= self.offer_at {
            self.retry = FIRST_RETRY;
        }
        let all = now >= self.offer_at;
        if !all && self.retry_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.retry_at = None;
        if all {
            self.offer_at = now + interval;
        }
        let mut by_owner: BTreeMap<Name, Vec<Portion>> = BTreeMap::new();
        for portion in self.journal.portions(fleet.partner.is_none(), !all, now) {
            let Some(owner) = fleet.owner_of(portion.slot) else {
                continue;
            };
            by_owner.entry(owner.clone()).or_default().push(portion);
        }
        let mut calls = Vec::new();
        for (owner, portions) in by_owner {
            for portions in split(portions) {
                let request = Request::Offer(OfferRequest { portions });
                calls.push(Call { to: owner.clone(), request });
            }
        }
        self.offering = calls.len();
        calls
    }
}

/// Divides portions into messages of bounded size.
fn split(portions: Vec<Portion>) -> Vec<Vec<Portion>> {
    let mut messages: Vec<Vec<Portion>> = Vec::new();
    let mut rows = OFFER_ROWS;
    for portion in portions {
        // A portion without rows costs about as much as a row.
        let size = portion.rows.len() + portion.hashed.len() + 1;
        if rows + size > OFFER_ROWS {
            messages.push(Vec::new());
            rows = 0;
        }
        rows += size;
        if let Some(message) = messages.last_mut() {
            message.push(portion);
        }
    }
    messages
}
