//! Properties of the division of an overloaded service.

use std::collections::BTreeMap;

use proptest::prelude::*;
use teaselworks_policy::shares::{
    OfferedRow, Plan, RankLoad, WorkspaceKey, max_min, plan, rank_amounts,
};

const CAPACITY: f64 = 1_000.0;
const TOLERANCE: f64 = 1e-6;

/// Creates a row with the same average load and growth for all ranks.
fn row(workspace: u32, usual: f64, ranks: &[(u8, f64, f64)]) -> OfferedRow {
    let load = |(rank, new, returning): &(u8, f64, f64)| RankLoad {
        rank: *rank,
        new: *new,
        returning: *returning,
    };
    let ranks = ranks.iter().map(load).collect();
    OfferedRow { workspace: WorkspaceKey(workspace), usual, ranks }
}

/// Returns the admitted load of a row's rank: of new and of returning callers.
fn admitted(plan: &Plan, row: &OfferedRow, load: &RankLoad) -> (f64, f64) {
    let class = plan.class(row.workspace, load.rank).expect("each offered class has a decision");
    (class.new * load.new, class.returning * load.returning)
}

fn admitted_of_row(plan: &Plan, row: &OfferedRow) -> f64 {
    let loads = row.ranks.iter().map(|load| admitted(plan, row, load));
    loads.map(|(new, returning)| new + returning).sum()
}

fn total(rows: &[OfferedRow]) -> f64 {
    rows.iter().map(OfferedRow::offered_slots).sum()
}

/// Loads of ranks: none, small ones and ones beyond the capacity.
fn slots() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..10.0, 0.0..3_000.0]
}

fn any_rows() -> impl Strategy<Value = Vec<OfferedRow>> {
    let load = (slots(), slots());
    let row_of = |(usual, ranks): (f64, BTreeMap<u8, (f64, f64)>)| {
        let ranks: Vec<(u8, f64, f64)> =
            ranks.into_iter().map(|(rank, (new, returning))| (rank, new, returning)).collect();
        row(0, usual, &ranks)
    };
    let rows = (slots(), prop::collection::btree_map(0u8..5, load, 0..4)).prop_map(row_of);
    prop::collection::vec(rows, 0..30).prop_map(|mut rows| {
        for (key, row) in rows.iter_mut().enumerate() {
            row.workspace = WorkspaceKey(key as u32);
        }
        rows
    })
}

/// Rows of workspaces that all send the same multiple of their average load, by ranks in any
/// proportion.
fn alike_rows() -> impl Strategy<Value = Vec<OfferedRow>> {
    let parts = prop::collection::vec(0.0..1.0f64, 3);
    let workspaces = prop::collection::vec((1.0..200.0f64, parts), 1..30);
    (workspaces, 1.0..20.0f64).prop_map(|(workspaces, growth)| {
        let row = |(workspace, (usual, parts)): (usize, (f64, Vec<f64>))| {
            let sum = parts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let load = |rank: usize| (rank as u8, growth * usual * parts[rank] / sum, 0.0);
            row(workspace as u32, usual, &[load(0), load(1), load(2)])
        };
        workspaces.into_iter().enumerate().map(row).collect()
    })
}

