//! Since when this router owns a replica, and until when a former owner may still act.

use std::collections::BTreeMap;
use std::time::Duration;

use super::machine::Membership;
use super::standing::Standing;
use super::view::{Place, RouterState, View, owner_of};
use crate::name::Name;

/// What this router may do for a replica now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// Another router owns it, or nobody.
    Elsewhere,
    /// It is this router's by its view, but the view may be old: it must not act.
    Unconfirmed {
        /// When it may act by itself if still nobody answers, as a reading of the clock.
        until: Duration,
    },
    /// This router owns it.
    Mine {
        /// Since when.
        since: Duration,
        /// From when on no former owner acts any more, unless the fleet is split. When it splits,
        /// this moves on though the owner stays: the far side names owners of its own.
        exclusive_from: Duration,
    },
}

#[derive(Clone, Debug)]
struct Holding {
    owner: Option<Name>,
    since: Duration,
    exclusive_from: Duration,
}

/// Follows the owners of a set of replicas through changes of the view.
///
/// How long two routers both act for one replica, at worst, by the cause of the change:
///
/// - planned stop: not at all for new work; the old owner stops before anyone hears of it. What
///   it has in progress finishes, and shows only in the engine's own report.
/// - crash: not at all.
/// - the owner lost by everyone at once, or paused: not at all, apart from a decision in hand
///   when the pause began, if it was last accused after its last proof; at most
///   [`Timing::confirm_window`](super::Timing::confirm_window) if an earlier accusation was open.
/// - the owner lost by some and not by others, a false accusation, or its return: at most
///   [`Timing::overlap_limit`](super::Timing::overlap_limit). `exclusive_from` allows for this
///   longest case, since the successor can't tell it from the others.
/// - a split: as long as it lasts, each side has an owner, since neither side may stop serving
///   its callers. [`View::reached_share`] tells each side its share of a common limit.
///
/// Ownership is therefore no lock: what must never happen twice goes through the platform.
#[derive(Clone, Debug)]
pub struct OwnershipClock {
    me: Name,
    holdings: BTreeMap<Name, Holding>,
    places: BTreeMap<Name, Option<Place>>,
    /// Routers that may run on the far side of a split, by the last view.
    split_off: usize,
}

impl OwnershipClock {
    /// Makes a clock that follows nothing yet.
    ///
    /// ```
    /// use teaselworks_policy::membership::OwnershipClock;
    ///
    /// let clock = OwnershipClock::new("sfax-a-1".into());
    /// assert!(clock.owner("engine-1").is_none());
    /// ```
    pub fn new(me: Name) -> Self {
        Self { me, holdings: BTreeMap::new(), places: BTreeMap::new(), split_off: 0 }
    }

    /// Sets the replicas that are followed, each with the place its owner is taken from.
    pub fn set_replicas(
        &mut self,
        now: Duration,
        membership: &Membership,
        replicas: impl IntoIterator<Item = (Name, Option<Place>)>,
    ) {
        self.places = replicas.into_iter().collect();
        self.holdings.retain(|replica, _| self.places.contains_key(replica));
        self.on_view(now, &membership.view(), membership.overlap_limit());
    }

    /// Takes a changed view; `overlap` is the membership's overlap limit.
    pub fn on_view(&mut self, now: Duration, view: &View, overlap: Duration) {
        // Each further loss may be of a router that owns on the far side.
        let split_off = view.split_off();
        let splits = split_off > std::mem::replace(&mut self.split_off, split_off);
        for (replica, place) in &self.places {
            let owner = owner_of(view, replica, place.as_ref()).map(|owner| owner.name.clone());
            let Some(holding) = self.holdings.get_mut(replica) else {
                let holding = Holding { owner, since: now, exclusive_from: now + overlap };
                self.holdings.insert(replica.clone(), holding);
                continue;
            };
            if holding.owner == owner {
                if splits {
                    holding.exclusive_from = holding.exclusive_from.max(now + overlap);
                }
                continue;
            }
            let former = holding.owner.as_ref().and_then(|former| view.router(former));
            let left = former.is_some_and(|former| former.state == RouterState::Leaving);
            let overlap = if left { Duration::ZERO } else { overlap };
            holding.exclusive_from = holding.exclusive_from.max(now + overlap);
            holding.since = now;
            holding.owner = owner;
        }
    }

    /// Returns the owner of a followed replica.
    pub fn owner(&self, replica: &str) -> Option<&Name> {
        self.holdings.get(replica)?.owner.as_ref()
    }

    /// Tells what this router may do for a replica; asked right before each act.
    pub fn duty(&self, now: Duration, membership: &Membership, replica: &str) -> Duty {
        let Some(holding) = self.holdings.get(replica) else { return Duty::Elsewhere };
        if holding.owner.as_ref() != Some(&self.me) {
            return Duty::Elsewhere;
        }
        if let Standing::Unconfirmed { until } = membership.standing(now) {
            return Duty::Unconfirmed { until };
        }
        let able_since = membership.owner_since();
        let exclusive_from = holding.exclusive_from.max(able_since + membership.overlap_limit());
        Duty::Mine { since: holding.since.max(able_since), exclusive_from }
    }
}
