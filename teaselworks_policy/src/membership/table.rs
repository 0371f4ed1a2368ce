//! Every known router with its record, and what this router itself saw of it.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record::{Details, Liveness, Record, Update};
use super::view::{RouterInfo, RouterState, View};
use crate::name::Name;

/// Groups of routers that are compared and exchanged as one.
pub(super) const GROUPS: usize = 16;

/// How long a lost router is remembered, so that old news don't bring it back.
pub(super) const RETENTION: Duration = Duration::from_secs(600);

/// Fleet in which every router probes every other one.
const SMALL_FLEET: usize = 17;

/// Keeps a router's place on the ring apart from its group.
const RING_SEED: u64 = 1;

/// One router as this router knows it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: Record,
    pub(super) details: Details,
    /// When it last gave a sign of life to this router.
    pub(super) heard: Option<Duration>,
    /// Whether this router accuses it.
    pub(super) accused: bool,
    /// When it is taken for dead, if suspicion lasts.
    pub(super) dead_at: Option<Duration>,
    /// When it was taken for dead.
    pub(super) dead_since: Duration,
    /// Whether the platform's list names it.
    pub(super) listed: bool,
}

impl Member {
    /// Tells whether it was lost without leaving: it may run, cut off or paused.
    pub(super) fn is_lost(&self) -> bool {
        self.record.liveness == Liveness::Dead && !self.record.leaving && self.listed
    }
}

/// What became of news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Merged {
    /// They said nothing new.
    Unchanged,
    /// The record changed.
    Changed,
    /// They are about a router, or an incarnation of one, whose address is not known.
    Unknown,
}

/// Every known router, this one included.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    members: BTreeMap<Name, Member>,
    digests: [u32; GROUPS],
    /// Routers that are not dead, in an order that every router computes alike.
    ring: Vec<Name>,
    suspects: usize,
    lost: usize,
    /// Whether suspects are shown as dead, since this router goes on by itself.
    alone: bool,
    version: u64,
    dirty: bool,
}

impl Table {
    pub(super) fn get(&self, router: &str) -> Option<&Member> {
        self.members.get(router)
    }

