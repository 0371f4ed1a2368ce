//! Groups of routers and their aggregators.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::membership::Membership;

/// Mean number of routers in a group. The datagrams of an aggregator grow with the size of its group
/// and with the number of groups; at 64 to 410 routers the sum is smallest near this size.
const GROUP_SIZE: usize = 16;

/// Aggregator and backup aggregator of a group; the second is missing if only one router is listed.
pub(super) type Aggregators = (SocketAddr, Option<SocketAddr>);

/// Roles of the listed routers, as this router's list gives them.
#[derive(Debug, Default)]
pub(super) struct Topology {
    listed: Vec<(Arc<str>, SocketAddr)>,
    addresses: BTreeSet<SocketAddr>,
    /// Address of this router; `None` if it is not listed.
    own_address: Option<SocketAddr>,
    own_group: usize,
    groups: Vec<Aggregators>,
}

impl Topology {
    /// Computes the roles anew if the list has changed.
    pub(super) fn update(&mut self, membership: &Membership) {
        let is_same = self.listed.len() == membership.listed().count()
            && membership
                .listed()
                .zip(&self.listed)
                .all(|(new, old)| (new.0, new.1) == (&old.0, old.1));
        if is_same {
            return;
        }
        self.listed = membership.listed().map(|(name, address)| (name.clone(), address)).collect();
        self.addresses = self.listed.iter().map(|(_, address)| *address).collect();
        let own_name = membership.own_name();
        let own = self.listed.iter().find(|(name, _)| name == own_name);
        self.own_address = own.map(|(_, address)| *address);
        let groups = 0..self.listed.len().div_ceil(GROUP_SIZE) as u64;
        self.groups = groups
            .filter_map(|group| {
                let mut chosen = membership.rendezvous(group, 2).into_iter();
                Some((chosen.next()?, chosen.next()))
            })
            .collect();
        let groups = self.groups.len().max(1) as u64;
        self.own_group = (xxh3_64(own_name.as_bytes()) % groups) as usize;
    }

    /// Returns the aggregators to which this router reports; `None` while no router is listed.
    pub(super) fn own_aggregators(&self) -> Option<Aggregators> {
        self.groups.get(self.own_group).copied()
    }

    /// Returns the address of this router; `None` if it is not listed.
    pub(super) fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Returns the aggregators and backup aggregators of all groups.
    pub(super) fn all_aggregators(&self) -> BTreeSet<SocketAddr> {
        let all = self.groups.iter().flat_map(|(first, second)| [Some(*first), *second]);
        all.flatten().collect()
    }

    /// Returns whether a router with this address is listed.
    pub(super) fn is_listed(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }

    /// Returns the number of listed routers.
    pub(super) fn listed_count(&self) -> usize {
        self.listed.len()
    }
}
