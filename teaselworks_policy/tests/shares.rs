//! Tests of the decisions on requests of one router to a service that may be overloaded.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::demand::Demand;
use teaselworks_policy::shares::{
    Admission, Class, OfferedRow, RankLoad, Shares, SharesSettings, Totals, WorkspaceKey,
};
use teaselworks_policy::verdict::RefusalReason;

const BOTH: SharesSettings =
    SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 };
const MS: Duration = Duration::from_millis(1);
const START: Duration = Duration::from_secs(100);
const SLOT_TIME: Duration = Duration::from_secs(1);

fn class(workspace: &str, rank: u8) -> Class {
    Class { rank, workspace: Some(workspace.into()) }
}

/// Sends a request to the service `chat` of a fleet of one router.
fn send(shares: &mut Shares, now: Duration, class: &Class, capacity: f64) -> Admission {
    send_of(shares, now, class, SLOT_TIME, capacity, 1)
}

fn send_of(
    shares: &mut Shares,
    now: Duration,
    class: &Class,
    slot_time: Duration,
    capacity: f64,
    routers: u32,
) -> Admission {
    let service: Arc<str> = "chat".into();
    shares.on_request(now, &service, class, Demand { slot_time }, false);
    shares.admit(now, &service, class, false, capacity, routers)
}

/// Sends requests of two workspaces, two ranks each, for some seconds; 400 slots in all. Returns
/// when they end, and the admissions of the last second.
fn overload(shares: &mut Shares, start: Duration, capacity: f64) -> (Duration, Vec<Admission>) {
    let classes = [class("a", 0), class("a", 1), class("b", 0), class("b", 1)];
    let mut admissions = Vec::new();
    for step in 0..300 {
        let now = start + 10 * MS * step;
        let of_step = classes.iter().map(|class| send(shares, now, class, capacity));
        let of_step: Vec<Admission> = of_step.collect();
        if step >= 200 {
            admissions.extend(of_step);
        }
    }
    (start + Duration::from_secs(3), admissions)
}

fn count(admissions: &[Admission], is_counted: impl Fn(&Admission) -> bool) -> usize {
    admissions.iter().filter(|admission| is_counted(admission)).count()
}

fn is_refused(admission: &Admission) -> bool {
    matches!(admission, Admission::Refused(_))
}

fn totals(rows: Vec<OfferedRow>, routers: u32, age: Duration) -> Totals {
    Totals { rows, in_progress: 42.0, routers, age }
}

fn row(workspace: &str, usual: f64, loads: [f64; 2]) -> OfferedRow {
    let ranks = [0, 1].map(|rank| RankLoad { rank, new: loads[usize::from(rank)], returning: 0.0 });
    OfferedRow { workspace: WorkspaceKey::of(workspace), usual, ranks: ranks.to_vec() }
}

/// Guards against other decisions than before, and memory that is used, where no setting requests
/// a division.
#[test]
fn nothing_is_decided_or_recorded_without_the_settings() {
    let mut shares = Shares::new(SharesSettings::default());
    let (now, admissions) = overload(&mut shares, START, 10.0);
    assert!(admissions.iter().all(|admission| *admission == Admission::Normal));
    shares.set_totals(
        now,
        &"chat".into(),
        totals(vec![row("a", 1.0, [9.0, 9.0])], 1, Duration::ZERO),
    );
    assert!(shares.own_rows(now, "chat").is_empty() && shares.status(now, "chat").is_none());
    assert_eq!(shares.in_progress(now, "chat"), None);
}

