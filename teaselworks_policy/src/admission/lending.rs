//! Allowances that a workspace's owner lends to routers beyond their base shares.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::name::Name;
use crate::verdict::RefusalReason;

use super::bucket::{Bucket, saved};
use super::denial::Denials;
use super::leases::{Leasable, Leases};
use super::loan::{Ask, Grant, LeaseEnd, Settlement};

/// Part of a workspace's limits that all routers hold in equal base shares; the rest is lent.
pub const BASE_FRACTION: f64 = 0.2;
/// Requests like the one asked for that a small rate saves up at least.
///
/// What goes wrong with less: requests come in clusters by chance, and a workspace that uses half
/// of a rate of one request a second would be refused one request in five.
pub const LEAST_BURST: f64 = 4.0;
/// Part of what could be lent at most, below which open shares end.
const SCARCE: f64 = 0.4;
/// Denial when every slot is lent; nobody knows when one comes back.
const SLOT_DENIAL: Duration = Duration::from_millis(200);
/// Workspaces held before idle ones are looked for.
const FIRST_SWEEP: usize = 64;

/// Limits of one workspace over the whole fleet, as its owner lends them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Tokens a second, prompt and answer together.
    pub tokens_per_s: Option<f64>,
    /// Requests in progress at once.
    pub concurrent_requests: Option<u32>,
    /// Routers that hold base shares.
    pub live_routers: u32,
}

/// Returns the share of a workspace's limits that each of `live_routers` grants by itself.
///
/// ```
/// use teaselworks_policy::admission::lending::base_share;
///
/// assert_eq!(base_share(8), 0.025);
/// ```
pub fn base_share(live_routers: u32) -> f64 {
    BASE_FRACTION / f64::from(live_routers.max(1))
}

/// Returns the slots of a concurrency limit that one base share grants.
///
/// Rounded down, so that base shares and lent slots together are never more than the limit.
pub(super) fn base_slots(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share).floor() as u32
}

/// What is left to lend of one workspace's limits.
#[derive(Debug, Default)]
struct Pool {
    requests: Option<Rate>,
    tokens: Option<Rate>,
    /// When something was asked for last.
    asked_at: Duration,
    /// Lent slots and when each is free again though nobody returned it.
    slots: BTreeMap<u64, Duration>,
    /// Earliest time at which a slot may be free again by itself.
    slots_due_at: Duration,
    denials: Denials,
    leases: Leases,
}

/// A bucket with its rate and capacity.
#[derive(Clone, Copy, Debug)]
struct Rate {
    bucket: Bucket,
    per_s: f64,
    /// What of the rate is leased, and does not fill the bucket.
    leased_per_s: f64,
    capacity: f64,
}

impl Rate {
    fn level(&self, now: Duration) -> f64 {
        self.filled(now).level()
    }

    fn filled(&self, now: Duration) -> Bucket {
        self.bucket.filled(now, (self.per_s - self.leased_per_s).max(0.0), self.capacity)
    }

    /// Fills the bucket, and goes on with another part leased.
    fn lease(&mut self, now: Duration, leased_per_s: f64) {
        self.bucket = self.filled(now);
        self.leased_per_s = leased_per_s;
    }
}

/// Lends allowances of the workspaces that this router owns.
#[derive(Debug)]
pub struct Lender {
    pools: HashMap<Name, Pool>,
    next_slot: u64,
    sweep_at: usize,
}

impl Lender {
    /// Makes a lender; `first_slot` must be drawn at random.
    ///
    /// What goes wrong otherwise: the number of a slot lent before a restart, or by another owner,
    /// names a slot lent since, whose return then frees it for two.
    pub fn new(first_slot: u64) -> Self {
        Self { pools: HashMap::new(), next_slot: first_slot, sweep_at: FIRST_SWEEP }
    }

