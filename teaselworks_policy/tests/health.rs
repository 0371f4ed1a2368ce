//! Ejection and return of upstreams.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::placement::{PlacementRequest, PlacementSettings, place};
use teaselworks_policy::upstream::{Health, Pool, Symptom, Upstream};

const SECOND: Duration = Duration::from_secs(1);

fn broken(health: &mut Health, now: Duration, times: usize) -> bool {
    (0..times).any(|_| health.observe(now, Symptom::Broken, 0.0))
}

/// Guards against a burst of failures at a replica whose ejection ends while it is down.
#[test]
fn one_trial_follows_an_ejection() {
    let mut health = Health::default();
    assert!(broken(&mut health, SECOND, 2));
    assert!(!health.is_usable(SECOND + SECOND / 2));
    assert!(health.is_usable(2 * SECOND));
    health.begin(2 * SECOND);
    assert!(!health.is_usable(2 * SECOND), "the trial is under way");
    assert!(health.observe(2 * SECOND, Symptom::Broken, 0.0), "the trial failed");
    assert!(!health.is_usable(3 * SECOND), "the second ejection is longer");
    assert!(health.is_usable(4 * SECOND));
}

/// Guards against a replica that gets no request any more, since its trial was cancelled.
#[test]
fn a_cancelled_trial_is_made_again() {
    let mut health = Health::default();
    broken(&mut health, SECOND, 2);
    health.begin(2 * SECOND);
    health.forget_trial();
    assert!(health.is_usable(2 * SECOND));
}

/// Guards against the ejection of replicas for failures that all of them share.
#[test]
fn failures_that_all_replicas_share_eject_none() {
    let mut health = Health::default();
    for number in 0..200 {
        let symptom = if number % 7 == 0 { Symptom::Failed } else { Symptom::Answered };
        assert!(!health.observe(SECOND, symptom, 0.14));
    }
}

#[test]
fn a_replica_that_fails_more_than_its_peers_is_ejected() {
    let mut health = Health::default();
    let ejected = (0..20).any(|_| health.observe(SECOND, Symptom::Failed, 0.05));
    assert!(ejected);
}

/// Returns how many replicas requests are sent to.
fn chosen(pool: &Pool) -> usize {
    let request = PlacementRequest {
        prompt: None,
        zone: "a",
        tried: &[],
        remaining: SECOND,
        max_retry_after: SECOND,
        has_started: false,
        is_late: false,
    };
    let settings = PlacementSettings { load_factor: 2.0, routers: 1 };
    let mut random = Pcg32::seed_from_u64(1);
    let placed = (0..200).map(|_| place(pool, SECOND, &request, &settings, &mut random).unwrap());
    placed.map(|placement| placement.upstream.id.clone()).collect::<BTreeSet<_>>().len()
}

/// Guards against a service without replicas after a fault on the way to all of them.
#[test]
fn most_of_a_service_is_never_ejected() {
    let mut pool = Pool::default();
    for number in 0..4 {
        pool.put(Upstream::example(&format!("i-{number}"), "chat"));
    }
    for ejected in 1..=4 {
        let upstream = Upstream::example(&format!("i-{}", ejected - 1), "chat").incarnation();
        for _ in 0..2 {
            pool.begin(SECOND, &upstream);
            pool.end(SECOND, &upstream, Some(Symptom::Broken), Duration::ZERO);
        }
        let left = chosen(&pool);
        assert_eq!(left, if ejected <= 2 { 4 - ejected } else { 4 }, "{ejected} ejected");
    }
}