/// Guards against decisions by rank where the setting for it is off, and likewise for workspaces.
#[test]
fn each_setting_stands_alone() {
    for (by_priority, ranks) in [(true, 2), (false, 1)] {
        let workspace_shares = !by_priority;
        let mut shares =
            Shares::new(SharesSettings { by_priority, workspace_shares, min_routers: 0 });
        let (now, admissions) = overload(&mut shares, START, 200.0);
        let status = shares.status(now, "chat").unwrap();
        assert!(status.is_overloaded);
        assert_eq!(status.admitted_by_rank.len(), ranks);
        assert_eq!(status.workspaces.len(), if workspace_shares { 2 } else { 1 });
        let refused = count(&admissions, is_refused);
        assert!((180..=220).contains(&refused), "{refused} of 400 refused");
        let by_rank = [0, 1].map(|rank| {
            let of_rank: Vec<Admission> =
                admissions.iter().copied().skip(rank).step_by(2).collect();
            count(&of_rank, is_refused)
        });
        let is_by_rank = by_rank[0] < 20 && by_rank[1] > 180;
        assert_eq!(is_by_rank, by_priority, "{by_rank:?} refused");
    }
}

/// Guards against a division of services whose requests are all alike, which must be decided as
/// before.
#[test]
fn a_service_with_one_class_is_not_divided() {
    let mut shares = Shares::new(BOTH);
    for step in 0..300 {
        let admission = send(&mut shares, START + 10 * MS * step, &class("a", 1), 20.0);
        assert_eq!(admission, Admission::Normal);
    }
}

/// Guards against planned requests that do not say which part of the load is ahead of them.
#[test]
fn planned_requests_carry_the_load_ahead_of_them() {
    let mut shares = Shares::new(BOTH);
    let (_, admissions) = overload(&mut shares, START, 300.0);
    let planned = |wanted: bool| {
        // The last ones, when the means have risen to the offered load.
        admissions.iter().rev().find_map(move |admission| match admission {
            Admission::Planned { is_marginal, ahead_share } if *is_marginal == wanted => {
                Some(*ahead_share)
            }
            _ => None,
        })
    };
    let (urgent, marginal) = (planned(false).unwrap(), planned(true).unwrap());
    assert!((urgent - 2.0 / 3.0).abs() < 0.05, "{urgent}");
    assert!((marginal - 1.0).abs() < 1e-6, "{marginal}");
}

/// Guards against operators who cannot tell a workspace beyond its share from a rank that others
/// precede, or from a service that is simply full.
#[test]
fn each_refusal_has_its_reason() {
    let mut shares = Shares::new(BOTH);
    let service: Arc<str> = "chat".into();
    let rows = vec![row("a", 5.0, [90.0, 10.0]), row("b", 5.0, [0.0, 0.0])];
    let mut reason = |rows: &[OfferedRow], now: Duration, class: &Class| {
        shares.set_totals(now, &service, totals(rows.to_vec(), 1, Duration::ZERO));
        let admissions = (0..100).map(|step| send(&mut shares, now + MS * step, class, 60.0));
        admissions.collect::<Vec<_>>().into_iter().find(is_refused)
    };
    let refused = |reason| Some(Admission::Refused(reason));
    let beyond = reason(&rows, START, &class("a", 0));
    assert_eq!(beyond, refused(RefusalReason::WorkspaceShare));
    let alike = [row("a", 5.0, [90.0, 10.0]), row("b", 5.0, [90.0, 10.0])];
    let now = START + SLOT_TIME;
    assert_eq!(reason(&alike, now, &class("a", 1)), refused(RefusalReason::Rank));
    let now = START + 2 * SLOT_TIME;
    assert_eq!(reason(&alike, now, &class("a", 0)), refused(RefusalReason::Overloaded));
}

/// Guards against large requests that are refused more often than small ones of their class.
#[test]
fn large_requests_are_refused_as_often_as_small_ones() {
    let mut shares = Shares::new(BOTH);
    let class = class("a", 1);
    let rows = vec![row("a", 60.0, [50.0, 50.0]), row("b", 60.0, [50.0, 50.0])];
    let full = Totals { in_progress: 150.0, ..totals(rows, 64, 300 * MS) };
    let mut admitted = [0, 0];
    for step in 0..4_000 {
        let now = START + MS * step;
        shares.set_totals(now, &"chat".into(), full.clone());
        let is_large = step % 3 == 0;
        let slot_time = if is_large { 8 * SLOT_TIME } else { SLOT_TIME };
        let admission = send_of(&mut shares, now, &class, slot_time, 150.0, 64);
        admitted[usize::from(is_large)] += usize::from(!is_refused(&admission));
    }
    let [small, large] =
        [f64::from(admitted[0] as u32) / 2_666.0, f64::from(admitted[1] as u32) / 1_334.0];
    assert!((small - 0.5).abs() < 0.02 && (large - 0.5).abs() < 0.02, "{small} {large}");
}

