//! The other routers of the fleet: which are registered, which of them read the store for the rest,
//! and which to query when the store does not answer.

mod rank;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time for which a router that is no longer registered is still queried. Its lease may have
/// expired only because it cannot reach the store either.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// A router that is registered in the store, or was until recently.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Clock reading at which its registration ended; `None` while it is registered.
    unlisted_since: Option<Duration>,
}

/// Number of routers that read the store for all others in a large fleet. With this many, some
/// still read while one is killed and another one is partitioned from the store.
const STORE_READERS: usize = 4;
/// Largest number of routers with which every router reads the store itself. The cost grows with
/// the square of the number of routers: more routers cause more changes, and each change wakes
/// every reader.
const DIRECT_READ_MAX_ROUTERS: u32 = 12;

/// Shortest pause of a router after a call that the store did not answer. Other routers deliver the
/// changes that are missed meanwhile.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause per router of the fleet, for routers that do not usually read the store themselves. It
/// limits the total rate at which the fleet calls an overloaded store to less than what a healthy
/// store gets.
const STORE_RETRY_PAUSE_PER_ROUTER: Duration = Duration::from_millis(25);

/// Number of other routers that keep copies of one router's record of a stream or of a part of
/// prompts. With this many, it is mostly still known after several routers were killed.
const HOLDERS: usize = 3;

/// Number of routers that may send requests to one cold replica. With this many, some still can
/// while others are killed or cut off.
const COLD_SUBSET: usize = 10;
/// Time after a router's first registration from which it counts itself among the routers that may
/// send requests to a cold replica: by then the others know it.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Position of this router among those that may send requests to one cold replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubsetPosition {
    /// Number of these routers that come before this one.
    pub rank: u32,
    /// Number of these routers.
    pub size: u32,
    /// Whether the registration of this router is certainly valid. The other routers may otherwise
    /// have chosen another one in its place.
    pub is_confirmed: bool,
}

/// Registration of this router in the store.
#[derive(Clone, Copy, Debug)]
struct Registration {
    /// Clock reading from which all other routers know of it.
    settled_at: Duration,
    /// Clock reading until which it is valid unless it is renewed.
    valid_until: Duration,
}

/// One router's view of the fleet: the routers that are registered in the store, and the seed
/// addresses from the settings.
#[derive(Debug, Default)]
pub struct Membership {
    own_name: Arc<str>,
    peers: BTreeMap<Arc<str>, Peer>,
    seeds: Vec<SocketAddr>,
    registration: Option<Registration>,
    /// Clock reading at which the lease of the registration was granted; `None` without one, and
    /// once it was revoked.
    leased_since: Option<Duration>,
}

impl Membership {
    /// Creates the view of the router `own_name`, which contains only the seed addresses.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let membership = Membership::new("a".into(), vec![([127, 0, 0, 1], 80).into()]);
    /// assert_eq!(membership.live_count(), 1);
    /// assert_eq!(membership.addresses().len(), 1);
    /// ```
    pub fn new(own_name: Arc<str>, seeds: Vec<SocketAddr>) -> Self {
        Self { own_name, peers: BTreeMap::new(), seeds, registration: None, leased_since: None }
    }

    /// Replaces the seed addresses, which come from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Adds a registered router or updates its address; returns whether it was not registered
    /// before.
    pub fn put(&mut self, name: Arc<str>, address: SocketAddr) -> bool {
        let previous = self.peers.insert(name, Peer { address, unlisted_since: None });
        previous.is_none_or(|peer| peer.unlisted_since.is_some())
    }

    /// Marks a router as no longer registered; returns whether it was registered.
    ///
    /// Also drops routers whose registration ended [`UNLISTED_RETENTION`] or longer ago.
    pub fn remove(&mut self, now: Duration, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(name) else { return false };
        let was_listed = peer.unlisted_since.is_none();
        peer.unlisted_since.get_or_insert(now);
        self.peers.retain(|_, peer| {
            peer.unlisted_since.is_none_or(|since| now.saturating_sub(since) < UNLISTED_RETENTION)
        });
        was_listed
    }

