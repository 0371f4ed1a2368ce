//! What a router does as time passes.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};

use super::machine::Membership;
use super::message::MessageKind;
use super::prober::Cause;
use super::record::{Liveness, Record, Update};
use super::standing::Standing;
use crate::name::Name;

/// Intervals between looks for lost routers and unknown ones from the list.
const SEEK_INTERVALS: u32 = 4;

/// Routers from the list that a lone router calls in one interval.
const JOIN_CALLS: usize = 3;

/// Probes of accused routers in an interval, beyond the regular one.
const EXTRA_PROBES: usize = 2;

/// Probes in an interval of routers that real traffic failed to reach.
const URGENT_PROBES: u32 = 2;

/// Routers that are told directly of a planned stop; the rest hear of it from these.
const LEAVE_CALLS: usize = 64;

/// Direct calls about a planned stop in one tick.
const LEAVE_CALLS_A_TICK: usize = 16;

/// Neighbours that get fresh news at once.
const NEWS_FANOUT: usize = 2;

/// Pushes of fresh news in an interval, so that a mass of news keeps within the control budget.
const PUSHES_AN_INTERVAL: f64 = 2.0;

/// Pushes that a quiet router may make at once.
const PUSH_BURST: f64 = 4.0;

/// Ticks that the caller makes in a probe interval.
pub const TICKS_AN_INTERVAL: u32 = 5;

/// Time without loss after which one loss is forgotten.
const FLAP_MEMORY: Duration = Duration::from_secs(300);

