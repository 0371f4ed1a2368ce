//! Leases of one workspace's limits, as its owner divides them between routers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::loan::{Lease, LeaseEnd, LeaseWish};

/// Part of what can be lent that leases may hold together; the rest is for routers that ask
/// seldom, and would otherwise be refused for as long as the surge of the others lasts.
const LEASED_PART: f64 = 0.98;
/// Time of a lease for each one that is held: 410 routers hold theirs for 16.4 s and renew them
/// 27 times a second together, and few routers follow each other's use within seconds.
const VALIDITY_EACH: Duration = Duration::from_millis(40);
/// Least time of a lease: of a router's first one, as the use may be over soon, and of one that is
/// less than the router's part, since others still hold more.
const SHORT_VALIDITY: Duration = Duration::from_secs(3);
/// Most that a lease grows by when it is renewed: how much a router uses is not known beforehand.
const GROWTH: f64 = 2.0;

/// What can be leased of each limit, where there is one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leasable {
    /// Requests a second.
    pub(super) requests_per_s: Option<f64>,
    /// Tokens a second.
    pub(super) tokens_per_s: Option<f64>,
    /// Slots, those lent for one request left out.
    pub(super) slots: Option<u32>,
    /// Routers between which it is divided.
    pub(super) live_routers: u32,
}

/// Rates that are held until a time.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    requests_per_s: f64,
    tokens_per_s: f64,
    until: Duration,
}

/// A lease as the owner counts it.
#[derive(Debug, Default)]
struct Entry {
    wish: Option<LeaseWish>,
    rates: Rates,
    /// Rates of the lease before, which its router uses until it has the answer, or, where that is
    /// lost, to their end.
    before: Rates,
    slots: u32,
    /// When requests on these slots have passed their deadlines.
    slots_until: Duration,
}

/// Part of one limit that a lease gets.
struct Part {
    amount: f64,
    /// Whether there was no more for it.
    is_closed: bool,
    /// Whether others hold what would be its part.
    is_short: bool,
}

/// Leases of one workspace by their numbers.
#[derive(Debug, Default)]
pub(super) struct Leases {
    entries: BTreeMap<u64, Entry>,
}

