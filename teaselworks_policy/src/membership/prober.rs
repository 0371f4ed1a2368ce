//! Which router is probed next, and what became of the probes under way.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::name::Name;

/// Number of a call, for matching its answer.
pub type CallId = u64;

/// Why a call was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// Probes the callee.
    Probe,
    /// Asks the callee to probe another router.
    Relay,
    /// Fetches records.
    Sync,
    /// Delivers news.
    Push,
}

/// A call whose answer is awaited.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) cause: Cause,
    pub(super) callee: Name,
    /// Router that the probe is about.
    pub(super) target: Name,
    pub(super) started: Duration,
    pub(super) deadline: Duration,
}

/// One router that was asked for a sign of life.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) deadline: Duration,
    /// Whether the direct probe failed.
    pub(super) direct_failed: bool,
    /// Whether others were asked to probe.
    pub(super) relayed: bool,
}

/// Order of probes and the calls under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Prober {
    order: Vec<Name>,
    calls: BTreeMap<CallId, Pending>,
    rounds: BTreeMap<Name, Round>,
    last_call: CallId,
}

impl Prober {
    /// Returns the next router in a random order in which each comes once, `None` when there is
    /// none; `members` names those that can be probed, `skip` those that need it least.
    pub(super) fn next(
        &mut self,
        members: impl Fn() -> Vec<Name>,
        skip: impl Fn(&Name) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let mut fallback = None;
        let mut refilled = false;
        loop {
            let Some(router) = self.order.pop() else {
                if refilled {
                    return fallback;
                }
                refilled = true;
                self.order = members();
                self.order.shuffle(rng);
                continue;
            };
            if !skip(&router) {
                return Some(router);
            }
            fallback.get_or_insert(router);
        }
    }

    /// Starts a call.
    pub(super) fn start(&mut self, pending: Pending) -> CallId {
        self.last_call += 1;
        self.calls.insert(self.last_call, pending);
        self.last_call
    }

    /// Ends a call; `None` when it has ended already.
    pub(super) fn end(&mut self, call: CallId) -> Option<Pending> {
        self.calls.remove(&call)
    }

    /// Returns the calls whose deadline has passed.
    pub(super) fn overdue(&self, now: Duration) -> Vec<CallId> {
        let overdue = self.calls.iter().filter(|(_, pending)| pending.deadline <= now);
        overdue.map(|(call, _)| *call).collect()
    }

    /// Opens a round about a router, unless one is open.
    pub(super) fn open_round(&mut self, router: &Name, deadline: Duration) -> bool {
        if self.rounds.contains_key(router) {
            return false;
        }
        let round = Round { deadline, direct_failed: false, relayed: false };
        self.rounds.insert(router.clone(), round);
        true
    }

    pub(super) fn round_mut(&mut self, router: &str) -> Option<&mut Round> {
        self.rounds.get_mut(router)
    }

    /// Returns the routers whose direct probe failed and that nobody else was asked about yet.
    pub(super) fn take_unrelayed(&mut self) -> Vec<Name> {
        let mut unrelayed = Vec::new();
        for (router, round) in &mut self.rounds {
            if round.direct_failed && !round.relayed {
                round.relayed = true;
                unrelayed.push(router.clone());
            }
        }
        unrelayed
    }

    /// Ends a round with a sign of life.
    pub(super) fn close_round(&mut self, router: &str) {
        self.rounds.remove(router);
    }

    /// Ends the rounds whose time is up; returns the routers that stayed silent.
    pub(super) fn silent(&mut self, now: Duration) -> Vec<Name> {
        self.rounds
            .extract_if(.., |_, round| round.deadline <= now)
            .map(|(router, _)| router)
            .collect()
    }
}
