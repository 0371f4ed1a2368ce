//! Which upstreams are leaving, from the lagging list and from peers that read it earlier.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::event::ListedState;
use super::rumours::Rumours;
use crate::name::Name;

/// How long the list must contradict a mark of leaving before it is believed.
///
/// The list lags, and its copies may differ: one that is behind would otherwise send new work to
/// an engine that shuts down, seen as requests cut at its end.
pub const LEAVING_HOLD: Duration = Duration::from_secs(60);

/// Longest time between two readings that count as one spell of contradiction.
///
/// Readings that lie further apart prove nothing about the time between: two single ones of a copy
/// that is behind would bring back an engine that shuts down.
const CONTRADICTION_GAP: Duration = Duration::from_secs(30);

/// Most news about upstreams that ride on one message.
pub const MAX_MARKS: usize = 4;

/// Marks of the latest stamps that one answer to a differing digest brings.
const LATEST_MARKS: usize = 24;

/// Marks of the others that it brings, in turn.
const OTHER_MARKS: usize = 8;

/// State of an upstream as one router read it from the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "PackedMark", into = "PackedMark")]
pub struct UpstreamMark {
    /// Name of the upstream.
    pub upstream: Name,
    /// Wall clock of the reading in milliseconds; the later mark prevails.
    pub stamp_ms: u64,
    /// Whether it is leaving; prevails at equal stamps.
    pub leaving: bool,
}

type PackedMark = (Name, u64, bool);

impl From<UpstreamMark> for PackedMark {
    fn from(mark: UpstreamMark) -> Self {
        (mark.upstream, mark.stamp_ms, mark.leaving)
    }
}

impl From<PackedMark> for UpstreamMark {
    fn from((upstream, stamp_ms, leaving): PackedMark) -> Self {
        Self { upstream, stamp_ms, leaving }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    stamp_ms: u64,
    leaving: bool,
    /// Readings by this router that contradict a mark of leaving.
    contradiction: Option<Contradiction>,
}

/// Readings in a row that call an upstream live or don't name it.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    since: Duration,
    last: Duration,
}

/// Upstreams that were ever marked leaving; all others are live.
#[derive(Clone, Debug, Default)]
pub struct UpstreamBoard {
    known: BTreeMap<Name, Known>,
    rumours: Rumours<UpstreamMark>,
    digest: u32,
    /// Where the next exchange of marks goes on.
    turn: usize,
}

impl UpstreamBoard {
    /// Tells whether the upstream gets no new work.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.known.get(upstream).is_some_and(|known| known.leaving)
    }

    /// Returns the upstreams that get no new work.
    pub fn leaving(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().filter(|(_, known)| known.leaving).map(|(upstream, _)| upstream)
    }

    /// Tells whether the list contradicts a mark of leaving that this router judges.
    pub(super) fn is_contradicted(&self) -> bool {
        self.known.values().any(|known| known.leaving && known.contradiction.is_some())
    }

    /// Takes a complete reading of the list; returns whether any state changed.
    ///
    /// Only the router that `judges` an upstream finds that it came back.
    pub fn on_list(
        &mut self,
        now: Duration,
        wall_ms: u64,
        listed: &[(Name, ListedState)],
        judges: impl Fn(&Name) -> bool,
    ) -> bool {
        let mut changed = false;
        for (upstream, state) in listed {
            if *state == ListedState::Leaving {
                changed |= self.mark_leaving(upstream, wall_ms);
            }
        }
        let contradicted: Vec<Name> = self
            .leaving()
            .filter(|known| {
                !listed
                    .iter()
                    .any(|(upstream, state)| upstream == *known && *state == ListedState::Leaving)
            })
            .cloned()
            .collect();
        for upstream in contradicted {
            let judged = judges(&upstream);
            changed |= self.contradict(now, wall_ms, &upstream, judged);
        }
        changed
    }

    fn mark_leaving(&mut self, upstream: &Name, wall_ms: u64) -> bool {
        if let Some(known) = self.known.get_mut(upstream)
            && known.leaving
        {
            known.contradiction = None;
            return false;
        }
        let stamp_ms = self.next_stamp(upstream, wall_ms);
        self.merge(UpstreamMark { upstream: upstream.clone(), stamp_ms, leaving: true })
    }

    fn contradict(&mut self, now: Duration, wall_ms: u64, upstream: &Name, judged: bool) -> bool {
        let Some(known) = self.known.get_mut(upstream) else { return false };
        if !judged {
            known.contradiction = None;
            return false;
        }
        let fresh = |spell: &Contradiction| now.saturating_sub(spell.last) <= CONTRADICTION_GAP;
        let since = known.contradiction.filter(fresh).map_or(now, |spell| spell.since);
        known.contradiction = Some(Contradiction { since, last: now });
        if now.saturating_sub(since) < LEAVING_HOLD {
            return false;
        }
        let stamp_ms = self.next_stamp(upstream, wall_ms);
        self.merge(UpstreamMark { upstream: upstream.clone(), stamp_ms, leaving: false })
    }

    fn next_stamp(&self, upstream: &Name, wall_ms: u64) -> u64 {
        self.known.get(upstream).map_or(wall_ms, |known| wall_ms.max(known.stamp_ms + 1))
    }

    /// Takes a peer's mark; returns whether the state changed.
    pub fn merge(&mut self, mark: UpstreamMark) -> bool {
        let rank = (mark.stamp_ms, mark.leaving);
        let known = self.known.get(&mark.upstream);
        if known.is_some_and(|known| (known.stamp_ms, known.leaving) >= rank) {
            return false;
        }
        let was_leaving = known.is_some_and(|known| known.leaving);
        let former = known.map_or(0, |known| digest_of(&mark.upstream, known));
        let entry = Known { stamp_ms: mark.stamp_ms, leaving: mark.leaving, contradiction: None };
        self.digest ^= former ^ digest_of(&mark.upstream, &entry);
        self.known.insert(mark.upstream.clone(), entry);
        let changed = was_leaving != mark.leaving;
        self.rumours.add(mark.upstream.clone(), mark);
        changed
    }

    /// Returns the digest of all marks of leaving.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }

    /// Tells whether news wait to be passed on.
    pub(super) fn has_news(&self) -> bool {
        !self.rumours.is_empty()
    }

    /// Returns marks for a peer whose digest differs: the latest, and some of the others in turn.
    pub(super) fn marks(&mut self) -> Vec<UpstreamMark> {
        let mark = |(upstream, known): (&Name, &Known)| UpstreamMark {
            upstream: upstream.clone(),
            stamp_ms: known.stamp_ms,
            leaving: known.leaving,
        };
        let mut marks: Vec<UpstreamMark> = self.known.iter().map(mark).collect();
        marks.sort_by_key(|mark| Reverse(mark.stamp_ms));
        let mut others = marks.split_off(marks.len().min(LATEST_MARKS));
        if !others.is_empty() {
            let place = self.turn % others.len();
            self.turn = self.turn.wrapping_add(OTHER_MARKS);
            others.rotate_left(place);
            others.truncate(OTHER_MARKS);
        }
        marks.extend(others);
        marks
    }

    /// Takes news for one message.
    pub(super) fn take_news(&mut self, repeats: u32) -> Vec<UpstreamMark> {
        self.rumours.take(MAX_MARKS, repeats)
    }
}

/// Digests a mark of leaving; upstreams that are live count for nothing, so that a router which
/// never heard of one agrees with those who did.
fn digest_of(upstream: &Name, known: &Known) -> u32 {
    if !known.leaving {
        return 0;
    }
    xxh3_64_with_seed(upstream.as_bytes(), known.stamp_ms) as u32
}