/// Guards against totals that are used although they are too old, and against routers without
/// totals that use the whole capacity.
#[test]
fn old_totals_are_replaced_by_the_own_part() {
    let mut shares = Shares::new(BOTH);
    let service: Arc<str> = "chat".into();
    let calm = vec![row("a", 5.0, [1.0, 1.0]), row("b", 5.0, [1.0, 1.0])];
    let capacity = 4_000.0;
    let admissions = |shares: &mut Shares, start: Duration| {
        let mut admissions = Vec::new();
        for step in 0..400 {
            let now = start + 5 * MS * step;
            for class in [class("a", 0), class("b", 1)] {
                admissions.push(send_of(shares, now, &class, SLOT_TIME, capacity, 20));
            }
        }
        admissions.split_off(600)
    };
    // 400 slots are offered; a twentieth of the capacity is 200.
    let alone = admissions(&mut shares, START);
    let refused = count(&alone, is_refused);
    assert!((90..=110).contains(&refused), "{refused} of 200 refused");
    let now = START + 2 * SLOT_TIME;
    shares.set_totals(now, &service, totals(calm.clone(), 20, 600 * MS));
    assert_eq!(shares.in_progress(now + 1_150 * MS, "chat"), Some(42.0));
    assert_eq!(shares.in_progress(now + 1_151 * MS, "chat"), None);
    let with_totals = send_of(&mut shares, now + 100 * MS, &class("a", 0), SLOT_TIME, capacity, 20);
    assert_eq!(with_totals, Admission::Normal);
    let refused = count(&admissions(&mut shares, now + 1_250 * MS), is_refused);
    assert!((90..=110).contains(&refused), "{refused} of 200 refused after the totals");
}

/// Guards against slots of short requests that stay unused, and against a router out of touch that goes
/// on to use more than its part since its last totals showed unused slots.
#[test]
fn unused_slots_of_short_requests_are_filled_only_with_totals() {
    let mut shares = Shares::new(BOTH);
    let rows = vec![row("a", 50.0, [100.0, 100.0]), row("b", 50.0, [100.0, 100.0])];
    let idle = Totals { in_progress: 0.0, ..totals(rows, 20, 300 * MS) };
    // Eight slots are offered at this router; its part of the capacity is five.
    let refused_share = |shares: &mut Shares, start: Duration, has_totals: bool| {
        let mut refused = 0;
        for step in 0..800 {
            let now = start + 5 * MS * step;
            if has_totals {
                shares.set_totals(now, &"chat".into(), idle.clone());
            }
            for class in [class("a", 0), class("b", 1)] {
                let admission = send_of(shares, now, &class, 20 * MS, 100.0, 20);
                refused += usize::from(step >= 600 && is_refused(&admission));
            }
        }
        refused as f64 / 400.0
    };
    let with_totals = refused_share(&mut shares, START, true);
    assert!((with_totals - 0.25).abs() < 0.05, "{with_totals}: 300 of 400 slots are admitted");
    let alone = refused_share(&mut shares, START + 4 * SLOT_TIME, false);
    assert!((alone - 0.375).abs() < 0.1, "{alone}: five of eight slots are admitted");
}

/// Guards against routers in touch that use the part of those that are not.
#[test]
fn routers_that_are_not_in_the_totals_keep_their_part() {
    let mut shares = Shares::new(BOTH);
    let rows = vec![row("a", 50.0, [100.0, 100.0]), row("b", 50.0, [100.0, 100.0])];
    shares.set_totals(START, &"chat".into(), totals(rows, 16, 300 * MS));
    send_of(&mut shares, START, &class("a", 0), SLOT_TIME, 200.0, 20);
    assert_eq!(shares.status(START, "chat").unwrap().capacity_slots, 160.0);
}