    /// Replaces the set of registered routers by a complete list; returns the names of those that
    /// are no longer registered.
    pub fn replace(&mut self, now: Duration, list: Vec<(Arc<str>, SocketAddr)>) -> Vec<Arc<str>> {
        let mut lost = Vec::new();
        let known: Vec<Arc<str>> = self.peers.keys().cloned().collect();
        for name in known {
            let is_listed = list.iter().any(|(listed, _)| *listed == name);
            if !is_listed && self.remove(now, &name) {
                lost.push(name);
            }
        }
        for (name, address) in list {
            self.put(name, address);
        }
        lost
    }

    /// Records that the registration of this router was written or renewed by a call that was sent
    /// at `sent_at`, and is valid for the time `valid_for` since.
    pub fn on_registered(&mut self, sent_at: Duration, valid_for: Duration) {
        let valid_until = sent_at.saturating_add(valid_for);
        let is_listed = |peer: &Peer| peer.unlisted_since.is_none();
        let settled_at = match self.registration {
            Some(registration) if sent_at < registration.valid_until => registration.settled_at,
            // The entry of an earlier process of this name still exists.
            None if self.peers.get(&self.own_name).is_some_and(is_listed) => sent_at,
            // The entry may have expired, which a router that was cut off does not know.
            _ => sent_at.saturating_add(SETTLING_TIME),
        };
        self.registration = Some(Registration { settled_at, valid_until });
    }

    /// Records that this router was registered at the clock reading `now` under a lease that was not
    /// there before.
    pub fn on_lease_granted(&mut self, now: Duration) {
        self.leased_since = Some(now);
    }

    /// Returns whether this process has registered the router.
    pub fn has_registered(&self) -> bool {
        self.registration.is_some()
    }

    /// Records that this router is about to end its registration.
    pub fn on_lease_revoked(&mut self) {
        self.leased_since = None;
    }

    /// Returns since when this router has been registered without a gap, as all other routers whose
    /// list is current know. Returns `None` if the registration may have ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let (second, minute) = (Duration::from_secs(1), Duration::from_secs(60));
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// membership.on_registered(Duration::ZERO, minute);
    /// membership.on_lease_granted(second);
    /// assert_eq!(membership.registered_since(second), None, "not listed yet");
    /// membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    /// assert_eq!(membership.registered_since(2 * second), Some(second));
    /// assert_eq!(membership.registered_since(minute), None, "the lease may have expired");
    /// ```
    pub fn registered_since(&self, now: Duration) -> Option<Duration> {
        let is_valid = self.registration.is_some_and(|own| now < own.valid_until);
        let own_peer = self.peers.get(&self.own_name);
        let is_listed = own_peer.is_some_and(|peer| peer.unlisted_since.is_none());
        self.leased_since.filter(|_| is_valid && is_listed)
    }

    /// Returns the number of routers that are registered or were within the time `window`, this one
    /// included. `window` is at most [`UNLISTED_RETENTION`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// membership.put("b".into(), ([127, 0, 0, 1], 80).into());
    /// membership.remove(second, "b");
    /// assert_eq!(membership.live_count(), 1);
    /// assert_eq!(membership.recent_count(5 * second, 10 * second), 2);
    /// assert_eq!(membership.recent_count(12 * second, 10 * second), 1);
    /// ```
    pub fn recent_count(&self, now: Duration, window: Duration) -> u32 {
        let is_recent = |peer: &Peer| {
            peer.unlisted_since.is_none_or(|since| now.saturating_sub(since) <= window)
        };
        let others =
            self.peers.iter().filter(|(name, peer)| **name != self.own_name && is_recent(peer));
        u32::try_from(others.count()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the position of this router among those that may send requests to the cold replica
    /// whose identifier has the hash `replica`. Returns `None` if it is not one of them, or if
    /// another router may not know of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let minute = Duration::from_secs(60);
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    /// assert_eq!(membership.cold_subset_position(Duration::ZERO, 7), None);
    /// membership.on_registered(Duration::ZERO, minute);
    /// let position = membership.cold_subset_position(Duration::ZERO, 7).unwrap();
    /// assert_eq!((position.rank, position.size, position.is_confirmed), (0, 1, true));
    /// assert!(!membership.cold_subset_position(minute, 7).unwrap().is_confirmed);
    /// ```
    pub fn cold_subset_position(&self, now: Duration, replica: u64) -> Option<SubsetPosition> {
        let registration = self.registration?;
        if now < registration.settled_at {
            return None;
        }
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), replica);
        let own_score = score(&self.own_name);
        let (mut rank, mut listed, mut is_listed) = (0, 0, false);
        for (name, peer) in &self.peers {
            if peer.unlisted_since.is_some() {
                continue;
            }
            listed += 1;
            is_listed |= *name == self.own_name;
            rank += usize::from(score(name) > own_score);
        }
        let is_confirmed = now < registration.valid_until;
        (is_listed && rank < COLD_SUBSET).then(|| SubsetPosition {
            rank: rank as u32,
            size: listed.min(COLD_SUBSET) as u32,
            is_confirmed,
        })
    }