    /// Returns the number of workspaces whose state is held.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Tells whether no workspace's state is held.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Answers a router's request for allowance.
    ///
    /// `owned_since` is when this router became the workspace's owner: it starts with one request
    /// to lend then, since the owner before may have lent all the rest an instant ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::admission::lending::{FleetLimits, Lender};
    /// use teaselworks_policy::admission::loan::{Ask, Grant};
    ///
    /// let limits = FleetLimits {
    ///     requests_per_s: Some(10.0),
    ///     tokens_per_s: None,
    ///     concurrent_requests: None,
    ///     live_routers: 8,
    /// };
    /// let workspace = "school".into();
    /// let ask =
    ///     Ask { workspace, requests: 4, tokens: 900, slot: false, slot_lease_ms: 0, wish: None };
    /// let now = Duration::from_secs(60);
    /// let grant = Lender::new(1).lend(now, Duration::ZERO, &limits, &ask);
    /// assert_eq!(grant, Grant::Lent { requests: 4, tokens: 900, slot: None, scarce: false });
    /// ```
    pub fn lend(
        &mut self,
        now: Duration,
        owned_since: Duration,
        limits: &FleetLimits,
        ask: &Ask,
    ) -> Grant {
        self.sweep(now);
        let slot = self.next_slot;
        let pool = self.pools.entry(ask.workspace.clone()).or_default();
        match pool.lend(now, owned_since, limits, ask, slot) {
            Ok(grant) => {
                self.next_slot = self.next_slot.wrapping_add(1);
                grant
            }
            Err((reason, wait)) => {
                let wait = pool.denials.time(now, wait);
                Grant::Denied { reason, wait_ms: wait.as_millis() as u64 }
            }
        }
    }

    /// Takes back a slot and corrects the tokens of a request that ended.
    pub fn settle(&mut self, settlement: &Settlement) {
        let Some(pool) = self.pools.get_mut(&settlement.workspace) else { return };
        if let Some(slot) = settlement.slot {
            pool.slots.remove(&slot);
        }
        if let Some(tokens) = &mut pool.tokens {
            tokens.bucket.adjust(-(settlement.extra_tokens as f64));
        }
    }

    /// Takes back a lease.
    pub fn end_lease(&mut self, end: &LeaseEnd) {
        if let Some(pool) = self.pools.get_mut(&end.workspace) {
            pool.leases.end(end);
        }
    }

    fn sweep(&mut self, now: Duration) {
        if self.pools.len() < self.sweep_at {
            return;
        }
        self.pools.retain(|_, pool| {
            pool.free_slots(now);
            pool.note_leases(now);
            let is_used = !pool.slots.is_empty() || !pool.leases.is_empty();
            is_used || !is_full(&pool.requests, now) || !is_full(&pool.tokens, now)
        });
        self.sweep_at = FIRST_SWEEP.max(self.pools.len() * 2);
    }
}

impl Pool {
    fn lend(
        &mut self,
        now: Duration,
        owned_since: Duration,
        limits: &FleetLimits,
        ask: &Ask,
        slot: u64,
    ) -> Result<Grant, (RefusalReason, Duration)> {
        // Another router lent meanwhile, and may have lent all that was saved up here.
        if owned_since > self.asked_at {
            (self.requests, self.tokens) = (None, None);
        }
        self.asked_at = now;
        self.note_leases(now);
        if let Some(grant) = self.lease(now, owned_since, limits, ask, slot) {
            return Ok(grant);
        }
        let slots_left = self.slots_left(now, limits);
        if ask.slot && slots_left == Some(0) {
            return Err((RefusalReason::Concurrency, SLOT_DENIAL));
        }
        let asked = ask.requests.max(1);
        let each_tokens = ask.tokens.div_ceil(u64::from(asked));
        let mut requests = rate(limits.requests_per_s, self.requests, now.min(owned_since), 1.0);
        let amount = each_tokens as f64;
        let mut tokens = rate(limits.tokens_per_s, self.tokens, now.min(owned_since), amount);
        let mut lent = 0;
        while lent < asked {
            let next = take(&requests, now, 1.0, RefusalReason::RequestRate)
                .and_then(|next| Ok((next, take(&tokens, now, amount, RefusalReason::TokenRate)?)));
            match next {
                Ok(next) => (requests, tokens) = next,
                Err(denial) if lent == 0 => return Err(denial),
                Err(_) => break,
            }
            lent += 1;
        }
        self.requests = requests;
        self.tokens = tokens;
        let slot = (ask.slot && slots_left.is_some()).then_some(slot);
        if let Some(slot) = slot {
            let lease = Duration::from_millis(ask.slot_lease_ms);
            let until = now.saturating_add(lease);
            self.slots_due_at = self.slots_due_at.min(until);
            self.slots.insert(slot, until);
        }
        let scarce = self.is_scarce(now, limits);
        let tokens = each_tokens * u64::from(lent);
        Ok(Grant::Lent { requests: lent, tokens, slot, scarce })
    }

    /// Takes in what is leased by now.
    fn note_leases(&mut self, now: Duration) {
        self.leases.expire(now);
        if let Some(rate) = &mut self.requests {
            rate.lease(now, self.leases.requests_per_s(now));
        }
        if let Some(rate) = &mut self.tokens {
            rate.lease(now, self.leases.tokens_per_s(now));
        }
    }