    pub(super) fn get_mut(&mut self, router: &str) -> Option<&mut Member> {
        self.members.get_mut(router)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// Returns the number of routers that were not dead at the last snapshot.
    pub(super) fn live(&self) -> usize {
        self.ring.len()
    }

    /// Returns the routers that `me` probes.
    ///
    /// In a small fleet these are all others. In a large one they lie 1, 2, 3, 4, 6, 8, 12, ...
    /// places ahead on the ring: news still reach everyone in as many rounds as there are
    /// doublings, everyone is probed by equally many, and a router needs links to few others.
    /// Probing all in turn would dial another router at nearly every probe, and the handshakes
    /// would cost several times what the probes do.
    pub(super) fn neighbours(&self, me: &Name) -> Vec<Name> {
        let ring = &self.ring;
        let Some(place) = ring.iter().position(|router| router == me) else { return Vec::new() };
        let ahead = |offset: usize| ring[(place + offset) % ring.len()].clone();
        if ring.len() <= SMALL_FLEET {
            return (1..ring.len()).map(ahead).collect();
        }
        let mut neighbours = vec![ahead(1)];
        let mut offset = 2;
        while offset < ring.len() {
            neighbours.push(ahead(offset));
            if offset + offset / 2 < ring.len() {
                neighbours.push(ahead(offset + offset / 2));
            }
            offset *= 2;
        }
        neighbours
    }

    /// Returns the number of routers that were suspected at the last snapshot.
    pub(super) fn suspects(&self) -> usize {
        self.suspects
    }

    /// Returns the number of routers that had been lost without leaving at the last snapshot.
    pub(super) fn lost(&self) -> usize {
        self.lost
    }

    /// Merges news; `now` dates a loss.
    pub(super) fn merge(&mut self, now: Duration, update: &Update) -> Merged {
        let Some(member) = self.members.get_mut(&update.router) else {
            return self.insert(now, update);
        };
        let before = member.record;
        let merged = before.merge(update.record);
        if merged == before {
            return Merged::Unchanged;
        }
        if merged.incarnation != before.incarnation {
            let Some(details) = &update.details else { return Merged::Unknown };
            member.details = details.clone();
            member.heard = None;
        }
        if merged.liveness == Liveness::Dead && before.liveness != Liveness::Dead {
            member.dead_since = now;
        }
        if merged.liveness != Liveness::Suspect {
            member.dead_at = None;
            member.accused = false;
        }
        member.record = merged;
        self.dirty = true;
        Merged::Changed
    }

    fn insert(&mut self, now: Duration, update: &Update) -> Merged {
        let Some(details) = &update.details else { return Merged::Unknown };
        let member = Member {
            record: update.record,
            details: details.clone(),
            heard: None,
            accused: false,
            dead_at: None,
            dead_since: now,
            listed: true,
        };
        self.members.insert(update.router.clone(), member);
        self.dirty = true;
        Merged::Changed
    }

    /// Notes which routers the platform's list names.
    pub(super) fn set_listed(&mut self, is_listed: impl Fn(&Name) -> bool) {
        for (router, member) in &mut self.members {
            let listed = is_listed(router);
            self.dirty |= member.listed != listed && member.record.liveness == Liveness::Dead;
            member.listed = listed;
        }
    }

    /// Forgets routers that were lost long ago and that the list does not name.
    pub(super) fn forget(&mut self, now: Duration) {
        let before = self.members.len();
        self.members.retain(|_, member| {
            let dead = member.record.liveness == Liveness::Dead;
            let ended = member.record.leaving || !member.listed;
            !(dead && ended && now.saturating_sub(member.dead_since) > RETENTION)
        });
        self.dirty |= self.members.len() != before;
    }

    /// Shows suspects as dead while this router goes on by itself.
    ///
    /// It can't tell whether they are lost or it is cut off. Their records stay as they are: as
    /// "dead" they would spread on its return, and every router would have to deny its loss.
    pub(super) fn set_alone(&mut self, alone: bool) {
        self.dirty |= self.alone != alone;
        self.alone = alone;
    }

    /// Builds a new snapshot if anything changed since the last one.
    pub(super) fn refresh(&mut self) -> Option<View> {
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        self.version += 1;
        self.digests = [0; GROUPS];
        self.lost = 0;
        self.suspects = 0;
        let mut ring = Vec::with_capacity(self.members.len());
        let mut routers = Vec::with_capacity(self.members.len());
        for (name, member) in &self.members {
            if member.record.liveness != Liveness::Dead {
                ring.push((xxh3_64_with_seed(name.as_bytes(), RING_SEED), name.clone()));
            }
            let suspect = member.record.liveness == Liveness::Suspect;
            let given_up = self.alone && suspect && !member.record.leaving;
            self.lost += usize::from(member.is_lost() || given_up);
            self.suspects += usize::from(suspect);
            self.digests[group_of(name)] ^= digest_of(name, member.record);
            routers.push(RouterInfo {
                name: name.clone(),
                incarnation: member.record.incarnation,
                address: member.details.address,
                place: member.details.place.clone(),
                state: if given_up { RouterState::Dead } else { member.record.state() },
            });
        }
        ring.sort();
        self.ring = ring.into_iter().map(|(_, router)| router).collect();
        Some(View::new(self.version, routers).with_lost(self.lost))
    }

    /// Returns the digest of every group as of the last snapshot.
    pub(super) fn digests(&self) -> &[u32; GROUPS] {
        &self.digests
    }

    /// Returns the digest of the whole table as of the last snapshot.
    pub(super) fn digest(&self) -> u32 {
        digest_of_groups(&self.digests)
    }

    /// Returns whole records of the groups that differ from a peer's digests.
    pub(super) fn differing(&self, digests: &[u32], limit: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        for turn in 0..GROUPS {
            // Not always from the first group on, or one that keeps changing would hold up the
            // rest.
            let group = (turn + self.version as usize) % GROUPS;
            if digests.get(group) == Some(&self.digests[group]) {
                continue;
            }
            for (name, member) in &self.members {
                if group_of(name) == group {
                    updates.push(full_update(name, member));
                }
            }
            if updates.len() >= limit {
                break;
            }
        }
        updates
    }
}

/// Returns what is known of a router, address included.
pub(super) fn full_update(router: &Name, member: &Member) -> Update {
    Update { router: router.clone(), record: member.record, details: Some(member.details.clone()) }
}

/// Returns the digest of a whole table from those of its groups.
pub(super) fn digest_of_groups(digests: &[u32]) -> u32 {
    digests.iter().fold(0, |sum, digest| sum.rotate_left(1) ^ digest)
}

fn group_of(router: &Name) -> usize {
    xxh3_64_with_seed(router.as_bytes(), 0) as usize % GROUPS
}

/// Digests what routers must agree on; suspicion is left out as it passes, and so are the lost,
/// as they are forgotten at different times.
fn digest_of(router: &Name, record: Record) -> u32 {
    if record.state() == RouterState::Dead {
        return 0;
    }
    let joining = u64::from(record.joining);
    let flags = joining | u64::from(record.leaving) << 1 | u64::from(record.revision) << 2;
    xxh3_64_with_seed(router.as_bytes(), record.incarnation ^ flags.rotate_left(40)) as u32
}
