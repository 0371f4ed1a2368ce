//! What happens to the routers: kills, time, and drawn steps; and the end of all of it.

use std::time::Duration;

use teaselworks_policy::usage::{Ledger, Source};

use crate::world::{Attempt, ROUTERS, Router, World, name};

impl World {
    pub fn is_held(&self, index: usize, but: Option<usize>) -> bool {
        let key = self.attempts[index].key;
        let mut routers = self.routers.iter().enumerate();
        routers.any(|(router, state)| Some(router) != but && state.ledger.holds(key))
    }

    /// Tells whether an attempt is charged, or still will be, when `dead` is killed.
    pub fn survives(&self, index: usize, dead: usize) -> bool {
        if self.count(index) == 1 || self.is_held(index, Some(dead)) {
            return true;
        }
        let Attempt { key, owner, incarnation, entry, holder, running, .. } = self.attempts[index];
        if running && dead == entry && dead != owner {
            return true;
        }
        let holder = if running { self.partner(entry, owner) } else { holder };
        let seen = running || self.routers[entry].ledger.has_seen(key);
        let source = Source { router: name(owner), incarnation };
        let knows = |holder: usize| self.routers[holder].ledger.knows(&source);
        seen && entry != dead && holder.is_some_and(|holder| holder != dead && knows(holder))
    }

    /// Kills a router and starts it anew with empty memory; returns whether it did. With `gently`
    /// only one whose use another router or the platform holds too.
    pub fn kill(&mut self, router: usize, gently: bool) -> bool {
        let attempts = 0..self.attempts.len();
        let lost: Vec<usize> = attempts.filter(|index| !self.survives(*index, router)).collect();
        let is_expected = |index: &usize| {
            // Only the router itself saw it, and tells it once in a while.
            let Attempt { owner, entry, running, .. } = self.attempts[*index];
            running && owner == entry || self.may_be_lost.contains(index)
        };
        if gently && !lost.iter().all(is_expected) {
            return false;
        }
        self.may_be_lost.extend(lost);
        self.end_running(Some(router), |it| it.owner == router || it.entry == router);
        let state = &mut self.routers[router];
        state.incarnation += 1_000_000;
        let source = Source { router: name(router), incarnation: state.incarnation };
        state.ledger = Ledger::new(source);
        true
    }

    pub fn act(&mut self, (kind, first, second): (u8, u8, u8), gently: bool) {
        let router = usize::from(first) % ROUTERS;
        let (position, second) = (usize::from(first), usize::from(second));
        match kind {
            0..15 => self.begin(router, second % ROUTERS),
            15..22 => self.end_running(None, |attempt| attempt.owner == router),
            22..25 => self.progress(router),
            25..60 => self.tick(router),
            60..110 => self.deliver(position, 0),
            110..125 => self.deliver(position, 1 + second as u8 % 2),
            125..150 => self.platform_step(position, 0),
            150..165 => self.platform_step(position, 1 + second as u8 % 2),
            165..200 => self.now += Duration::from_millis(100 * second as u64),
            200..215 => {
                let other = second % ROUTERS;
                if other != router && !self.routers[router].view.remove(&other) {
                    self.routers[router].view.insert(other);
                }
            }
            _ => drop(self.kill(router, gently)),
        }
        self.note_dropped_claims();
        for index in 0..self.attempts.len() {
            assert!(self.count(index) <= 1, "attempt {index} is charged twice");
            let Attempt { key, running, entry, .. } = self.attempts[index];
            let seen = running || self.routers[entry].ledger.has_seen(key);
            let somewhere = seen || self.count(index) == 1 || self.is_held(index, None);
            assert!(somewhere || self.may_be_lost.contains(&index), "attempt {index} is nowhere");
        }
    }

    pub fn note_dropped_claims(&mut self) {
        for router in &mut self.routers {
            for key in router.ledger.take_dropped_claims() {
                let index = self.attempts.iter().position(|attempt| attempt.key == key);
                self.may_be_lost.extend(index);
            }
        }
    }

    /// Lets seconds pass in which every message arrives, and the platform answers or does not.
    pub fn run(&mut self, seconds: u64, platform_up: bool) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            (0..ROUTERS).for_each(|router| self.tick(router));
            while !self.messages.is_empty() {
                self.deliver(0, 0);
            }
            while !self.steps.is_empty() {
                self.platform_step(0, u8::from(!platform_up));
            }
        }
    }

    /// Lets every router see all others and every message arrive, until nothing is held.
    pub fn settle(&mut self) {
        for router in &mut self.routers {
            router.view = (0..ROUTERS).collect();
        }
        self.end_running(None, |_| true);
        let seen = |world: &Self, attempt: &Attempt| {
            world.routers[attempt.entry].ledger.has_seen(attempt.key)
        };
        let busy = |world: &Self| {
            let held = |router: &Router| router.ledger.held_charges() != (0, 0);
            let seen = |attempt: &Attempt| seen(world, attempt);
            world.routers.iter().any(held) || world.attempts.iter().any(seen)
        };
        for _ in 0..400 {
            self.note_dropped_claims();
            if !busy(self) {
                return;
            }
            self.run(1, true);
        }
        panic!("use is never brought to an end");
    }
}