    /// Returns the number of registered routers, this one included.
    pub fn live_count(&self) -> u32 {
        let others = self
            .peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && peer.unlisted_since.is_none())
            .count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns whether at least half of the other routers that are remembered are still registered;
    /// false if there is no other router.
    ///
    /// A router that stops ends its registration at the beginning of the stop.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// assert!(!membership.are_most_peers_listed(), "there is no other router");
    /// membership.put("b".into(), ([127, 0, 0, 1], 80).into());
    /// assert!(membership.are_most_peers_listed());
    /// membership.remove(Duration::ZERO, "b");
    /// assert!(!membership.are_most_peers_listed());
    /// ```
    pub fn are_most_peers_listed(&self) -> bool {
        let others = self.peers.iter().filter(|(name, _)| **name != self.own_name);
        let (listed, unlisted): (Vec<_>, Vec<_>) =
            others.partition(|(_, peer)| peer.unlisted_since.is_none());
        !listed.is_empty() && listed.len() >= unlisted.len()
    }

    /// Returns the pause after a call that the store did not answer.
    ///
    /// A router that reads the store itself pauses for 300 ms. For the others the pause grows with
    /// the number of routers, up to `longest` and never below 300 ms.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let membership = Membership::new("a".into(), Vec::new());
    /// assert_eq!(membership.retry_pause(Duration::from_secs(3)), Duration::from_millis(300));
    /// ```
    pub fn retry_pause(&self, longest: Duration) -> Duration {
        if self.reader().is_none() {
            return STORE_RETRY_PAUSE;
        }
        (STORE_RETRY_PAUSE_PER_ROUTER * self.live_count()).min(longest).max(STORE_RETRY_PAUSE)
    }

    /// Returns the address of the router that reads the store for this one; `None` if this
    /// router reads the store itself.
    ///
    /// All routers rank the fleet by the same hash of the names, so they choose the same readers
    /// without coordination. The routers that do not read are spread over the readers by a second
    /// hash, which includes their own name.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("router-0".into(), Vec::new());
    /// assert_eq!(membership.reader(), None);
    /// for number in 0..40 {
    ///     membership.put(format!("router-{number}").into(), ([127, 0, 0, 1], 80).into());
    /// }
    /// assert!(membership.live_count() == 40);
    /// ```
    pub fn reader(&self) -> Option<SocketAddr> {
        if self.live_count() <= DIRECT_READ_MAX_ROUTERS {
            return None;
        }
        let listed = self.peers.iter().filter(|(_, peer)| peer.unlisted_since.is_none());
        let mut readers: Vec<(&Arc<str>, &Peer)> = listed.collect();
        readers.sort_by_cached_key(|(name, _)| Reverse(xxh3_64(name.as_bytes())));
        readers.truncate(STORE_READERS);
        if readers.iter().any(|(name, _)| **name == self.own_name) {
            return None;
        }
        let assigned = readers.into_iter().max_by_key(|(name, _)| {
            xxh3_64_with_seed(name.as_bytes(), xxh3_64(self.own_name.as_bytes()))
        });
        assigned.map(|(_, peer)| peer.address)
    }