/// Guards against logs that are written more than once for an overload, or never at its end when
/// the requests stop.
#[test]
fn the_begin_and_the_end_of_an_overload_are_reported_once() {
    let mut shares = Shares::new(BOTH);
    let (mut now, _) = overload(&mut shares, START, 200.0);
    let changes = shares.take_overload_changes(now);
    assert!(changes.len() == 1 && changes[0].is_overloaded, "{changes:?}");
    (now, _) = overload(&mut shares, now, 200.0);
    assert_eq!(shares.take_overload_changes(now), []);
    let changes = shares.take_overload_changes(now + 10 * SLOT_TIME);
    assert!(changes.len() == 1 && !changes[0].is_overloaded, "{changes:?}");
    assert!(!shares.is_overloaded("chat"));
}

/// Guards against an unbounded table, metrics with a name for each workspace, and a load that is
/// lost with the workspaces that have no row.
#[test]
fn thousands_of_workspaces_share_a_bounded_table() {
    let mut shares = Shares::new(BOTH);
    for number in 0..18_000_u32 {
        let name = if number.is_multiple_of(3) { "large".into() } else { format!("w-{number}") };
        send(&mut shares, START + MS * number / 3, &class(&name, 0), 1e9);
    }
    let now = START + 6 * SLOT_TIME;
    let rows = shares.own_rows(now, "chat");
    assert!(rows.len() <= 65, "{} rows", rows.len());
    let total: f64 = rows.iter().map(OfferedRow::offered_slots).sum();
    assert!((total - 3_000.0).abs() < 50.0, "{total} of 3000 slots");
    let status = shares.status(now, "chat").unwrap();
    assert_eq!(status.workspaces.len(), 32);
    assert!(status.workspaces.iter().any(|row| row.workspace == WorkspaceKey::of("large")));
}

/// Guards against state that stays when a configuration drops a service or a workspace, and against
/// others losing theirs.
#[test]
fn dropped_services_and_workspaces_leave_no_state() {
    let mut shares = Shares::new(BOTH);
    let (now, _) = overload(&mut shares, START, 200.0);
    shares.retain(|_| true, |workspace| workspace == WorkspaceKey::of("a"));
    let rows = shares.own_rows(now, "chat");
    assert!(rows.len() == 1 && rows[0].workspace == WorkspaceKey::of("a"), "{rows:?}");
    shares.retain(|service| service != "chat", |_| true);
    assert!(shares.own_rows(now, "chat").is_empty());
}

/// Guards against an average that follows a workspace beyond its share, which then takes the slots
/// of the others for as long as it goes on.
#[test]
fn an_excess_does_not_become_the_average() {
    let mut shares = Shares::new(BOTH);
    let usual = |shares: &Shares, now| {
        let rows = shares.own_rows(now, "chat");
        rows.iter().find(|row| row.workspace == WorkspaceKey::of("greedy")).unwrap().usual
    };
    let mut before = 0.0;
    for step in 0..9_000 {
        // 40 requests a second of each; the greedy one sends 400 after a minute.
        let now = START + 10 * MS * step;
        let greedy = if step >= 6_000 { 4 } else { 1 };
        let is_normal = step % 5 < 2;
        for _ in 0..if greedy == 4 { 4 } else { usize::from(is_normal) } {
            send(&mut shares, now, &class("greedy", 0), 300.0);
        }
        for other in ["a", "b", "c"].into_iter().filter(|_| is_normal) {
            send(&mut shares, now, &class(other, 0), 300.0);
        }
        if step == 5_999 {
            before = usual(&shares, now);
        }
    }
    let after = usual(&shares, START + 90 * SLOT_TIME);
    assert!((before - 40.0).abs() < 4.0, "{before}");
    assert!(after < 2.0 * before, "{before} to {after} in half a minute at ten times the load");
}
