//! The replicas that a router may place work at, grouped by what they serve.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;

/// Workspaces that prefer one replica: about as many as an engine can hold the shared prompts of.
pub const WORKSPACES_PER_REPLICA: usize = 1_024;

/// Least replicas that a workspace prefers.
pub const LEAST_SPREAD: usize = 4;

/// Position of a replica in a [`ReplicaTable`]; stays the same until the replica is removed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaIndex(pub u32);

/// Part of a chat's work that an engine is set up for.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Prompt and answer.
    #[default]
    Whole,
    /// The prompt alone.
    Prefill,
    /// The answer alone.
    Decode,
}

/// What placement knows of one replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Model or service that the replica serves: the pool whose mean its load counts to.
    pub serves: Name,
    /// Further pools whose requests the replica may be asked for.
    pub also_serves: Vec<Name>,
    /// Version of the model that is loaded; `None` when unknown, which any request accepts.
    pub version: Option<Name>,
    /// Adapters that are loaded; `None` when unknown, which any request accepts.
    pub adapters: Option<Vec<Name>>,
    /// Part of the work that the replica does.
    pub phase: Phase,
    /// Whether the replica gets no new work.
    pub leaving: bool,
}

impl Replica {
    /// Makes a replica that does whole requests and whose version and adapters are unknown.
    ///
    /// ```
    /// use teaselworks_policy::placement::Replica;
    ///
    /// let replica = Replica::new("engine-1", "ljubljana", "dvorana-a", "ballad-8b");
    /// assert!(!replica.leaving);
    /// ```
    pub fn new(
        name: impl Into<Name>,
        region: impl Into<Name>,
        zone: impl Into<Name>,
        serves: impl Into<Name>,
    ) -> Self {
        Self {
            name: name.into(),
            region: region.into(),
            zone: zone.into(),
            serves: serves.into(),
            also_serves: Vec::new(),
            version: None,
            adapters: None,
            phase: Phase::Whole,
            leaving: false,
        }
    }
}

impl Replica {
    /// Returns every pool whose requests the replica may be asked for.
    fn pools(&self) -> impl Iterator<Item = &Name> {
        std::iter::once(&self.serves).chain(&self.also_serves)
    }
}

/// What ranking reads of one replica; kept small, since it reads a whole pool for each request.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) seed: u64,
    pub(super) index: ReplicaIndex,
    pub(super) region: u16,
    pub(super) zone: u16,
    pub(super) eligible: bool,
    /// Whether version, adapters or phase restrict what the replica accepts.
    pub(super) restricted: bool,
}

#[derive(Clone, Debug)]
struct Row {
    replica: Replica,
    reachable: bool,
}

/// Every replica that a router knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    rows: Vec<Option<Row>>,
    by_name: HashMap<Name, ReplicaIndex>,
    pools: HashMap<Name, Vec<Member>>,
    places: HashMap<Name, u16>,
    workspaces: usize,
}

impl ReplicaTable {
    /// Sets the number of workspaces; zero, as at first, lets each prefer every replica.
    ///
    /// ```
    /// use teaselworks_policy::placement::ReplicaTable;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.set_workspaces(18_000);
    /// ```
    pub fn set_workspaces(&mut self, workspaces: usize) {
        self.workspaces = workspaces;
    }

    /// Returns the share of a pool that a workspace prefers, as a part of `u64::MAX`.
    ///
    /// Each chat of a workspace begins with the same system messages. Spread over a large pool,
    /// many workspaces' beginnings crowd each engine's memory, and each is computed at every
    /// engine; one would see reuse fall as replicas are added. So a workspace's chats are homed
    /// at few replicas, and at any only when those are full.
    pub(super) fn preferred_share(&self, pool: usize) -> u64 {
        let spread = (pool * WORKSPACES_PER_REPLICA / self.workspaces.max(1)).max(LEAST_SPREAD);
        (u64::MAX / pool.max(1) as u64).saturating_mul(spread as u64)
    }

    /// Adds a replica, or replaces what is known of the one with its name.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Replica, ReplicaTable};
    ///
    /// let mut table = ReplicaTable::default();
    /// let index = table.upsert(Replica::new("engine-1", "r", "z", "m"));
    /// assert_eq!(table.upsert(Replica::new("engine-1", "r", "z", "other")), index);
    /// ```
    pub fn upsert(&mut self, replica: Replica) -> ReplicaIndex {
        let known = self.by_name.get(&replica.name).copied();
        let reachable = known.is_none_or(|index| self.is_reachable(index));
        if let Some(index) = known {
            self.leave_pool(index);
        }
        let index = known.unwrap_or_else(|| self.free_index());
        self.by_name.insert(replica.name.clone(), index);
        self.rows[index.0 as usize] = Some(Row { replica, reachable });
        self.join_pool(index);
        index
    }