    /// Grants a lease, where the router wishes one and can have it, with the request asked for
    /// where it is there.
    fn lease(
        &mut self,
        now: Duration,
        owned_since: Duration,
        limits: &FleetLimits,
        ask: &Ask,
        number: u64,
    ) -> Option<Grant> {
        let wish = ask.wish.as_ref()?;
        self.free_slots(now);
        let lendable = lendable_slots(limits);
        let lent = self.slots.len() as u32;
        let part = 1.0 - BASE_FRACTION;
        let leasable = Leasable {
            requests_per_s: limits.requests_per_s.map(|limit| limit * part),
            tokens_per_s: limits.tokens_per_s.map(|limit| limit * part),
            slots: lendable.map(|slots| slots.saturating_sub(lent)),
            live_routers: limits.live_routers,
        };
        let lease = self.leases.grant(now, wish, &leasable, number)?;
        let tokens = ask.tokens.div_ceil(u64::from(ask.requests.max(1)));
        let one = Ask { requests: 1, tokens, slot: false, wish: None, ..ask.clone() };
        let lent = self.lend(now, owned_since, limits, &one, number);
        self.note_leases(now);
        Some(match lent {
            Ok(Grant::Lent { requests, tokens, .. }) => Grant::Leased { requests, tokens, lease },
            _ => Grant::Leased { requests: 0, tokens: 0, lease },
        })
    }

    /// Frees the slots that nobody returned, at a cost that does not grow with each question.
    fn free_slots(&mut self, now: Duration) {
        if now < self.slots_due_at {
            return;
        }
        self.slots.retain(|_, until| *until > now);
        self.slots_due_at = self.slots.values().min().copied().unwrap_or(Duration::MAX);
    }

    /// Tells whether little of anything is left to lend.
    fn is_scarce(&mut self, now: Duration, limits: &FleetLimits) -> bool {
        let slots_left = self.slots_left(now, limits).zip(limits.concurrent_requests);
        slots_left.is_some_and(|(left, limit)| f64::from(left) < SCARCE * f64::from(limit))
            || is_below(&self.requests, now, SCARCE)
            || is_below(&self.tokens, now, SCARCE)
    }

    /// Returns how many slots can be lent; `None` without a limit.
    fn slots_left(&mut self, now: Duration, limits: &FleetLimits) -> Option<u32> {
        let lendable = lendable_slots(limits)?;
        self.free_slots(now);
        let lent = self.slots.len() as u32;
        Some(lendable.saturating_sub(lent.saturating_add(self.leases.slots())))
    }
}

/// Returns how many slots base shares leave over; `None` without a limit.
fn lendable_slots(limits: &FleetLimits) -> Option<u32> {
    let limit = limits.concurrent_requests?;
    let base = base_slots(limit, base_share(limits.live_routers));
    Some(limit.saturating_sub(base.saturating_mul(limits.live_routers)))
}

/// Returns what is lent of a limit to requests of `amount`; a bucket seen for the first time held
/// one of them at `since`.
///
/// What goes wrong if it was empty: a workspace of one request a minute is refused for a minute
/// after every change of its owner.
fn rate(limit: Option<f64>, known: Option<Rate>, since: Duration, amount: f64) -> Option<Rate> {
    let per_s = limit? * (1.0 - BASE_FRACTION);
    let capacity = saved(per_s).max(LEAST_BURST * amount);
    let bucket = known.map_or_else(|| Bucket::new(since, amount), |rate| rate.bucket);
    let leased_per_s = known.map_or(0.0, |rate| rate.leased_per_s);
    Some(Rate { bucket, per_s, leased_per_s, capacity })
}

fn take(
    rate: &Option<Rate>,
    now: Duration,
    amount: f64,
    reason: RefusalReason,
) -> Result<Option<Rate>, (RefusalReason, Duration)> {
    let Some(rate) = rate else { return Ok(None) };
    let per_s = (rate.per_s - rate.leased_per_s).max(0.0);
    let taken = rate.bucket.take(now, per_s, rate.capacity, amount);
    let bucket = taken.map_err(|wait| (reason, wait))?;
    Ok(Some(Rate { bucket, ..*rate }))
}

fn is_below(rate: &Option<Rate>, now: Duration, part: f64) -> bool {
    rate.is_some_and(|rate| rate.level(now) < part * rate.capacity)
}

fn is_full(rate: &Option<Rate>, now: Duration) -> bool {
    rate.is_none_or(|rate| rate.bucket.full_at(rate.per_s, rate.capacity) <= now)
}
