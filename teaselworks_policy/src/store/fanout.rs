//! Which routers watch the platform, and to whom each passes a new version on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Routers to which one passes a version on, in each tree.
pub const FAN_OUT: usize = 4;
/// Trees; each router has a parent in every one, so that a dead parent cuts nobody off.
pub const TREES: u64 = 2;

/// Seed of the order that chooses watchers.
const WATCH_SEED: u64 = 0;

/// Returns the routers that watch the platform: the `count` highest by rendezvous hashing.
///
/// ```
/// use teaselworks_policy::store::fanout::watchers;
///
/// let routers = ["a".into(), "b".into(), "c".into()];
/// assert_eq!(watchers(&routers, 2).len(), 2);
/// ```
pub fn watchers(routers: &[Name], count: usize) -> Vec<Name> {
    let mut ranked = order(routers, WATCH_SEED);
    ranked.truncate(count);
    ranked
}

/// Returns the routers to which `from` passes a new version on.
///
/// The watchers are the roots of each tree, all others follow in a hashed order of the tree's own;
/// with views that agree, each router has one parent a tree and every parent at most [`FAN_OUT`]
/// children. Views that disagree make some routers miss it, who learn it by asking.
///
/// ```
/// use teaselworks_policy::store::fanout::{FAN_OUT, TREES, children};
///
/// let routers: Vec<_> = (0..100).map(|index| format!("router-{index}").into()).collect();
/// assert!(children(&routers[0], &routers, 8).len() <= FAN_OUT * TREES as usize);
/// ```
pub fn children(from: &Name, routers: &[Name], watcher_count: usize) -> Vec<Name> {
    let roots = watchers(routers, watcher_count);
    let mut found = Vec::new();
    for tree in 1..=TREES {
        let mut places = roots.clone();
        places.extend(order(routers, tree).into_iter().filter(|name| !roots.contains(name)));
        let Some(place) = places.iter().position(|name| name == from) else { continue };
        let first = roots.len() + place * FAN_OUT;
        for child in places.iter().skip(first).take(FAN_OUT) {
            if !found.contains(child) {
                found.push(child.clone());
            }
        }
    }
    found
}

fn order(routers: &[Name], seed: u64) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> =
        routers.iter().map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}
