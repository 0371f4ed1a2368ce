//! What one router may grant of one workspace's limits: a base share and what its owner lent.

use std::time::Duration;

use crate::name::Name;
use crate::verdict::RefusalReason;

use super::bucket::{Bucket, saved};
use super::demand::Demand;
use super::lease::HeldLease;
use super::lending::base_slots;
use super::limits::{Limits, Work};
use super::loan::{Ask, Grant, LOAN_VALIDITY, LeaseEnd};
use super::open::{OpenState, RESTRICTION};

/// Asks that follow within this time ask for twice as much as the one before.
const ASK_MEMORY: Duration = Duration::from_millis(500);
/// Most requests asked for at once.
const MOST_ASKED: u32 = 64;
/// When a workspace at its concurrency limit should return.
const CONCURRENCY_RETURN: Duration = Duration::from_millis(500);

/// Allowance lent by the owner.
#[derive(Clone, Debug, Default)]
struct Loan {
    requests: u32,
    tokens: u64,
    until: Duration,
}

/// What a permit's tokens are charged to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// Open share.
    Open,
    /// Base share, with tokens of the base share.
    Base,
    /// Tokens that the owner lent.
    Loan,
    /// Tokens of the lease of this number.
    Lease(u64),
}

/// Where a permit's request has its place among those in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// Open share or base share, or no limit.
    Own,
    /// Slot that the owner lent.
    Lent(u64),
    /// Slot of the lease of this number.
    Leased(u64),
}

/// What a permit's request was granted from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Taken {
    pub(super) source: Source,
    pub(super) place: Place,
}

/// One workspace as this router sees it.
#[derive(Debug, Default)]
pub(super) struct WorkspaceState {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    open: OpenState,
    in_progress: u32,
    base_in_progress: u32,
    loan: Loan,
    demand: Demand,
    lease: HeldLease,
    denied: Option<(RefusalReason, Duration)>,
    asked_at: Option<Duration>,
    asked: u32,
    /// From when on dropping the state changes no decision, provided nothing is in progress.
    idle_at: Duration,
}

