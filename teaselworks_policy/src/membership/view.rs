//! Immutable snapshot of the fleet and the choice of owners from it.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;

/// Odd constants of the 64-bit mixing step, as in the SplitMix64 generator.
const MIX: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Least routers lost, and least share of the fleet, one in so many, that look like a split.
const SPLIT_LOST: usize = 2;
const SPLIT_PART: usize = 8;

/// What a router is known to be.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterState {
    /// Answers, but was lost lately: takes callers, owns nothing until it has been steady.
    Joining,
    /// Answers and owns.
    Alive,
    /// Does not answer probes, and has not yet denied it; still owns.
    Suspect,
    /// Stops on purpose: owns nothing, finishes what it has; never reverts in its incarnation.
    Leaving,
    /// Taken for lost, or ended after leaving.
    Dead,
}

impl RouterState {
    /// Returns the name in metrics, logs and answers.
    ///
    /// ```
    /// use teaselworks_policy::membership::RouterState;
    ///
    /// assert_eq!(RouterState::Leaving.as_str(), "leaving");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RouterState::Joining => "joining",
            RouterState::Alive => "alive",
            RouterState::Suspect => "suspect",
            RouterState::Leaving => "leaving",
            RouterState::Dead => "dead",
        }
    }

    /// Tells whether a link to the router is worth trying.
    pub fn is_reachable(self) -> bool {
        self != RouterState::Dead
    }
}

impl fmt::Display for RouterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Region and availability zone of a VM.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Place {
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
}

/// One router as a view shows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouterInfo {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Wall clock at the router's start in milliseconds, raised when it denies its own loss.
    pub incarnation: u64,
    /// Where other routers reach it.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub place: Place,
    /// What it is known to be.
    pub state: RouterState,
}

/// A router that may own, with its part of the rendezvous hash.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    router: usize,
    place: usize,
}

/// Immutable snapshot of the fleet as one router sees it.
#[derive(Clone, Debug, Default)]
pub struct View {
    version: u64,
    routers: Vec<RouterInfo>,
    places: Vec<Place>,
    candidates: Vec<Candidate>,
    lost: usize,
}

impl View {
    /// Makes a snapshot; `version` counts the changes that this router has seen.
    ///
    /// ```
    /// use teaselworks_policy::membership::View;
    ///
    /// assert_eq!(View::new(3, Vec::new()).version(), 3);
    /// ```
    pub fn new(version: u64, mut routers: Vec<RouterInfo>) -> Self {
        routers.sort_by(|a, b| a.name.cmp(&b.name));
        let mut places: Vec<Place> = Vec::new();
        for router in &routers {
            if let Err(rank) = places.binary_search(&router.place) {
                places.insert(rank, router.place.clone());
            }
        }
        let mut candidates = Vec::new();
        let joining_own = joining_outnumber_steady(&routers);
        for (index, router) in routers.iter().enumerate() {
            let owns = match router.state {
                RouterState::Alive | RouterState::Suspect => true,
                RouterState::Joining => joining_own,
                RouterState::Leaving | RouterState::Dead => false,
            };
            if !owns {
                continue;
            }
            let place = places.binary_search(&router.place).unwrap_or_default();
            let hash = xxh3_64(router.name.as_bytes());
            candidates.push(Candidate { hash, router: index, place });
        }
        Self { version, routers, places, candidates, lost: 0 }
    }

    /// Sets the number of dead routers that neither left nor vanished from the platform's list.
    #[must_use]
    pub fn with_lost(self, lost: usize) -> Self {
        Self { lost, ..self }
    }

    /// Returns the number of changes that this router had seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns every known router, by name.
    pub fn routers(&self) -> &[RouterInfo] {
        &self.routers
    }

    /// Finds a router by name.
    ///
    /// ```
    /// use teaselworks_policy::membership::View;
    ///
    /// assert!(View::default().router("dvorana-a-1").is_none());
    /// ```
    pub fn router(&self, name: &str) -> Option<&RouterInfo> {
        let index = self.routers.binary_search_by(|router| (*router.name).cmp(name)).ok()?;
        Some(&self.routers[index])
    }

    /// Returns the routers that may own.
    pub fn owners(&self) -> impl Iterator<Item = &RouterInfo> {
        self.candidates.iter().map(|candidate| &self.routers[candidate.router])
    }

    /// Returns the share of the fleet that this router reaches, in (0, 1].
    ///
    /// Lost routers may run on the far side of a split, own the same names and take callers
    /// there. The shares of all sides of a split sum up to at most 1, so a limit multiplied by
    /// the share holds over all sides together.
    ///
    /// ```
    /// use teaselworks_policy::membership::View;
    ///
    /// assert_eq!(View::default().reached_share(), 1.0);
    /// ```
    pub fn reached_share(&self) -> f64 {
        let reached = self.routers.iter().filter(|router| router.state.is_reachable()).count();
        if reached == 0 {
            return 1.0;
        }
        reached as f64 / (reached + self.lost) as f64
    }

