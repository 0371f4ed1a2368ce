//! The lease of one workspace's limits that a router holds.

use std::time::Duration;

use crate::name::Name;
use crate::verdict::RefusalReason;

use super::bucket::Bucket;
use super::demand::Demand;
use super::limits::{Limits, Work};
use super::loan::{CALL_VALIDITY, LOAN_VALIDITY, Lease, LeaseEnd, LeaseWish};

/// Least requests a second of a lease.
///
/// A lease saves up one request at least. With smaller rates, that of all routers would be more
/// than the saved time of the whole limit, and a quiet fleet could pass it in one moment.
pub(super) const LEAST_LEASE_PER_S: f64 = 0.6;
/// Least slots of a router's equal part. Of smaller limits each slot counts, and one that is held
/// unused by a lease is missed.
const LEAST_LEASE_SLOTS: f64 = 8.0;
/// Time before the end of a lease from which on it is asked for anew.
const RENEWAL: Duration = Duration::from_secs(1);
/// Time after which a lease that its owner could have made larger is asked for anew.
const GROWTH: Duration = Duration::from_secs(1);
/// Time after the end of a lease for which it may yet be renewed.
const LAPSE: Duration = Duration::from_millis(500);
/// Time without use after which a lease is given back.
const IDLE: Duration = Duration::from_secs(3);
/// Seconds of what arrives for which slots are asked for.
const SLOT_TIME_S: u32 = 4;

/// Tells whether leases of a limit are possible: each router's equal part of them is large enough.
///
/// What goes wrong otherwise: the first routers that ask hold all of the limit in leases of the
/// least size, and the others are refused for as long as these are in use.
pub(super) fn leasable(limits: &Limits) -> bool {
    let part = 4.0 * limits.share;
    limits.requests_per_s.is_none_or(|limit| limit * part >= LEAST_LEASE_PER_S)
        && limits
            .concurrent_requests
            .is_none_or(|limit| f64::from(limit) * part >= LEAST_LEASE_SLOTS)
}

/// A lease, from when it is first asked for until its last request has ended.
#[derive(Debug, Default)]
pub(super) struct HeldLease {
    /// Owner that was asked.
    owner: u64,
    terms: Option<Lease>,
    round: u32,
    asked_at: Duration,
    /// Whether the owner may still answer.
    is_pending: bool,
    until: Duration,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    /// Slots that may be in use at once.
    slots: u32,
    in_use: u32,
    /// Longest time left that a request on a slot may have.
    longest: Duration,
    used_at: Duration,
    /// Slots that the owner was told are still in use after the end.
    told: Option<u32>,
}

impl HeldLease {
    /// Tells whether the lease may be used.
    fn is_live(&self, now: Duration, limits: &Limits) -> bool {
        now < self.until && self.owner == limits.owner && self.told.is_none()
    }

    fn rates(&self) -> (f64, f64) {
        self.terms
            .as_ref()
            .map_or((0.0, 0.0), |terms| (terms.requests_per_s(), terms.tokens_per_s as f64))
    }

    pub(super) fn number(&self) -> Option<u64> {
        self.terms.as_ref().map(|terms| terms.number)
    }

    /// Tells whether a slot is free for a request.
    pub(super) fn has_slot(&self, now: Duration, limits: &Limits, work: Work) -> bool {
        self.is_live(now, limits) && self.in_use < self.slots && work.deadline_left <= self.longest
    }

    /// Returns the bucket of requests less one; `None` where there is none.
    pub(super) fn request(&self, now: Duration, limits: &Limits) -> Option<Bucket> {
        let rate = self.terms.as_ref()?.requests_per_s();
        let bucket = self.requests.filter(|_| self.is_live(now, limits))?;
        if rate < LEAST_LEASE_PER_S {
            return None;
        }
        bucket.take(now, rate, saved_requests(rate), 1.0).ok()
    }

    /// Returns the bucket of tokens less those of a request; `None` where there are fewer.
    pub(super) fn tokens(&self, now: Duration, limits: &Limits, work: Work) -> Option<Bucket> {
        let rate = self.terms.as_ref()?.tokens_per_s as f64;
        let bucket = self.tokens.filter(|_| self.is_live(now, limits))?;
        let (capacity, amount) = (saved_tokens(rate), work.tokens as f64);
        if amount > capacity {
            return None;
        }
        bucket.take(now, rate, capacity, amount).ok()
    }

    /// Notes what a request took.
    pub(super) fn note_taken(
        &mut self,
        now: Duration,
        requests: Option<Bucket>,
        tokens: Option<Bucket>,
        slot: bool,
    ) {
        if requests.is_none() && tokens.is_none() && !slot {
            return;
        }
        self.requests = requests.or(self.requests);
        self.tokens = tokens.or(self.tokens);
        self.in_use += u32::from(slot);
        self.used_at = now;
    }

    /// Charges tokens used beyond the estimate; `false` where the lease is another one by now.
    pub(super) fn settle(&mut self, number: u64, extra_tokens: i64) -> bool {
        if self.number() != Some(number) || self.told.is_some() {
            return false;
        }
        let Some(tokens) = &mut self.tokens else { return false };
        tokens.adjust(-(extra_tokens as f64));
        true
    }

    /// Ends a request on a slot of the lease.
    pub(super) fn release(&mut self, number: u64) {
        if self.number() == Some(number) {
            self.in_use = self.in_use.saturating_sub(1);
        }
    }