    /// Returns the addresses of the other routers that hold what is known of a stream or of a part of
    /// prompts, or may hold it. All routers compute nearly the same holders from its key.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("router-0".into(), Vec::new());
    /// for number in 0..9 {
    ///     membership.put(format!("router-{number}").into(), ([127, 0, 0, 1], 80 + number).into());
    /// }
    /// assert_eq!(membership.holders(7).len(), 3);
    /// ```
    pub fn holders(&self, key: u64) -> Vec<SocketAddr> {
        let mut holders: Vec<(u64, SocketAddr)> = Vec::with_capacity(HOLDERS + 1);
        for (name, peer) in &self.peers {
            if *name == self.own_name || peer.unlisted_since.is_some() {
                continue;
            }
            let score = xxh3_64_with_seed(name.as_bytes(), key);
            let rank = holders.partition_point(|(other, _)| *other > score);
            holders.insert(rank, (score, peer.address));
            holders.truncate(HOLDERS);
        }
        holders.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the holders of a key, and those of routers that would be among them and
    /// are no longer registered: the list may have lapsed although they serve.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("router-0".into(), Vec::new());
    /// membership.put("router-1".into(), ([127, 0, 0, 1], 81).into());
    /// membership.remove(Duration::ZERO, "router-1");
    /// assert!(membership.holders(7).is_empty());
    /// assert_eq!(membership.possible_holders(7).len(), 1);
    /// ```
    pub fn possible_holders(&self, key: u64) -> Vec<SocketAddr> {
        let others = self.peers.iter().filter(|(name, _)| **name != self.own_name);
        let mut others: Vec<(u64, &Peer)> =
            others.map(|(name, peer)| (xxh3_64_with_seed(name.as_bytes(), key), peer)).collect();
        others.sort_unstable_by_key(|(score, _)| Reverse(*score));
        let (mut holders, mut listed) = (Vec::new(), 0);
        for (_, peer) in others {
            if listed == HOLDERS || holders.len() == 2 * HOLDERS {
                break;
            }
            listed += usize::from(peer.unlisted_since.is_none());
            holders.push(peer.address);
        }
        holders
    }

    /// Returns the name of this router.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// assert_eq!(&**Membership::new("a".into(), Vec::new()).own_name(), "a");
    /// ```
    pub fn own_name(&self) -> &Arc<str> {
        &self.own_name
    }

    /// Returns the registered routers in the order of their names, this one included if it is
    /// registered.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// membership.put("b".into(), ([127, 0, 0, 1], 81).into());
    /// let names: Vec<&str> = membership.listed().map(|(name, _)| &**name).collect();
    /// assert_eq!(names, ["b"]);
    /// ```
    pub fn listed(&self) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        let listed = self.peers.iter().filter(|(_, peer)| peer.unlisted_since.is_none());
        listed.map(|(name, peer)| (name, peer.address))
    }

    /// Returns the addresses of the `count` registered routers with the highest rendezvous scores for
    /// a key, the highest first, this one included if it is registered. Routers with the same list
    /// compute the same.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// for number in 0..9 {
    ///     membership.put(format!("router-{number}").into(), ([127, 0, 0, 1], 80 + number).into());
    /// }
    /// let chosen = membership.rendezvous(7, 2);
    /// assert_eq!(chosen.len(), 2);
    /// assert_eq!(chosen[..1], membership.rendezvous(7, 1));
    /// ```
    pub fn rendezvous(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let mut chosen: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
        for (name, address) in self.listed() {
            let score = xxh3_64_with_seed(name.as_bytes(), key);
            let rank = chosen.partition_point(|(other, _)| *other >= score);
            chosen.insert(rank, (score, address));
            chosen.truncate(count);
        }
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the other routers that are registered.
    ///
    /// ```
    /// use teaselworks_policy::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into(), Vec::new());
    /// membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    /// membership.put("b".into(), ([127, 0, 0, 1], 81).into());
    /// assert_eq!(membership.listed_addresses(), [([127, 0, 0, 1], 81).into()]);
    /// ```
    pub fn listed_addresses(&self) -> Vec<SocketAddr> {
        let others = self
            .peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && peer.unlisted_since.is_none());
        others.map(|(_, peer)| peer.address).collect()
    }

    /// Returns the addresses of the other routers in the order in which to query them: registered
    /// routers, those no longer registered, then the seed addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        let own_address = self.peers.get(&self.own_name).map(|peer| peer.address);
        let others = self.peers.iter().filter(|(name, _)| **name != self.own_name);
        let (listed, unlisted): (Vec<_>, Vec<_>) =
            others.partition(|(_, peer)| peer.unlisted_since.is_none());
        for (_, peer) in listed.into_iter().chain(unlisted) {
            addresses.push(peer.address);
        }
        for seed in &self.seeds {
            if Some(*seed) != own_address && !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        addresses
    }
}