    /// Forgets a replica; returns its former index.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Replica, ReplicaTable};
    ///
    /// let mut table = ReplicaTable::default();
    /// let index = table.upsert(Replica::new("engine-1", "r", "z", "m"));
    /// assert_eq!(table.remove("engine-1"), Some(index));
    /// assert_eq!(table.remove("engine-1"), None);
    /// ```
    pub fn remove(&mut self, name: &str) -> Option<ReplicaIndex> {
        let index = self.by_name.remove(name)?;
        self.leave_pool(index);
        self.rows[index.0 as usize] = None;
        Some(index)
    }

    /// Marks a replica as reachable or not from here: its circuit, or the link to its owner.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Replica, ReplicaTable};
    ///
    /// let mut table = ReplicaTable::default();
    /// let index = table.upsert(Replica::new("engine-1", "r", "z", "m"));
    /// table.set_reachable(index, false);
    /// assert!(!table.is_eligible(index));
    /// ```
    pub fn set_reachable(&mut self, index: ReplicaIndex, reachable: bool) {
        let Some(Some(row)) = self.rows.get_mut(index.0 as usize) else { return };
        if row.reachable == reachable {
            return;
        }
        row.reachable = reachable;
        let eligible = reachable && !row.replica.leaving;
        for serves in row.replica.pools() {
            let Some(pool) = self.pools.get_mut(serves) else { continue };
            for member in pool.iter_mut().filter(|member| member.index == index) {
                member.eligible = eligible;
            }
        }
    }

    /// Marks a replica as leaving; it gets no new work until it is added anew.
    ///
    /// ```
    /// use teaselworks_policy::placement::{Replica, ReplicaTable};
    ///
    /// let mut table = ReplicaTable::default();
    /// let index = table.upsert(Replica::new("engine-1", "r", "z", "m"));
    /// table.set_leaving(index);
    /// assert!(!table.is_eligible(index));
    /// ```
    pub fn set_leaving(&mut self, index: ReplicaIndex) {
        let Some(replica) = self.get(index) else { return };
        let replica = Replica { leaving: true, ..replica.clone() };
        self.upsert(replica);
    }

    /// Returns a replica by its index.
    pub fn get(&self, index: ReplicaIndex) -> Option<&Replica> {
        self.rows.get(index.0 as usize)?.as_ref().map(|row| &row.replica)
    }

    /// Returns the index of a replica by its name.
    pub fn index_of(&self, name: &str) -> Option<ReplicaIndex> {
        self.by_name.get(name).copied()
    }

    /// Tells whether a replica may get new work.
    pub fn is_eligible(&self, index: ReplicaIndex) -> bool {
        self.is_reachable(index) && self.get(index).is_some_and(|replica| !replica.leaving)
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Tells whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Lists every replica with its index.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaIndex, &Replica)> {
        let rows = self.rows.iter().zip(0..);
        rows.filter_map(|(row, index)| Some((ReplicaIndex(index), &row.as_ref()?.replica)))
    }

    pub(super) fn pool(&self, serves: &str) -> &[Member] {
        self.pools.get(serves).map_or(&[], Vec::as_slice)
    }

    pub(super) fn place(&self, name: &str) -> Option<u16> {
        self.places.get(name).copied()
    }

    fn is_reachable(&self, index: ReplicaIndex) -> bool {
        self.rows.get(index.0 as usize).and_then(Option::as_ref).is_some_and(|row| row.reachable)
    }

    fn free_index(&mut self) -> ReplicaIndex {
        let free = self.rows.iter().position(Option::is_none).unwrap_or(self.rows.len());
        if free == self.rows.len() {
            self.rows.push(None);
        }
        ReplicaIndex(u32::try_from(free).expect("replicas are fewer than u32::MAX"))
    }

    fn intern(&mut self, place: &Name) -> u16 {
        let next = u16::try_from(self.places.len()).expect("regions and zones are few");
        *self.places.entry(place.clone()).or_insert(next)
    }

    fn join_pool(&mut self, index: ReplicaIndex) {
        let Some(Some(row)) = self.rows.get(index.0 as usize) else { return };
        let Row { replica, reachable } = row.clone();
        let member = Member {
            seed: xxh3_64(replica.name.as_bytes()),
            index,
            region: self.intern(&replica.region),
            zone: self.intern(&replica.zone),
            eligible: reachable && !replica.leaving,
            restricted: replica.version.is_some()
                || replica.adapters.is_some()
                || replica.phase != Phase::Whole,
        };
        for serves in replica.pools() {
            self.pools.entry(serves.clone()).or_default().push(member.clone());
        }
    }

    fn leave_pool(&mut self, index: ReplicaIndex) {
        let Some(replica) = self.get(index) else { return };
        let pools: Vec<Name> = replica.pools().cloned().collect();
        for serves in pools {
            let Some(pool) = self.pools.get_mut(&serves) else { continue };
            pool.retain(|member| member.index != index);
            if pool.is_empty() {
                self.pools.remove(&serves);
            }
        }
    }
}
