//! Tests of the ejection of failing upstreams and of their return.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::placement::{PlacementRequest, PlacementSettings, place};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::upstream::{Health, Pool, RequestOutcome, Upstream};

const SECOND: Duration = Duration::from_secs(1);

/// Records requests without an answer; returns whether one of them ejects the replica.
fn observe_unanswered(health: &mut Health, now: Duration, times: usize) -> bool {
    (0..times).any(|_| health.observe(now, RequestOutcome::NoAnswer, 0.0))
}

/// Guards against a burst of failed requests when the ejection of a replica ends while it is still
/// down: without a probe, requests are sent to it again until enough of them have failed.
#[test]
fn a_single_probe_follows_an_ejection() {
    let mut health = Health::default();
    assert!(observe_unanswered(&mut health, SECOND, 2));
    assert!(!health.is_usable(SECOND + SECOND / 2));
    assert!(health.is_usable(2 * SECOND));
    health.begin_request(2 * SECOND);
    assert!(!health.is_usable(2 * SECOND), "the probe is in progress");
    assert!(health.observe(2 * SECOND, RequestOutcome::NoAnswer, 0.0), "the probe failed");
    assert!(!health.is_usable(3 * SECOND), "the second ejection is longer");
    assert!(health.is_usable(4 * SECOND));
}

/// Guards against a replica that never gets a request again because the probe was cancelled, for
/// instance by its caller.
#[test]
fn a_cancelled_probe_leaves_the_replica_usable() {
    let mut health = Health::default();
    observe_unanswered(&mut health, SECOND, 2);
    health.begin_request(2 * SECOND);
    health.end_without_outcome();
    assert!(health.is_usable(2 * SECOND));
}

/// Guards against the ejection of a replica whose failure rate is that of the whole service, so
/// that the fault is not the replica's.
#[test]
fn failures_that_all_replicas_share_eject_none() {
    let mut health = Health::default();
    for number in 0..200 {
        let outcome =
            if number % 7 == 0 { RequestOutcome::Error } else { RequestOutcome::Answered };
        assert!(!health.observe(SECOND, outcome, 0.14));
    }
}

/// Guards against a replica that stays in use although it fails far more often than the others.
#[test]
fn a_replica_that_fails_more_than_its_peers_is_ejected() {
    let mut health = Health::default();
    let ejected = (0..20).any(|_| health.observe(SECOND, RequestOutcome::Error, 0.05));
    assert!(ejected);
}

/// Returns the number of replicas that requests are sent to.
fn count_used_replicas(pool: &Pool) -> usize {
    let request = PlacementRequest {
        prompt: None,
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: false,
        remaining: SECOND,
        max_retry_after: SECOND,
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    };
    let settings = PlacementSettings { load_factor: 2.0, routers: 1 };
    let mut random = Pcg32::seed_from_u64(1);
    let placed = (0..200).map(|_| place(pool, SECOND, &request, &settings, &mut random).unwrap());
    placed.map(|placement| placement.upstream.id.clone()).collect::<BTreeSet<_>>().len()
}

/// Guards against a service without usable replicas when a network fault makes all of them seem to
/// fail.
#[test]
fn ejections_of_more_than_half_of_a_service_are_ignored() {
    let mut pool = Pool::default();
    for number in 0..4 {
        pool.put(Upstream::example(&format!("i-{number}"), "chat"));
    }
    for ejected in 1..=4 {
        let upstream = Upstream::example(&format!("i-{}", ejected - 1), "chat").incarnation();
        for _ in 0..2 {
            pool.begin_request(SECOND, &upstream);
            pool.end_request(SECOND, &upstream, Some(RequestOutcome::NoAnswer), Duration::ZERO);
        }
        let left = count_used_replicas(&pool);
        assert_eq!(left, if ejected <= 2 { 4 - ejected } else { 4 }, "{ejected} ejected");
    }
}