proptest! {
    /// Guards against a plan that admits more than there are slots, or more than is offered.
    #[test]
    fn no_more_than_the_capacity_is_admitted(rows in any_rows(), capacity in 0.0..5_000.0f64) {
        let plan = plan(capacity, &rows);
        let sum: f64 = rows.iter().map(|row| admitted_of_row(&plan, row)).sum();
        prop_assert!(sum <= capacity + TOLERANCE, "{sum} of {capacity}");
        for row in &rows {
            for load in &row.ranks {
                let class = plan.class(row.workspace, load.rank).unwrap();
                prop_assert!((0.0..=1.0).contains(&class.new), "{class:?}");
                prop_assert!((0.0..=1.0).contains(&class.returning), "{class:?}");
                prop_assert!((0.0..=1.0).contains(&class.ahead_share), "{class:?}");
            }
        }
    }

    /// Guards against refusals while there is room, and against slots that stay free while load is
    /// refused.
    #[test]
    fn slots_stay_free_only_when_nothing_is_refused(rows in any_rows()) {
        let plan = plan(CAPACITY, &rows);
        let sum: f64 = rows.iter().map(|row| admitted_of_row(&plan, row)).sum();
        prop_assert!((sum - total(&rows).min(CAPACITY)).abs() < TOLERANCE, "{sum}");
    }

    /// Guards against inverted priorities in a burst that all workspaces send.
    #[test]
    fn ranks_are_in_order_when_all_grow_alike(rows in alike_rows()) {
        let plan = plan(CAPACITY, &rows);
        for pair in plan.ranks.windows(2) {
            let [urgent, other] = [pair[0], pair[1]].map(|rank| rank.admitted_fraction());
            prop_assert!(other <= urgent + TOLERANCE, "{:?}", plan.ranks);
        }
        prop_assert!(plan.workspaces.iter().all(|row| !row.exceeds_share));
    }

    /// Guards against ranks of which nothing is served: each gets its floor, all it offers, or as
    /// large a fraction as the next more urgent one.
    #[test]
    fn each_rank_keeps_its_floor(rows in alike_rows()) {
        let plan = plan(CAPACITY, &rows);
        let mut more_urgent = 1.0;
        for rank in plan.ranks.iter().filter(|rank| rank.offered_slots > 0.0) {
            let floor = (0.05 * CAPACITY).min(more_urgent * rank.offered_slots);
            prop_assert!(rank.admitted_slots >= floor - TOLERANCE, "{:?}", plan.ranks);
            more_urgent = rank.admitted_fraction();
        }
    }

    /// Guards against workspaces that take slots from others by sending more than their share.
    #[test]
    fn a_workspace_within_its_share_loses_nothing_to_one_beyond_it(
        rows in alike_rows(),
        growths in prop::collection::vec(1.0..50.0f64, 30),
        beyond in prop::collection::vec(any::<bool>(), 30),
    ) {
        // The first ones keep the median as it is.
        let kept = rows.len() / 2 + 1;
        let mut greedy = rows.clone();
        for (index, row) in greedy.iter_mut().enumerate().skip(kept).filter(|(i, _)| beyond[*i]) {
            for load in &mut row.ranks {
                load.new *= growths[index];
            }
        }
        let plan_greedy = plan(CAPACITY, &greedy);
        // The same load, in which nobody offers more than the share.
        let mut modest = greedy.clone();
        for row in &mut modest {
            let share = plan_greedy.workspaces[row.workspace.0 as usize].share_slots;
            let loads: Vec<f64> = row.ranks.iter().map(|load| load.new).collect();
            let within = rank_amounts(share, &vec![0.0; loads.len()], &loads);
            for (load, within) in row.ranks.iter_mut().zip(within) {
                load.new = within;
            }
        }
        let plan_modest = plan(CAPACITY, &modest);
        for (row, workspace) in greedy.iter().zip(&plan_greedy.workspaces) {
            if !workspace.exceeds_share {
                let with = admitted_of_row(&plan_greedy, row);
                let without = admitted_of_row(&plan_modest, row);
                prop_assert!(with >= without - TOLERANCE, "{row:?}: {with} of {without}");
            }
        }
    }

    /// Guards against callers that come back and push out new ones of their class, whose answers
    /// would still be in time.
    #[test]
    fn returning_callers_take_a_tenth_of_their_class_while_new_ones_are_refused(
        rows in any_rows(),
    ) {
        let plan = plan(CAPACITY, &rows);
        for row in &rows {
            for load in &row.ranks {
                let class = plan.class(row.workspace, load.rank).unwrap();
                let (new, returning) = admitted(&plan, row, load);
                if load.new > 0.0 && class.new < 1.0 {
                    let most = 0.1 * (new + returning);
                    prop_assert!(returning <= most + TOLERANCE, "{returning} of {new} new");
                }
            }
        }
    }

    /// Guards against callers that gain by coming back often, or cost new callers something.
    #[test]
    fn coming_back_more_often_changes_nothing_for_new_callers(
        rows in alike_rows(),
        factor in 1.0..100.0f64,
    ) {
        let returns = |factor: f64| {
            let mut rows = rows.clone();
            for load in rows.iter_mut().flat_map(|row| &mut row.ranks) {
                // At least as many as count.
                load.returning = factor * load.new / 9.0;
            }
            rows
        };
        let (once, often) = (returns(1.0), returns(factor));
        let (plan_once, plan_often) = (plan(CAPACITY, &once), plan(CAPACITY, &often));
        for (row, row_often) in once.iter().zip(&often) {
            for (load, load_often) in row.ranks.iter().zip(&row_often.ranks) {
                let (new, _) = admitted(&plan_once, row, load);
                let (new_often, _) = admitted(&plan_often, row_often, load_often);
                prop_assert!((new - new_often).abs() < TOLERANCE, "{new} {new_often}");
            }
        }
    }

    /// Guards against plans that depend on the order of the rows, which differs between routers.
    #[test]
    fn the_order_of_the_rows_does_not_matter(rows in any_rows()) {
        let mut reversed = rows.clone();
        reversed.reverse();
        for row in &mut reversed {
            row.ranks.reverse();
        }
        prop_assert_eq!(plan(CAPACITY, &rows), plan(CAPACITY, &reversed));
    }

    /// Guards against parts that exceed the amount, and against one that is smaller by weight than
    /// another although it is not met.
    #[test]
    fn parts_are_max_min_fair(
        amount in 0.0..500.0f64,
        loads in prop::collection::vec((0.0..100.0f64, 0.01..10.0f64), 1..20),
    ) {
        let parts = max_min(amount, &loads);
        let offered: f64 = loads.iter().map(|(load, _)| load).sum();
        prop_assert!((parts.iter().sum::<f64>() - amount.min(offered)).abs() < TOLERANCE);
        let level = |index: usize| parts[index] / loads[index].1;
        let highest = (0..loads.len()).map(level).fold(0.0, f64::max);
        for (index, (load, _)) in loads.iter().enumerate() {
            let is_met = parts[index] >= load - TOLERANCE;
            prop_assert!(is_met || level(index) >= highest - TOLERANCE, "{parts:?}");
        }
    }
}

