//! One look at every replica of a service: what they hold together, and the first few of a key.

use std::sync::Arc;
use std::time::Duration;

use super::{PlacementRequest, rendezvous_score};
use crate::upstream::{Foreign, Member, Pool, Usual};

/// Replicas of a key's order that are kept; where none of them has room, the order ends.
const FIRST: usize = 4;

/// Part of a service's slots beyond which nearly all are taken.
const CROWDED: f64 = 0.9;

/// The members with the highest scores, in order.
struct Top<'a, const N: usize> {
    scores: [u64; N],
    members: [Option<&'a Member>; N],
}

impl<'a, const N: usize> Top<'a, N> {
    fn new() -> Self {
        Self { scores: [0; N], members: [None; N] }
    }

    fn add(&mut self, score: u64, member: &'a Member) {
        if score <= self.scores[N - 1] {
            return;
        }
        let mut place = N - 1;
        while place > 0 && score > self.scores[place - 1] {
            self.scores[place] = self.scores[place - 1];
            self.members[place] = self.members[place - 1];
            place -= 1;
        }
        self.scores[place] = score;
        self.members[place] = Some(member);
    }

    fn iter(&self) -> impl Iterator<Item = &'a Member> + use<'a, '_, N> {
        self.members.iter().flatten().copied()
    }
}

/// What a look at the replicas of a service found.
pub(super) struct Scan<'a> {
    pool: &'a Pool,
    now: Duration,
    tried: &'a [Arc<str>],
    key: Option<u64>,
    only_usable: bool,
    count: usize,
    /// Requests there, as far as they are known.
    known: f64,
    /// Replicas of whose other requests nothing is known, with parts.
    unknown: f64,
    slots: u32,
    usual: Usual,
    first: Top<'a, FIRST>,
    /// Members that may lend what they keep of a prompt.
    lenders: Top<'a, 2>,
}

impl<'a> Scan<'a> {
    /// Looks at the replicas that a request may be sent to; `None` where there is none.
    ///
    /// At least half of a service stays in use: where more seem ill, the fault lies elsewhere.
    pub(super) fn new(
        pool: &'a Pool,
        now: Duration,
        request: &PlacementRequest<'a>,
        key: Option<u64>,
        routers: u32,
    ) -> Option<Self> {
        let mut scan = Self {
            pool,
            now,
            tried: request.tried,
            key,
            only_usable: true,
            count: 0,
            known: 0.0,
            unknown: 0.0,
            slots: 0,
            usual: Usual { foreign: 0.0, own: 0.0, routers },
            first: Top::new(),
            lenders: Top::new(),
        };
        let open_count = scan.look(routers);
        if scan.count * 2 < open_count {
            scan.only_usable = false;
            scan.first = Top::new();
            scan.lenders = Top::new();
            scan.look(routers);
        }
        (scan.count > 0).then_some(scan)
    }

    /// Takes the sums over all candidates; returns how many there would be with the ejected ones.
    fn look(&mut self, routers: u32) -> usize {
        let (mut own, mut reported, mut trusted) = (0_u32, 0.0, 0.0);
        let (mut open_count, mut count, mut slots) = (0, 0, 0_u32);
        for member in self.pool.members() {
            let score = self.key.map_or(0, |key| rendezvous_score(key, member.identity));
            let is_usable = member.health.is_usable(self.now);
            if is_usable && self.key.is_some() && !member.is_blank && !member.is_suspended {
                self.lenders.add(score, member);
            }
            if !is_open(member, self.tried) {
                continue;
            }
            open_count += 1;
            if self.only_usable && !is_usable {
                continue;
            }
            count += 1;
            own += member.load.own();
            slots = slots.saturating_add(member.upstream.slots);
            if let Some(Foreign { requests, trust }) = member.load.foreign(self.now, routers) {
                reported += requests * trust;
                trusted += trust;
            }
            self.first.add(score, member);
        }
        let own = f64::from(own);
        self.count = count;
        self.slots = slots;
        self.known = own + reported;
        self.unknown = count as f64 - trusted;
        // As many for each other router as this one has, where no replica says it. By the guess
        // alone, one own request at a replica that has not reported lately would count for as many
        // as there are routers.
        let guessed = own * f64::from(routers.saturating_sub(1)) / count.max(1) as f64;
        self.usual.own = own / count.max(1) as f64;
        self.usual.foreign = if trusted > 0.0 { reported / trusted } else { guessed };
        open_count
    }

    fn is_candidate(&self, member: &Member) -> bool {
        is_open(member, self.tried) && (!self.only_usable || member.health.is_usable(self.now))
    }

    /// Returns what other routers usually have at a replica.
    pub(super) fn usual(&self) -> &Usual {
        &self.usual
    }

    fn total_load(&self) -> f64 {
        self.known + self.unknown * self.usual.foreign
    }

    /// Returns the mean number of requests at a replica.
    pub(super) fn mean_load(&self) -> f64 {
        self.total_load() / self.count as f64
    }

    /// Tells whether nearly all slots are taken.
    pub(super) fn is_crowded(&self) -> bool {
        self.total_load() >= CROWDED * f64::from(self.slots)
    }

    /// Returns the number of replicas that the request may be sent to.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Returns the replicas that the request may be sent to, in the order of their listing.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &'a Member> {
        self.pool.members().iter().filter(|member| self.is_candidate(member))
    }

    /// Returns the first replicas in the key's order.
    pub(super) fn first(&self) -> impl Iterator<Item = &'a Member> {
        self.first.iter()
    }

    /// Returns the replica, other than the chosen one, that most likely holds the prompt of the key:
    /// the first in the key's order, also where it drains, or the second where that one was chosen.
    ///
    /// The second was the first before the chosen one was added. A copy takes less of an engine's
    /// time than reading the prompt again.
    pub(super) fn holder(&self, chosen: &Member) -> Option<&'a Member> {
        self.lenders.iter().find(|member| member.upstream.id != chosen.upstream.id)
    }
}

fn is_open(member: &Member, tried: &[Arc<str>]) -> bool {
    let is_listed = !member.is_draining && !member.is_suspended;
    is_listed && (tried.is_empty() || !tried.contains(&member.upstream.id))
}