impl WorkspaceState {
    pub(super) fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Tells whether dropping the state changes no later decision.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        self.in_progress == 0 && self.idle_at <= now && self.lease.is_over(now)
    }

    /// Counts a request that arrived.
    pub(super) fn note_request(&mut self, now: Duration, work: Work) {
        self.demand.note_request(now, work);
    }

    /// Returns what the owner is to be told of a lease that ended; call it now and then.
    pub(super) fn end_lease(&mut self, now: Duration, workspace: &Name) -> Option<LeaseEnd> {
        self.lease.end(now, workspace)
    }

    /// Tells whether a lease, or a wish for one, is under way.
    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        !self.lease.is_over(now)
    }

    /// Returns what the owner denied, and the time for which it is not to be asked, where this
    /// answers a shortage for `reason`.
    ///
    /// Each question is for a request and its tokens, not each one for a slot. What goes wrong if
    /// only the reason found here counted: a router without slots asks again for each request,
    /// though the owner denied because the rate is spent, and callers are told a wrong reason.
    pub(super) fn denial(
        &self,
        now: Duration,
        reason: RefusalReason,
    ) -> Option<(RefusalReason, Duration)> {
        let (denied, until) = self.denied?;
        let answers = denied == reason || denied != RefusalReason::Concurrency;
        (answers && until > now).then(|| (denied, until - now))
    }

    /// Adds a grant to the loan and returns its slot.
    pub(super) fn note_grant(&mut self, now: Duration, grant: &Grant) -> Option<u64> {
        match grant {
            Grant::Lent { requests, tokens, slot, scarce } => {
                if *scarce {
                    self.restrict(now);
                }
                self.add_loan(now, *requests, *tokens);
                *slot
            }
            Grant::Leased { requests, tokens, lease } => {
                self.restrict(now);
                self.add_loan(now, *requests, *tokens);
                self.lease.grant(now, lease);
                None
            }
            Grant::Denied { reason, wait_ms } => {
                self.restrict(now);
                let until = now.saturating_add(Duration::from_millis(*wait_ms));
                self.denied = Some((*reason, until));
                self.idle_at = self.idle_at.max(until);
                None
            }
        }
    }

    fn add_loan(&mut self, now: Duration, requests: u32, tokens: u64) {
        self.drop_void_loan(now);
        // What is left of an older loan must not live on with the new one.
        if self.loan.requests == 0 && self.loan.tokens == 0 {
            self.loan.until = now.saturating_add(LOAN_VALIDITY);
        }
        self.loan.requests = self.loan.requests.saturating_add(requests);
        self.loan.tokens = self.loan.tokens.saturating_add(tokens);
        self.denied = None;
        self.idle_at = self.idle_at.max(self.loan.until);
    }

    fn restrict(&mut self, now: Duration) {
        self.open.restrict(now);
        self.idle_at = self.idle_at.max(now.saturating_add(RESTRICTION));
    }

    /// Charges tokens used beyond the estimate to the open share.
    pub(super) fn settle_open(&mut self, now: Duration, limits: &Limits, extra_tokens: i64) {
        self.open.settle(extra_tokens);
        self.note_idle(now, limits);
    }

    /// Charges tokens used beyond the estimate to a lease; `false` where it is no more.
    pub(super) fn settle_lease(&mut self, number: u64, extra_tokens: i64) -> bool {
        self.lease.settle(number, extra_tokens)
    }

    /// Charges tokens used beyond the estimate to the base share.
    pub(super) fn settle(&mut self, now: Duration, limits: &Limits, extra_tokens: i64) {
        let Some(limit) = limits.tokens_per_s else { return };
        let rate = limit * limits.share;
        let capacity = saved(rate).max(1.0);
        let mut bucket = self.tokens.unwrap_or_else(|| Bucket::new(now, capacity));
        bucket.adjust(-(extra_tokens as f64));
        self.tokens = Some(bucket.filled(now, rate, capacity));
        self.note_idle(now, limits);
    }

    /// Ends a request.
    ///
    /// The owner that denied a slot has one again when it hears of the end. What goes wrong
    /// otherwise: after each denial the router turns all requests away for the denial's time, and
    /// a workspace that has more to do than its limit allows gets a part of the limit.
    pub(super) fn release(&mut self, now: Duration, taken: Taken) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.idle_at = self.idle_at.max(now);
        if taken.source == Source::Open {
            return self.open.release();
        }
        match taken.place {
            Place::Own => self.base_in_progress = self.base_in_progress.saturating_sub(1),
            Place::Leased(number) => self.lease.release(number),
            Place::Lent(_) => {
                let denied = self.denied.map(|(why, _)| why);
                self.denied = self.denied.filter(|_| denied != Some(RefusalReason::Concurrency));
            }
        }
    }

    /// Takes one request and tells what from; or tells what is spent and when it is there again.
    pub(super) fn take(
        &mut self,
        now: Duration,
        limits: &Limits,
        work: Work,
        slot: Option<u64>,
    ) -> Result<Taken, (RefusalReason, Duration)> {
        if slot.is_none() && self.open.take(now, limits, work.tokens) {
            self.in_progress += 1;
            self.note_idle(now, limits);
            return Ok(Taken { source: Source::Open, place: Place::Own });
        }
        self.drop_void_loan(now);
        let place = self.place(now, limits, work, slot)?;
        let has_requests = limits.requests_per_s.is_some();
        let request_lent = has_requests && self.loan.requests > 0;
        let leased_requests =
            self.lease.request(now, limits).filter(|_| has_requests && !request_lent);
        let mut requests = self.requests;
        if !request_lent && leased_requests.is_none() {
            requests = debit(requests, now, limits.requests_per_s, limits, 1.0)
                .map_err(|wait| (RefusalReason::RequestRate, wait))?;
        }
        let has_tokens = limits.tokens_per_s.is_some();
        let tokens_lent = has_tokens && self.loan.tokens >= work.tokens.max(1);
        let leased_tokens =
            self.lease.tokens(now, limits, work).filter(|_| has_tokens && !tokens_lent);
        let mut tokens = self.tokens;
        if !tokens_lent && leased_tokens.is_none() {
            tokens = debit(tokens, now, limits.tokens_per_s, limits, work.tokens as f64)
                .map_err(|wait| (RefusalReason::TokenRate, wait))?;
        }
        self.requests = requests;
        self.tokens = tokens;
        self.loan.requests -= u32::from(request_lent);
        self.loan.tokens -= if tokens_lent { work.tokens } else { 0 };
        let is_leased = matches!(place, Place::Leased(_));
        self.lease.note_taken(now, leased_requests, leased_tokens, is_leased);
        self.in_progress += 1;
        self.base_in_progress += u32::from(place == Place::Own);
        self.note_idle(now, limits);
        let source = match self.lease.number().filter(|_| leased_tokens.is_some()) {
            Some(number) => Source::Lease(number),
            None if tokens_lent => Source::Loan,
            None => Source::Base,
        };
        Ok(Taken { source, place })
    }

    /// Returns the place of a request among those in progress.
    fn place(
        &self,
        now: Duration,
        limits: &Limits,
        work: Work,
        slot: Option<u64>,
    ) -> Result<Place, (RefusalReason, Duration)> {
        if let Some(slot) = slot {
            return Ok(Place::Lent(slot));
        }
        if !self.needs_lent_slot(limits) {
            return Ok(Place::Own);
        }
        let leased = self.lease.number().filter(|_| self.lease.has_slot(now, limits, work));
        leased.map(Place::Leased).ok_or((RefusalReason::Concurrency, CONCURRENCY_RETURN))
    }

    fn needs_lent_slot(&self, limits: &Limits) -> bool {
        let Some(limit) = limits.concurrent_requests else { return false };
        let mut base = base_slots(limit, limits.share);
        if !limits.owner_reachable {
            base = base.max(1).min(limit);
        }
        self.base_in_progress >= base
    }

    /// Makes an ask, unless the owner cannot be reached or denied it just now.
    pub(super) fn ask(
        &mut self,
        now: Duration,
        workspace: &Name,
        limits: &Limits,
        reason: RefusalReason,
        work: Work,
    ) -> Option<Ask> {
        let is_closed = self.lease.is_closed(now, limits, reason, work);
        if !limits.owner_reachable || is_closed || self.denial(now, reason).is_some() {
            return None;
        }
        let is_busy = self.demand.note_ask(now);
        let wish = self.lease.wish(now, limits, &self.demand, is_busy);
        let soon = self.asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_MEMORY);
        let slot = self.place(now, limits, work, None).is_err();
        // A slot is lent for one request. More requests than slots would lapse unused, and the
        // workspace would be refused at a part of its rate.
        self.asked = if soon && !slot { self.asked.saturating_mul(2).min(MOST_ASKED) } else { 1 };
        self.asked_at = Some(now);
        self.idle_at = self.idle_at.max(now.saturating_add(ASK_MEMORY));
        Some(Ask {
            workspace: workspace.clone(),
            requests: self.asked,
            tokens: work.tokens.saturating_mul(u64::from(self.asked)),
            slot,
            slot_lease_ms: work.deadline_left.as_millis() as u64,
            wish,
        })
    }

    fn drop_void_loan(&mut self, now: Duration) {
        if self.loan.until <= now {
            self.loan = Loan::default();
        }
    }

    fn note_idle(&mut self, now: Duration, limits: &Limits) {
        let requests = full_at(self.requests, limits.requests_per_s, limits);
        let tokens = full_at(self.tokens, limits.tokens_per_s, limits);
        self.idle_at =
            self.idle_at.max(now).max(requests).max(tokens).max(self.open.idle_at(limits));
    }
}

/// Takes `amount` from a base share, or returns how long until it can be taken.
///
/// The capacity is at least 1, so that a small share saves up one request at last; but while the
/// owner can be asked, a share that saves up less than `amount` by right is left alone. What goes
/// wrong otherwise: with many routers each grants one request from a share far below one, and a
/// small workspace gets as many requests at once as there are routers.
fn debit(
    bucket: Option<Bucket>,
    now: Duration,
    limit: Option<f64>,
    limits: &Limits,
    amount: f64,
) -> Result<Option<Bucket>, Duration> {
    let Some(limit) = limit else { return Ok(bucket) };
    let rate = limit * limits.share;
    let capacity = saved(rate).max(1.0);
    if limits.owner_reachable && amount > saved(rate) {
        return Err(CONCURRENCY_RETURN);
    }
    let bucket = bucket.unwrap_or_else(|| Bucket::new(now, capacity));
    bucket.take(now, rate, capacity, amount).map(Some)
}

fn full_at(bucket: Option<Bucket>, limit: Option<f64>, limits: &Limits) -> Duration {
    let (Some(bucket), Some(limit)) = (bucket, limit) else { return Duration::ZERO };
    let rate = limit * limits.share;
    bucket.full_at(rate, saved(rate).max(1.0))
}
