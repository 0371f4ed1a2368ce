//! What the counting of use needs to know of the fleet.

use std::collections::BTreeMap;

use super::batch::Source;
use super::shard::Slot;
use crate::name::Name;

/// What the counting of use needs to know of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Router that holds the copies of this one, in another zone; `None` when there is no other.
    pub partner: Option<Name>,
    /// Owner of each shard, [`SHARDS`](super::SHARDS) in number; `None` when no router may own.
    pub owners: Vec<Option<Name>>,
    /// Incarnation of each router that is not taken for lost.
    pub live: BTreeMap<Name, u64>,
}

impl Fleet {
    /// Returns the owner of a slot.
    pub fn owner_of(&self, slot: Slot) -> Option<&Name> {
        self.owners.get(usize::from(slot.shard))?.as_ref()
    }

    /// Tells whether a process is taken for lost, or its router runs as a later one.
    ///
    /// ```
    /// use teaselworks_policy::usage::{Fleet, Source};
    ///
    /// let live = [("a".into(), 1_001), ("b".into(), 90_000)].into();
    /// let fleet = Fleet { live, ..Fleet::default() };
    /// let is_lost = |router: &str| fleet.is_lost(&Source { router: router.into(), incarnation: 1_000 });
    /// assert!(!is_lost("a"));
    /// assert!(is_lost("b"));
    /// assert!(is_lost("c"));
    /// ```
    pub fn is_lost(&self, source: &Source) -> bool {
        let incarnation = self.live.get(&source.router);
        incarnation.is_none_or(|incarnation| source.is_before(*incarnation))
    }
}