/// Guards against a workspace whose urgent requests alone exceed its share and push out the less
/// urgent ones of others.
#[test]
fn urgent_load_beyond_a_share_comes_after_other_load_within_shares() {
    let mut rows: Vec<OfferedRow> =
        (1..24).map(|key| row(key, 30.0, &[(0, 15.0, 0.0), (2, 15.0, 0.0)])).collect();
    rows.push(row(24, 100.0, &[(0, 1_000.0, 0.0)]));
    let plan = plan(CAPACITY, &rows);
    for row in &rows[..23] {
        assert!((admitted_of_row(&plan, row) - 30.0).abs() < TOLERANCE);
    }
    let greedy = plan.class(WorkspaceKey(24), 0).unwrap();
    assert!(greedy.is_beyond_share && greedy.is_marginal);
    assert!((greedy.new - 0.31).abs() < TOLERANCE, "{greedy:?}");
}

/// Guards against a jump for the others when a workspace is renamed, so that its average load
/// begins at nothing.
#[test]
fn a_renamed_workspace_changes_nothing_for_the_others() {
    let grown = |key, usual: f64| {
        row(key, usual, &[(0, 4.0 * usual, 0.0), (1, usual, 0.0), (2, 3.0 * usual, 0.0)])
    };
    let rows: Vec<OfferedRow> = (1..=24).map(|key| grown(key, 5.0 * f64::from(key))).collect();
    let before = plan(CAPACITY, &rows);
    let mut renamed = rows.clone();
    renamed[23] = OfferedRow { workspace: WorkspaceKey(99), usual: 0.0, ..grown(24, 120.0) };
    let after = plan(CAPACITY, &renamed);
    for row in &rows[..23] {
        let (before, after) = (admitted_of_row(&before, row), admitted_of_row(&after, row));
        assert!(after >= before - 0.05 * row.offered_slots(), "{row:?}: {after} of {before}");
    }
    assert!(admitted_of_row(&after, &renamed[23]) > 0.0);
}

/// Guards against a class that is refused or admitted in full only because the totals have no load
/// of it yet.
#[test]
fn a_class_without_load_is_treated_as_its_rank() {
    let plan = plan(CAPACITY, &[row(1, 100.0, &[(1, 1_000.0, 0.0), (3, 1_000.0, 0.0)])]);
    let admitted = [0, 1, 2, 3, 4].map(|rank| plan.class_without_load(rank).new);
    for (admitted, expected) in admitted.into_iter().zip([1.0, 0.95, 0.95, 0.05, 0.05]) {
        assert!((admitted - expected).abs() < TOLERANCE, "{admitted} for {expected}");
    }
}

/// Guards against floors that together exceed the capacity where a service has many ranks.
#[test]
fn many_ranks_keep_their_order() {
    let loads: Vec<(u8, f64, f64)> = (0..=255).map(|rank| (rank, 100.0, 0.0)).collect();
    let plan = plan(CAPACITY, &[row(1, 100.0, &loads)]);
    assert!(plan.ranks[0].admitted_fraction() > 0.99, "{:?}", plan.ranks[0]);
    assert!(plan.ranks[255].admitted_slots > 0.0);
    let sum: f64 = plan.ranks.iter().map(|rank| rank.admitted_slots).sum();
    assert!(sum <= CAPACITY + TOLERANCE);
}
