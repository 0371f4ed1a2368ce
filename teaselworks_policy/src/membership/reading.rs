//! When a router reads the platform's list of VMs.
//!
//! Routers take turns, so that the fleet reads the list as often whatever its size: each turn is
//! one router's by rendezvous hashing, and two turns in a row are of two availability zones. What
//! a reading tells that is new is passed on as news. No router is a steady reader: one that died,
//! froze or lost its way to the list costs single turns.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::machine::Membership;
use super::standing::Standing;
use super::view::{View, owner_of, peer_elsewhere};
use crate::name::Name;

/// Turns in the time in which a router that relies on nobody reads the list once.
pub const TURNS_A_POLL: u32 = 3;

/// Time between readings by the router that judges whether an upstream came back.
const JUDGE_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which a router reads the list though it never had a turn: one that is no owner in
/// its own view has none, and the routers that the list names are learned by reading alone.
const LONGEST_INTERVAL: Duration = Duration::from_secs(1_800);

/// Share by which intervals vary, so that routers that started together don't read together.
const JITTER: f64 = 0.2;

/// Turns that are made up for after a late tick.
const LATE_TURNS: u64 = 4;

/// When this router last read the list, and the last turn that it looked at.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListClock {
    asked: Option<Duration>,
    jitter: f64,
    turn: Option<u64>,
}

impl Membership {
    /// Tells whether to read the list now; asked at each tick. `wall_ms` is the wall clock, by
    /// which routers agree on turns: clocks that differ make turns uneven, no more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use rand_pcg::Pcg64;
    /// use teaselworks_policy::membership::{Identity, Membership, Place, Timing};
    ///
    /// let identity = Identity {
    ///     name: "sfax-a-1".into(),
    ///     incarnation: 1,
    ///     address: "127.0.0.1:7000".parse().unwrap(),
    ///     place: Place { region: "sfax".into(), zone: "sfax-a".into() },
    /// };
    /// let mut membership = Membership::new(identity, Timing::default(), Duration::ZERO);
    /// let mut rng = Pcg64::seed_from_u64(1);
    /// assert!(membership.list_due(Duration::ZERO, 0, &mut rng), "a router that starts reads");
    /// assert!(!membership.list_due(Duration::ZERO, 0, &mut rng));
    /// ```
    pub fn list_due(&mut self, now: Duration, wall_ms: u64, rng: &mut impl Rng) -> bool {
        let turn = self.take_turns(wall_ms);
        let waited = self.list_clock.asked.map(|asked| now.saturating_sub(asked));
        let due = turn || waited.is_none_or(|waited| self.waited_enough(now, waited));
        if due {
            self.list_clock.asked = Some(now);
            self.list_clock.jitter = rng.random_range(0.0..JITTER);
        }
        due
    }

    /// Tells whether one of the turns since the last tick was this router's.
    fn take_turns(&mut self, wall_ms: u64) -> bool {
        let length_ms = (self.timing.list_poll / TURNS_A_POLL).as_millis().max(1) as u64;
        let turn = wall_ms / length_ms;
        let seen = self.list_clock.turn.replace(turn).unwrap_or(turn.saturating_sub(1));
        let first = (seen + 1).max(turn.saturating_sub(LATE_TURNS - 1));
        (first..=turn).any(|turn| self.reader(turn) == Some(&self.me))
    }

    /// Returns the router whose turn it is to read the list.
    ///
    /// The second one of a pair is in another zone: a zone that is cut off from the list would
    /// otherwise lose turns in a row, seen as an engine that gets work while it shuts down.
    fn reader(&self, turn: u64) -> Option<&Name> {
        let pair = format!("vm-list/{}", turn / 2);
        let first = owner_of(&self.view, &pair, None)?;
        if turn.is_multiple_of(2) {
            return Some(&first.name);
        }
        let second = peer_elsewhere(&self.view, &pair, first).unwrap_or(first);
        Some(&second.name)
    }

    /// Tells whether this router reads the list without a turn of its own.
    fn waited_enough(&self, now: Duration, waited: Duration) -> bool {
        let over = |interval: Duration| waited >= interval.mul_f64(1.0 - self.list_clock.jitter);
        if !over(self.timing.list_poll) {
            return false;
        }
        // Nobody's news reach a router that nobody answers.
        let by_itself = !self.list_read || self.standing(now) != Standing::Confirmed;
        let contradicted = self.upstreams.is_contradicted();
        let judges = |upstream: &Name| judge_of(&self.view, upstream) == Some(&self.me);
        by_itself
            || contradicted
            || over(LONGEST_INTERVAL)
            || (over(JUDGE_INTERVAL) && self.upstreams.leaving().any(judges))
    }
}

/// Returns the router that finds whether an upstream came back.
///
/// The evidence for that is a minute of readings by one router. If everyone judged, a mark would
/// either fall by two single readings of copies that are behind, seen as new work on an engine
/// that shuts down, or many routers would read often at once.
pub(super) fn judge_of<'a>(view: &'a View, upstream: &Name) -> Option<&'a Name> {
    owner_of(view, upstream, None).map(|judge| &judge.name)
}