    /// Returns how many routers are lost that may run on the far side of a split; zero where they
    /// are so few that they have likely failed.
    ///
    /// ```
    /// use teaselworks_policy::membership::View;
    ///
    /// assert_eq!(View::default().split_off(), 0);
    /// ```
    pub fn split_off(&self) -> usize {
        let reached = self.routers.iter().filter(|router| router.state.is_reachable()).count();
        let few = self.lost < SPLIT_LOST || self.lost * SPLIT_PART < reached + self.lost;
        if few { 0 } else { self.lost }
    }

    /// Finds the highest-ranked candidate for `name` among those that `admits`.
    fn best(&self, name: &str, admits: impl Fn(&Candidate) -> bool) -> Option<&RouterInfo> {
        let key = xxh3_64(name.as_bytes());
        let mut best: Option<(u64, usize)> = None;
        for candidate in &self.candidates {
            if !admits(candidate) {
                continue;
            }
            let rank = (mix(candidate.hash ^ key), candidate.router);
            if best.is_none_or(|highest| rank > highest) {
                best = Some(rank);
            }
        }
        best.map(|(_, router)| &self.routers[router])
    }

    fn region_of(&self, candidate: &Candidate) -> &str {
        &self.places[candidate.place].region
    }
}

/// Tells whether routers that were lost lately outnumber the steady ones.
///
/// After a split heals, every router may have been lost to somebody. If only the few that were
/// not owned everything, they would be crowded; then all own, as before the split.
fn joining_outnumber_steady(routers: &[RouterInfo]) -> bool {
    let count = |wanted: &[RouterState]| {
        routers.iter().filter(|router| wanted.contains(&router.state)).count()
    };
    count(&[RouterState::Joining]) > count(&[RouterState::Alive, RouterState::Suspect])
}

/// Returns the router that owns a replica or workspace, by rendezvous hashing.
///
/// With `near` the owner is taken from that zone, or else that region, where a router there may
/// own: a replica's owner beside it saves a hop between zones and is lost together with it.
/// Two routers with equal views name the same owner; a router that joins or goes moves only the
/// names that it owns.
///
/// ```
/// use teaselworks_policy::membership::{View, owner_of};
///
/// assert!(owner_of(&View::default(), "engine-1", None).is_none());
/// ```
pub fn owner_of<'a>(view: &'a View, name: &str, near: Option<&Place>) -> Option<&'a RouterInfo> {
    if let Some(near) = near {
        if let Ok(place) = view.places.binary_search(near)
            && let Some(owner) = view.best(name, |candidate| candidate.place == place)
        {
            return Some(owner);
        }
        let in_region = |candidate: &Candidate| *view.region_of(candidate) == *near.region;
        if let Some(owner) = view.best(name, in_region) {
            return Some(owner);
        }
    }
    view.best(name, |_| true)
}

/// Returns the router that holds the copy of what the owner of `name` holds.
///
/// ```
/// use teaselworks_policy::membership::{View, copy_holder_of};
///
/// assert!(copy_holder_of(&View::default(), "choir", None).is_none());
/// ```
pub fn copy_holder_of<'a>(
    view: &'a View,
    name: &str,
    near: Option<&Place>,
) -> Option<&'a RouterInfo> {
    let owner = owner_of(view, name, near)?;
    peer_elsewhere(view, name, owner)
}

/// Returns the router, other than `than`, best suited to hold a copy: in another zone of its
/// region, or else in another zone, or else any.
///
/// ```
/// use teaselworks_policy::membership::{Place, RouterInfo, RouterState, View, peer_elsewhere};
///
/// let router = |name: &str, zone: &str| RouterInfo {
///     name: name.into(),
///     incarnation: 1,
///     address: "127.0.0.1:1".parse().unwrap(),
///     place: Place { region: "sfax".into(), zone: zone.into() },
///     state: RouterState::Alive,
/// };
/// let view = View::new(1, vec![router("a1", "a"), router("a2", "a"), router("b1", "b")]);
/// let holder = peer_elsewhere(&view, "wedding", view.router("a1").unwrap());
/// assert_eq!(&*holder.unwrap().name, "b1");
/// ```
pub fn peer_elsewhere<'a>(view: &'a View, name: &str, than: &RouterInfo) -> Option<&'a RouterInfo> {
    let home = view.places.binary_search(&than.place).ok();
    let in_other_zone = |candidate: &Candidate| Some(candidate.place) != home;
    let in_region = |candidate: &Candidate| *view.region_of(candidate) == *than.place.region;
    view.best(name, |candidate| in_other_zone(candidate) && in_region(candidate))
        .or_else(|| view.best(name, in_other_zone))
        .or_else(|| view.best(name, |candidate| view.routers[candidate.router].name != than.name))
}

fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(MIX[0]);
    value = (value ^ (value >> 27)).wrapping_mul(MIX[1]);
    value ^ (value >> 31)
}