impl Membership {
    /// Runs what is due; called [`TICKS_AN_INTERVAL`] times in a probe interval, and after any
    /// pause.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) {
        self.standing.tick(now, self.alone_wait());
        if self.nobody_else() {
            self.standing.set_alone();
        }
        // The list may name mostly dead VMs while all routers that run have just started.
        self.synced |= now.saturating_sub(self.started) >= self.alone_wait();
        for call in self.prober.overdue(now) {
            self.on_failure(call);
        }
        for router in self.prober.take_unrelayed() {
            self.relay(now, &router, rng);
        }
        for router in self.prober.silent(now) {
            self.accuse(now, &router);
        }
        self.declare_losses(now);
        if now >= self.next_probe {
            self.next_probe = now + self.timing.probe_interval.mul_f64(rng.random_range(0.9..1.1));
            self.probe_due(now, rng);
            self.table.forget(now);
        }
        if now >= self.next_urgent
            && let Some(router) = self.urgent.pop_front()
        {
            self.next_urgent = now + self.timing.probe_interval / URGENT_PROBES;
            self.probe(now, &router);
        }
        if now >= self.next_seek {
            self.seek(now, rng);
        }
        self.give_notice(now, rng);
        self.settle(now);
        self.push_news(now, rng);
        self.restate(now);
        self.settle(now);
    }

    /// Gives every suspect its full time again.
    fn extend_suspicions(&mut self, now: Duration) {
        let deadline = now + self.timing.suspicion;
        for router in self.others() {
            let Some(member) = self.table.get_mut(&router) else { continue };
            member.dead_at = member.dead_at.map(|_| deadline);
        }
    }

    /// Tells whether the list names no other router and none is known that may run.
    pub(super) fn nobody_else(&self) -> bool {
        let gone = |router: &Name| {
            self.table.get(router).is_some_and(|member| {
                member.record.liveness == Liveness::Dead && member.record.leaving
            })
        };
        self.list_read && self.table.live() == 1 && self.contacts.keys().all(gone)
    }

    fn probe_due(&mut self, now: Duration, rng: &mut impl Rng) {
        let mut targets = self.extra_targets();
        if self.standing.proof_is_older(now, 2 * self.timing.probe_interval) {
            // The neighbours may be what failed: on the smaller side of a split most are gone.
            targets.extend(self.last_heard());
            targets.extend(self.others().choose(rng).cloned());
        }
        let interval = self.timing.probe_interval;
        let (table, me) = (&self.table, &self.me);
        let needless = |router: &Name| {
            let Some(member) = table.get(router) else { return true };
            let fresh = member.heard.is_some_and(|heard| now.saturating_sub(heard) < interval);
            fresh || member.record.liveness == Liveness::Dead
        };
        targets.extend(self.prober.next(|| table.neighbours(me), needless, rng));
        for router in targets {
            self.probe(now, &router);
        }
    }

    /// Returns the router that gave the latest sign of life.
    fn last_heard(&self) -> Option<Name> {
        let live = self.table.iter().filter(|(_, member)| member.record.liveness != Liveness::Dead);
        let (router, member) = live.max_by_key(|(_, member)| member.heard)?;
        member.heard.map(|_| router.clone())
    }

    /// Chooses routers that this router accuses, so that they hear of it and can deny it.
    fn extra_targets(&self) -> Vec<Name> {
        let mut targets: Vec<Name> = Vec::new();
        if self.table.suspects() == 0 {
            return targets;
        }
        for (router, member) in self.table.iter() {
            if targets.len() >= EXTRA_PROBES {
                break;
            }
            if member.accused && member.dead_at.is_some() && !targets.contains(router) {
                targets.push(router.clone());
            }
        }
        targets
    }

    fn probe(&mut self, now: Duration, router: &Name) {
        let live = self.table.get(router).is_some_and(|m| m.record.liveness != Liveness::Dead);
        let deadline = now + self.timing.round_time();
        if !live || !self.prober.open_round(router, deadline) {
            return;
        }
        self.call_probe(now, router);
    }

    fn call_probe(&mut self, now: Duration, router: &Name) {
        let Some(contact) = self.contact(router) else { return };
        let message = self.compose(MessageKind::Probe, router);
        self.call(now, contact, router, Cause::Probe, message);
    }

    /// Asks others to probe a router that does not answer this one.
    fn relay(&mut self, now: Duration, target: &Name, rng: &mut impl Rng) {
        let Some(contact) = self.contact(target) else { return };
        let neighbours = self.table.neighbours(&self.me);
        let helpers: Vec<&Name> = neighbours.iter().filter(|router| *router != target).collect();
        for helper in helpers.sample(rng, self.timing.indirect_probes) {
            let Some(to) = self.contact(helper) else { continue };
            let message = self.compose(MessageKind::Relay(contact.clone()), helper);
            self.call(now, to, target, Cause::Relay, message);
        }
    }

    fn accuse(&mut self, now: Duration, router: &Name) {
        let dead_at = now + self.timing.suspicion;
        let Some(member) = self.table.get_mut(router) else { return };
        if member.record.liveness == Liveness::Dead {
            return;
        }
        let accused = Record { liveness: Liveness::Suspect, ..member.record };
        self.table.merge(now, &Update { router: router.clone(), record: accused, details: None });
        let Some(member) = self.table.get_mut(router) else { return };
        member.accused = true;
        member.dead_at = Some(member.dead_at.map_or(dead_at, |earlier| earlier.min(dead_at)));
        self.spread(router);
    }

    fn declare_losses(&mut self, now: Duration) {
        if self.table.suspects() == 0 {
            return;
        }
        if !self.is_proved(now) {
            // The silence of others may be this router's own; its word would spread on its return.
            self.extend_suspicions(now);
            return;
        }
        let due = |at: Option<Duration>| at.is_some_and(|at| at <= now);
        let lost: Vec<(Name, Record)> = self
            .table
            .iter()
            .filter(|(_, member)| due(member.dead_at))
            .map(|(router, member)| (router.clone(), member.record))
            .collect();
        for (router, record) in lost {
            let record = Record { liveness: Liveness::Dead, ..record };
            self.table.merge(now, &Update { router: router.clone(), record, details: None });
            self.spread(&router);
            self.urgent_news = true;
        }
    }

    /// Passes on the record of a router whose place peers know.
    fn spread(&mut self, router: &Name) {
        let Some(member) = self.table.get(router) else { return };
        let news = Update { router: router.clone(), record: member.record, details: None };
        self.rumours.add(router.clone(), news);
    }

    /// Calls a router that was lost, or one that only the list names. After a split nobody probes
    /// the far side, so without these calls it would never heal.
    fn seek(&mut self, now: Duration, rng: &mut impl Rng) {
        let alone = self.table.live() == 1;
        let wait = if alone { 1 } else { SEEK_INTERVALS };
        self.next_seek = now + self.timing.probe_interval * wait;
        let lost = self.table.iter().filter(|(_, member)| member.is_lost()).map(|(name, _)| name);
        let unknown = self.contacts.keys().filter(|router| self.table.get(router).is_none());
        let sought: Vec<Name> = lost.chain(unknown).cloned().collect();
        let calls = if alone { JOIN_CALLS } else { 1 };
        for router in sought.sample(rng, calls) {
            self.call_probe(now, router);
        }
    }

    fn give_notice(&mut self, now: Duration, rng: &mut impl Rng) {
        if self.notices.len() > LEAVE_CALLS {
            self.notices.shuffle(rng);
            self.notices.truncate(LEAVE_CALLS);
        }
        let rest = self.notices.len().saturating_sub(LEAVE_CALLS_A_TICK);
        for router in self.notices.split_off(rest) {
            let Some(contact) = self.contact(&router) else { continue };
            let message = self.compose(MessageKind::Push, &router);
            self.call(now, contact, &router, Cause::Push, message);
        }
    }

    /// Hands fresh news to a few neighbours at once. Riding on probes alone, they would take a
    /// second or more in each round, and routers would disagree about owners for so long.
    fn push_news(&mut self, now: Duration, rng: &mut impl Rng) {
        let refill = PUSHES_AN_INTERVAL / f64::from(TICKS_AN_INTERVAL);
        self.push_tokens = (self.push_tokens + refill).min(PUSH_BURST);
        if !self.urgent_news || self.push_tokens < NEWS_FANOUT as f64 {
            return;
        }
        self.urgent_news = false;
        self.push_tokens -= NEWS_FANOUT as f64;
        for router in self.table.neighbours(&self.me).sample(rng, NEWS_FANOUT) {
            let Some(contact) = self.contact(router) else { continue };
            let message = self.compose(MessageKind::Push, router);
            self.call(now, contact, router, Cause::Push, message);
        }
    }

    /// Changes this router's own statement when its time has come.
    fn restate(&mut self, now: Duration) {
        let own = self.own();
        let ready = self.standing(now) == Standing::Confirmed && now >= self.hold_until;
        if own.joining && !own.leaving && ready {
            self.owner_since = now;
            self.state(now, Record { joining: false, ..own });
            return;
        }
        if own.flaps > 0 && now.saturating_sub(self.flapped_at) > FLAP_MEMORY {
            self.flapped_at = now;
            self.state(now, Record { flaps: own.flaps - 1, revision: own.revision + 1, ..own });
        }
    }
}
