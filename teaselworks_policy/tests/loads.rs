//! Loads and failures of replicas that routers tell each other.

use std::time::{Duration, SystemTime};

use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::upstream::{Change, Load, LoadReport, Symptom, Upstream, Usual};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(upstreams: &[Upstream]) -> Fleet {
    let budget = BudgetSettings { ratio: 0.2, slack: 10.0, window: 10 * SECOND };
    let membership = Membership::new("router".into(), Vec::new());
    let mut fleet = Fleet::new(FleetSettings { load_factor: 2.0, budget }, membership, 1);
    for upstream in upstreams {
        fleet.apply(&Change::Serving(upstream.clone()));
    }
    fleet
}

fn load_at(fleet: &Fleet, now: Duration) -> Option<Duration> {
    fleet.pool("service").unwrap().members()[0].load.report_age(now)
}

/// Guards against an older word of another router that takes the place of a later one.
#[test]
fn the_later_report_stands() {
    let usual = Usual { foreign: 0.0, own: 0.0, routers: 70 };
    let mut load = Load::default();
    load.report(10 * SECOND, LoadReport { running: 5, waiting: 0 });
    load.hear(11 * SECOND, 9, 2 * SECOND);
    assert_eq!(load.estimate(11 * SECOND, &usual).round(), 5.0);
    load.hear(12 * SECOND, 9, SECOND / 2);
    assert_eq!(load.report_age(12 * SECOND), Some(SECOND / 2));
    assert_eq!(load.estimate(12 * SECOND, &usual).round(), 9.0);
}

#[test]
fn a_load_reaches_a_router_that_did_not_hear_it() {
    let upstream = Upstream::example("i-1", "service");
    let (mut near, mut reader, mut far) = (
        fleet(std::slice::from_ref(&upstream)),
        fleet(std::slice::from_ref(&upstream)),
        fleet(std::slice::from_ref(&upstream)),
    );
    let report = LoadReport { running: 7, waiting: 1 };
    near.on_load_report(SECOND, "service", &upstream.incarnation(), report);
    reader.merge_from_peer(
        SECOND * 3 / 2,
        &near.sightings_after(SECOND * 3 / 2, Duration::ZERO, true),
    );
    assert!(
        reader.sightings_after(2 * SECOND, Duration::ZERO, true).is_empty(),
        "it is not its own"
    );
    far.merge_from_peer(2 * SECOND, &reader.sightings_after(2 * SECOND, Duration::ZERO, false));
    assert_eq!(load_at(&far, 2 * SECOND), Some(SECOND));
    assert!(
        reader.sightings_after(3 * SECOND, 2 * SECOND, false).is_empty(),
        "it was told already"
    );
}

/// Guards against the load of a replica's earlier start that is told of a later one.
#[test]
fn a_load_of_an_earlier_start_is_not_taken() {
    let before = Upstream::example("i-1", "service");
    let started = Some(SystemTime::UNIX_EPOCH + SECOND);
    let after = Upstream { started, ..before.clone() };
    let mut slow = fleet(std::slice::from_ref(&before));
    let mut current = fleet(&[before.clone(), after]);
    let report = LoadReport { running: 7, waiting: 1 };
    slow.on_load_report(SECOND, "service", &before.incarnation(), report);
    current.merge_from_peer(SECOND, &slow.sightings_after(SECOND, Duration::ZERO, true));
    assert_eq!(load_at(&current, SECOND), None);
}

fn fail(fleet: &mut Fleet, now: Duration, times: u32) {
    let upstream = Upstream::example("i-1", "service").incarnation();
    for _ in 0..times {
        fleet.on_attempt_end(now, "service", &upstream, Some(Symptom::Broken), SECOND / 10);
    }
}

fn is_usable(fleet: &Fleet, now: Duration) -> bool {
    fleet.pool("service").unwrap().members()[0].health.is_usable(now)
}

fn tell(from: &Fleet, to: &mut Fleet, now: Duration, after: Duration) -> usize {
    to.merge_from_peer(now, &from.sightings_after(now, after, true)).len()
}

/// Guards against many routers that each find a silent replica by themselves, and against one that
/// stays ejected though another router is answered there.
#[test]
fn failures_at_two_routers_eject_a_replica_at_a_third_until_one_is_answered() {
    let upstream = Upstream::example("i-1", "service");
    let fleets = || fleet(std::slice::from_ref(&upstream));
    let (mut first, mut second, mut third) = (fleets(), fleets(), fleets());
    let now = 5 * SECOND;
    fail(&mut first, now, 2);
    fail(&mut second, now, 2);
    assert_eq!(tell(&first, &mut third, now, SECOND), 0, "one router may be cut off");
    assert_eq!(tell(&second, &mut third, now, SECOND), 1);
    assert!(!is_usable(&third, now));
    let later = now + SECOND / 2;
    first.on_load_report(
        later,
        "service",
        &upstream.incarnation(),
        LoadReport { running: 1, waiting: 0 },
    );
    assert_eq!(tell(&first, &mut third, later, now), 1);
    assert!(is_usable(&third, later));
}

/// Guards against routers that are cut off from a replica and take it from those that reach it.
#[test]
fn failures_of_what_was_sent_before_a_replica_was_heard_of_eject_nothing() {
    let upstream = Upstream::example("i-1", "service");
    let (mut cut_off, mut near) =
        (fleet(std::slice::from_ref(&upstream)), fleet(std::slice::from_ref(&upstream)));
    let now = 5 * SECOND;
    fail(&mut cut_off, now, 8);
    near.on_load_report(
        now,
        "service",
        &upstream.incarnation(),
        LoadReport { running: 1, waiting: 0 },
    );
    assert_eq!(tell(&cut_off, &mut near, now, SECOND), 0);
    assert!(is_usable(&near, now));
}

/// Guards against a replica of a hot key that is taken to be loaded as usual until it says otherwise,
/// while every router sends it more.
#[test]
fn more_own_requests_than_usual_speak_for_more_of_others() {
    let usual = Usual { foreign: 3.0, own: 0.5, routers: 7 };
    let mut load = Load::default();
    let idle = load.estimate(SECOND, &usual);
    load.begin();
    load.begin();
    let busy = load.estimate(SECOND, &usual);
    assert!(idle <= 3.0 && busy > 2.0 + 1.5 * 3.0, "{idle}, {busy}");
    load.report(SECOND, LoadReport { running: 3, waiting: 0 });
    assert_eq!(load.estimate(SECOND, &usual), 3.0, "a report goes before a guess");
}
