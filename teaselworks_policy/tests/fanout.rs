//! The trees along which versions go from the watchers to every router.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use teaselworks_policy::name::Name;
use teaselworks_policy::store::fanout::{FAN_OUT, TREES, children, watchers};

fn names(count: usize, salt: u32) -> Vec<Name> {
    (0..count).map(|index| format!("vm-{salt}-{index}").into()).collect()
}

/// Returns the routers that learn a version which the live watchers tell.
fn reached(routers: &[Name], dead: &BTreeSet<Name>, count: usize) -> BTreeSet<Name> {
    let roots = watchers(routers, count);
    let mut waiting: Vec<Name> = roots.into_iter().filter(|name| !dead.contains(name)).collect();
    let mut reached = BTreeSet::new();
    while let Some(router) = waiting.pop() {
        if dead.contains(&router) || !reached.insert(router.clone()) {
            continue;
        }
        waiting.extend(children(&router, routers, count));
    }
    reached
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Symptom: some routers learn each version seconds late, or one sends far more than the others.
    // Sequence: fleets of any size, no failure. Cause: gaps or repeats in the numbering of a tree.
    #[test]
    fn every_router_has_one_parent_a_tree(count in 1_usize..80, watching in 1_usize..20, salt: u32) {
        let routers = names(count, salt);
        let roots = watchers(&routers, watching);
        let mut parents: BTreeMap<Name, u64> = BTreeMap::new();
        for router in &routers {
            let children = children(router, &routers, watching);
            prop_assert!(children.len() <= FAN_OUT * TREES as usize);
            prop_assert!(!children.contains(router));
            for child in children {
                prop_assert!(!roots.contains(&child), "a watcher needs no parent");
                *parents.entry(child).or_default() += 1;
            }
        }
        prop_assert_eq!(reached(&routers, &BTreeSet::new(), watching).len(), count);
        // A router whose parent is the same in both trees is told once.
        prop_assert!(parents.values().all(|parents| (1..=TREES).contains(parents)));
    }
}

// Symptom: a version waits for the random questions on a large part of the fleet. Sequence: a tenth
// of the routers died and the views still list them. Cause: one tree, in which a dead parent cuts
// off all below it.
#[test]
fn dead_parents_cut_off_few() {
    for salt in 0..8 {
        let routers = names(410, salt);
        let dead: BTreeSet<Name> = routers.iter().step_by(10).cloned().collect();
        let reached = reached(&routers, &dead, 8).len();
        let live = routers.len() - dead.len();
        assert!(reached * 100 >= live * 90, "{reached} of {live}");
    }
}
