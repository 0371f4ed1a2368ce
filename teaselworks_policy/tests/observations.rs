//! Tests of the loads and failures of replicas that routers share with each other.

use std::time::{Duration, SystemTime};

use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::{
    AverageLoad, Change, ColdSettings, Load, LoadReport, RequestOutcome, Upstream,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a router to which the given replicas are listed.
fn new_router(upstreams: &[Upstream]) -> Fleet {
    let budget = BudgetSettings { ratio: 0.2, slack: 10.0, window: 10 * SECOND };
    let membership = Membership::new("router".into(), Vec::new());
    let cold = ColdSettings { overshoot: 1.0, slack: 0.0 };
    let mut fleet = Fleet::new(
        FleetSettings {
            load_factor: 2.0,
            cold,
            budget,
            shares: SharesSettings::default(),
            max_staleness: Duration::from_secs(2),
        },
        membership,
        1,
    );
    for upstream in upstreams {
        fleet.apply(Duration::ZERO, &Change::Serving(upstream.clone()));
    }
    fleet
}

/// Returns the age of the load report that a router knows of its only replica.
fn known_report_age(fleet: &Fleet, now: Duration) -> Option<Duration> {
    fleet.pool("service").unwrap().members()[0].load.report_age(now)
}

/// Guards against an older report, passed on by another router, that replaces a later one.
#[test]
fn the_later_report_is_kept() {
    let average_load = AverageLoad { peer_requests: 0.0, own_requests: 0.0, routers: 70 };
    let mut load = Load::default();
    load.on_load_report(10 * SECOND, LoadReport { running: 5, waiting: 0 });
    load.apply_shared_load(11 * SECOND, 9, 2 * SECOND);
    assert_eq!(load.estimate(11 * SECOND, &average_load).round(), 5.0);
    load.apply_shared_load(12 * SECOND, 9, SECOND / 2);
    assert_eq!(load.report_age(12 * SECOND), Some(SECOND / 2));
    assert_eq!(load.report_after(12 * SECOND, 11 * SECOND, false), Some((9, SECOND / 2)));
}

/// Guards against replicas that stay unused while they are idle: once a shared report shows a
/// replica to be full, no router sends a request there, and no newer report follows.
#[test]
fn a_shared_report_of_a_full_replica_fades() {
    let average_load = AverageLoad { peer_requests: 6.0, own_requests: 0.0, routers: 70 };
    let mut load = Load::default();
    load.apply_shared_load(SECOND, 30, Duration::ZERO);
    assert_eq!(load.estimate(SECOND, &average_load), 30.0);
    assert!(load.estimate(5 * SECOND, &average_load) < 10.0);
}

/// Guards against a router that estimates loads without the reports that other routers received:
/// the router that reads the store for it passes them on.
#[test]
fn a_load_report_reaches_routers_through_the_store_reader() {
    let upstream = Upstream::example("i-1", "service");
    let (mut receiver, mut store_reader, mut other) = (
        new_router(std::slice::from_ref(&upstream)),
        new_router(std::slice::from_ref(&upstream)),
        new_router(std::slice::from_ref(&upstream)),
    );
    let report = LoadReport { running: 7, waiting: 1 };
    receiver.on_load_report(SECOND, "service", &upstream.incarnation(), report);
    store_reader.apply_observations(
        SECOND * 3 / 2,
        &receiver.observations_after(SECOND * 3 / 2, Duration::ZERO, true),
    );
    assert!(
        store_reader.observations_after(2 * SECOND, Duration::ZERO, true).is_empty(),
        "the report was received by another router"
    );
    other.apply_observations(
        2 * SECOND,
        &store_reader.observations_after(2 * SECOND, Duration::ZERO, false),
    );
    assert_eq!(known_report_age(&other, 2 * SECOND), Some(SECOND));
    assert!(
        store_reader.observations_after(3 * SECOND, 2 * SECOND, false).is_empty(),
        "the report was shared before"
    );
}

/// Guards against applying a load report of an earlier incarnation of a replica to a later one: a
/// router that has not seen the restart yet still shares the report.
#[test]
fn a_load_report_of_an_earlier_incarnation_is_ignored() {
    let before = Upstream::example("i-1", "service");
    let started = Some(SystemTime::UNIX_EPOCH + SECOND);
    let after = Upstream { started, ..before.clone() };
    let mut outdated = new_router(std::slice::from_ref(&before));
    let mut current = new_router(&[before.clone(), after]);
    let report = LoadReport { running: 7, waiting: 1 };
    outdated.on_load_report(SECOND, "service", &before.incarnation(), report);
    current.apply_observations(SECOND, &outdated.observations_after(SECOND, Duration::ZERO, true));
    assert_eq!(known_report_age(&current, SECOND), None);
}

/// Fails requests to the first replica at a router that gets answers from others of the service.
fn fail_requests(fleet: &mut Fleet, now: Duration, times: u32) {
    fleet.on_data(now, "service");
    let incarnation = Upstream::example("i-1", "service").incarnation();
    for _ in 0..times {
        fleet.on_attempt_end(
            now,
            "service",
            &incarnation,
            Some(RequestOutcome::NoAnswer),
            SECOND / 10,
        );
    }
}

fn is_usable(fleet: &Fleet, now: Duration) -> bool {
    fleet.pool("service").unwrap().members()[0].health.is_usable(now)
}

/// Shares a router's own observations; returns the number of replicas ejected or readmitted for
/// them.
fn share_observations(from: &Fleet, to: &mut Fleet, now: Duration, after: Duration) -> usize {
    to.apply_observations(now, &from.observations_after(now, after, true)).len()
}

/// Guards against an unresponsive replica that each of many routers has to detect by itself, and
/// against one that stays ejected although it has answered another router.
#[test]
fn failures_at_two_routers_eject_a_replica_at_a_third_until_it_answers() {
    let upstream = Upstream::example("i-1", "service");
    let router = || new_router(std::slice::from_ref(&upstream));
    let (mut first, mut second, mut third) = (router(), router(), router());
    let now = 5 * SECOND;
    fail_requests(&mut first, now, 2);
    fail_requests(&mut second, now, 2);
    assert_eq!(
        share_observations(&first, &mut third, now, SECOND),
        0,
        "the failures of one router alone must not eject a replica: it may be cut off"
    );
    assert_eq!(share_observations(&second, &mut third, now, SECOND), 1);
    assert!(!is_usable(&third, now));
    let later = now + SECOND / 2;
    first.on_load_report(
        later,
        "service",
        &upstream.incarnation(),
        LoadReport { running: 1, waiting: 0 },
    );
    assert_eq!(share_observations(&first, &mut third, later, now), 1);
    assert!(is_usable(&third, later));
}

/// Guards against a router that is cut off from a replica and whose failures eject the replica at
/// routers that can reach it. Its requests were sent before the replica last responded to another
/// router.
#[test]
fn failures_of_requests_sent_before_the_replica_responded_eject_nothing() {
    let upstream = Upstream::example("i-1", "service");
    let (mut cut_off, mut connected) =
        (new_router(std::slice::from_ref(&upstream)), new_router(std::slice::from_ref(&upstream)));
    let now = 5 * SECOND;
    fail_requests(&mut cut_off, now, 8);
    connected.on_load_report(
        now,
        "service",
        &upstream.incarnation(),
        LoadReport { running: 1, waiting: 0 },
    );
    assert_eq!(share_observations(&cut_off, &mut connected, now, SECOND), 0);
    assert!(is_usable(&connected, now));
}

/// Guards against a replica that gets the requests for a hot key from every router and is estimated
/// to have an average load until it reports.
#[test]
fn more_own_requests_than_average_raise_the_estimate_of_peer_requests() {
    let average_load = AverageLoad { peer_requests: 3.0, own_requests: 0.5, routers: 7 };
    let mut load = Load::default();
    let idle = load.estimate(SECOND, &average_load);
    load.begin_request();
    load.begin_request();
    let busy = load.estimate(SECOND, &average_load);
    // Busy: two own requests, and more than 1.5 times the mean of the requests of other routers.
    assert!(idle <= 3.0 && busy > 2.0 + 1.5 * 3.0, "{idle}, {busy}");
    load.on_load_report(SECOND, LoadReport { running: 3, waiting: 0 });
    assert_eq!(
        load.estimate(SECOND, &average_load),
        3.0,
        "a report takes precedence over the average"
    );
}

/// Guards against routers that are cut off from all replicas and make the others eject replicas
/// that work: what fails is their own link.
#[test]
fn routers_that_reach_no_replica_do_not_make_others_eject_any() {
    let upstreams = ["i-1", "i-2"].map(|id| Upstream::example(id, "service"));
    let mut healthy = new_router(&upstreams);
    for _ in 0..3 {
        let mut cut = new_router(&upstreams);
        cut.on_data(SECOND, "service");
        for upstream in &upstreams {
            let incarnation = upstream.incarnation();
            let outcome = Some(RequestOutcome::NoAnswer);
            cut.on_attempt_end(3 * SECOND, "service", &incarnation, outcome, SECOND);
        }
        let now = 7 * SECOND / 2;
        healthy.apply_observations(now, &cut.observations_after(now, Duration::ZERO, true));
    }
    let members = healthy.pool("service").unwrap().members();
    assert!(members.iter().all(|member| member.health.is_usable(7 * SECOND / 2)));
}