    /// Tells whether the owner gave all it could, so that it is not asked about this request.
    pub(super) fn is_closed(
        &self,
        now: Duration,
        limits: &Limits,
        reason: RefusalReason,
        work: Work,
    ) -> bool {
        let Some(terms) = &self.terms else { return false };
        if !self.is_live(now, limits) || now.saturating_add(RENEWAL) >= self.until {
            return false;
        }
        match reason {
            RefusalReason::Concurrency => terms.slots_closed && work.deadline_left <= self.longest,
            RefusalReason::TokenRate => {
                terms.rates_closed && work.tokens as f64 <= saved_tokens(terms.tokens_per_s as f64)
            }
            _ => terms.rates_closed,
        }
    }

    /// Returns what to ask the owner for, beside the request itself.
    pub(super) fn wish(
        &mut self,
        now: Duration,
        limits: &Limits,
        demand: &Demand,
        is_busy: bool,
    ) -> Option<LeaseWish> {
        if !leasable(limits) {
            return None;
        }
        if self.owner != limits.owner {
            // What is in progress under the former owner is not this one's.
            *self = Self { owner: limits.owner, round: self.round, ..Self::default() };
        }
        let is_pending = self.is_pending && now.saturating_sub(self.asked_at) < CALL_VALIDITY;
        let is_held = self.terms.is_some();
        if is_pending || !(is_busy || is_held) {
            return None;
        }
        if is_held && self.told.is_none() && now < self.asked_at.saturating_add(GROWTH) {
            return None;
        }
        // Until the answer is here no more slots are used than the owner is told now: it may lend
        // the others to somebody else.
        let held_slots =
            self.in_use + if self.is_live(now, limits) { self.in_use / 8 + 2 } else { 0 };
        self.slots = self.slots.min(held_slots);
        self.round = self.round.wrapping_add(1);
        (self.asked_at, self.is_pending) = (now, true);
        let requests_per_s = demand.requests_per_s();
        let slots = limits.concurrent_requests.map_or(0, |_| {
            let arriving = requests_per_s.saturating_mul(SLOT_TIME_S);
            self.in_use.saturating_add(self.in_use / 2).max(arriving).max(1)
        });
        Some(LeaseWish {
            number: self.number(),
            round: self.round,
            requests_per_s: requests_per_s.saturating_add(requests_per_s / 4).max(1),
            tokens_per_s: demand.tokens_per_s().saturating_mul(5) / 4,
            slots,
            held_slots: self.slots.max(self.in_use),
            longest_ms: demand.longest().as_millis() as u64,
        })
    }

    /// Takes the owner's answer to the last wish; tells whether it was one.
    pub(super) fn grant(&mut self, now: Duration, terms: &Lease) -> bool {
        if !self.is_pending || terms.round != self.round {
            return false;
        }
        self.is_pending = false;
        if self.number() != Some(terms.number) {
            self.in_use = 0;
            (self.requests, self.tokens) = (None, None);
        }
        // Counted from the question: the owner counts from later on, and so never lends anew what
        // is still in use here.
        let filled_until = now.min(self.until);
        let (requests_per_s, tokens_per_s) = self.rates();
        let capacity = saved_requests(terms.requests_per_s());
        self.requests = continued(self.requests, now, filled_until, requests_per_s, capacity);
        let capacity = saved_tokens(terms.tokens_per_s as f64);
        self.tokens = continued(self.tokens, now, filled_until, tokens_per_s, capacity);
        self.until = self.asked_at.saturating_add(Duration::from_millis(terms.valid_ms));
        self.slots = terms.slots;
        self.longest = Duration::from_millis(terms.longest_ms);
        self.used_at = now;
        self.told = None;
        self.terms = Some(terms.clone());
        true
    }

    /// Returns what the owner is to be told once the lease has ended or is not used.
    pub(super) fn end(&mut self, now: Duration, workspace: &Name) -> Option<LeaseEnd> {
        if self.is_pending && now.saturating_sub(self.asked_at) < CALL_VALIDITY {
            return None;
        }
        let is_lapsed = self.until.saturating_add(LAPSE) <= now;
        let is_over = is_lapsed || self.used_at.saturating_add(IDLE) <= now;
        let is_news = self.told.is_none() || self.in_use == 0;
        if !is_over || !is_news {
            return None;
        }
        let number = self.number()?;
        let held_slots = self.in_use;
        (self.slots, self.told) = (0, Some(held_slots));
        if held_slots == 0 {
            *self = Self { owner: self.owner, round: self.round, ..Self::default() };
        }
        Some(LeaseEnd { workspace: workspace.clone(), number, round: self.round, held_slots })
    }

    /// Tells whether nothing of the lease is left.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        let is_pending = self.is_pending && now.saturating_sub(self.asked_at) < CALL_VALIDITY;
        !is_pending && self.terms.is_none()
    }
}

/// Returns what a lease saves up.
fn saved_requests(rate: f64) -> f64 {
    (rate * LOAN_VALIDITY.as_secs_f64()).max(1.0)
}

fn saved_tokens(rate: f64) -> f64 {
    rate * LOAN_VALIDITY.as_secs_f64()
}

/// Returns a bucket that goes on with another capacity, having filled until the former lease
/// ended; it starts empty.
fn continued(
    bucket: Option<Bucket>,
    now: Duration,
    filled_until: Duration,
    rate: f64,
    capacity: f64,
) -> Option<Bucket> {
    let Some(bucket) = bucket else { return Some(Bucket::new(now, 0.0)) };
    Some(bucket.filled(filled_until, rate, capacity).filled(now, 0.0, capacity))
}