impl Leases {
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops leases of which nothing can be in use.
    pub(super) fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, entry| {
            if entry.rates.until <= now {
                entry.wish = None;
            }
            let rates_until = entry.rates.until.max(entry.before.until);
            rates_until > now || (entry.slots > 0 && entry.slots_until > now)
        });
    }

    /// Returns the requests a second that are leased.
    pub(super) fn requests_per_s(&self, now: Duration) -> f64 {
        self.entries.values().map(|entry| entry.held(now).requests_per_s).sum()
    }

    /// Returns the tokens a second that are leased.
    pub(super) fn tokens_per_s(&self, now: Duration) -> f64 {
        self.entries.values().map(|entry| entry.held(now).tokens_per_s).sum()
    }

    /// Returns the slots that are leased.
    pub(super) fn slots(&self) -> u32 {
        self.entries.values().map(|entry| entry.slots).sum()
    }

    /// Grants or renews a lease; `None` for a wish that arrives after a later one, and where each
    /// router's part of the tokens is less than a usual request.
    pub(super) fn grant(
        &mut self,
        now: Duration,
        wish: &LeaseWish,
        leasable: &Leasable,
        next_number: u64,
    ) -> Option<Lease> {
        let each_tokens = wish.tokens_per_s as f64 / f64::from(wish.requests_per_s.max(1));
        let routers = f64::from(leasable.live_routers.max(1));
        if leasable.tokens_per_s.is_some_and(|tokens| tokens / routers < each_tokens) {
            return None;
        }
        let known = wish.number.filter(|number| self.entries.contains_key(number));
        let number = known.unwrap_or(next_number);
        // Taken out, so that what is left in the list is what the others hold.
        let mut entry = self.entries.remove(&number).unwrap_or_default();
        if entry.wish.as_ref().is_some_and(|last| last.round > wish.round) {
            self.entries.insert(number, entry);
            return None;
        }
        let old = entry.rates;
        let others = |wished: fn(&LeaseWish) -> f64| {
            let wishes = self.entries.values().filter_map(|entry| entry.wish.as_ref());
            wishes.map(wished).collect::<Vec<f64>>()
        };
        let requests = leasable.requests_per_s.map(|total| {
            let wishes = others(|wish| wish.requests_per_s.into());
            let left = total * LEASED_PART - self.requests_per_s(now);
            let wished = wish.requests_per_s.into();
            part(total, left, wishes, wished, old.requests_per_s, routers)
        });
        let tokens = leasable.tokens_per_s.map(|total| {
            let wishes = others(|wish| wish.tokens_per_s as f64);
            let left = total * LEASED_PART - self.tokens_per_s(now);
            part(total, left, wishes, wish.tokens_per_s as f64, old.tokens_per_s, routers)
        });
        let slots = leasable.slots.map(|total| {
            let wishes = others(|wish| wish.slots.into());
            let left = (f64::from(total) * LEASED_PART).ceil() - f64::from(self.slots());
            let old_slots = entry.slots.into();
            let part = part(total.into(), left, wishes, wish.slots.into(), old_slots, routers);
            // Rounded up while there is one: what all round down is used by nobody.
            Part { amount: part.amount.ceil().min(left.max(0.0)), ..part }
        });
        let parts = || [&requests, &tokens, &slots].into_iter().flatten();
        let is_short = parts().any(|part| part.is_short);
        let is_brief = is_short || known.is_none();
        let count = if is_brief { 0 } else { self.entries.len() as u32 + 1 };
        let valid = SHORT_VALIDITY.max(VALIDITY_EACH.saturating_mul(count));
        let amount = |part: &Option<Part>| part.as_ref().map_or(0.0, |part| part.amount);
        let is_closed = |part: &Option<Part>| part.as_ref().is_some_and(|part| part.is_closed);
        let held_slots = if known.is_some() { wish.held_slots.min(entry.slots) } else { 0 };
        let lease = Lease {
            number,
            round: wish.round,
            requests_per_min: (amount(&requests) * 60.0) as u32,
            tokens_per_s: amount(&tokens) as u64,
            slots: held_slots.max(amount(&slots) as u32),
            valid_ms: valid.as_millis() as u64,
            longest_ms: wish.longest_ms,
            rates_closed: is_closed(&requests) || is_closed(&tokens),
            slots_closed: is_closed(&slots),
        };
        entry.note(now, wish, &lease);
        self.entries.insert(number, entry);
        Some(lease)
    }

    /// Takes back a lease but for the slots still in use.
    pub(super) fn end(&mut self, end: &LeaseEnd) {
        let Some(entry) = self.entries.get_mut(&end.number) else { return };
        if entry.wish.as_ref().is_some_and(|wish| wish.round > end.round) {
            return;
        }
        (entry.rates, entry.before) = (Rates::default(), Rates::default());
        entry.slots = entry.slots.min(end.held_slots);
        if entry.slots == 0 {
            self.entries.remove(&end.number);
        }
    }
}

impl Entry {
    /// Returns the most that the router may use.
    fn held(&self, now: Duration) -> Rates {
        let mut held = Rates::default();
        for rates in [&self.rates, &self.before] {
            if rates.until <= now {
                continue;
            }
            held.requests_per_s = held.requests_per_s.max(rates.requests_per_s);
            held.tokens_per_s = held.tokens_per_s.max(rates.tokens_per_s);
            held.until = held.until.max(rates.until);
        }
        held
    }

    fn note(&mut self, now: Duration, wish: &LeaseWish, lease: &Lease) {
        let until = now.saturating_add(Duration::from_millis(lease.valid_ms));
        let longest = Duration::from_millis(lease.longest_ms);
        self.before = self.held(now);
        self.rates = Rates {
            requests_per_s: lease.requests_per_s(),
            tokens_per_s: lease.tokens_per_s as f64,
            until,
        };
        self.slots = lease.slots;
        self.slots_until = self.slots_until.max(until.saturating_add(longest));
        self.wish = Some(wish.clone());
    }
}

/// Returns a router's part of one limit: what it wishes, but no more than is fair beside the
/// wishes of the others, than it may grow to, and than is `left`.
fn part(total: f64, left: f64, mut wishes: Vec<f64>, wished: f64, old: f64, routers: f64) -> Part {
    let total = total * LEASED_PART;
    wishes.push(wished);
    let fair = fair_level(wishes, total);
    let reach = wished.min((total / routers).max(GROWTH * old).max(1.0));
    let amount = reach.min(fair).min(left).max(0.0);
    Part { amount, is_closed: amount < reach, is_short: amount < 0.9 * reach.min(fair) }
}

/// Returns the level at which wishes are cut so that together they are at most `total`.
fn fair_level(mut wishes: Vec<f64>, total: f64) -> f64 {
    wishes.sort_by(f64::total_cmp);
    let (mut left, mut count) = (total, wishes.len());
    for wish in wishes {
        let level = left / count as f64;
        if wish > level {
            return level;
        }
        left -= wish;
        count -= 1;
    }
    f64::INFINITY
}
