//! Placement while half of a service is evacuated, so that the others may exceed their mean load by
//! a few requests only.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::placement::{
    PlacementRequest, PlacementSettings, Prompt, PromptPart, place,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::upstream::{EvacuatedZones, LoadReport, Pool, Upstream};

const REPORTED_AT: Duration = Duration::from_secs(5);
/// Requests at each replica that takes requests, if none has more or fewer.
const MEAN: u32 = 20;

/// Returns a service of twelve replicas, half of them evacuated. `running` returns the number of
/// requests that a replica reports, for its identifier.
fn pool(running: impl Fn(&str) -> u32) -> Pool {
    let mut pool = Pool::default();
    for number in 0..12 {
        let zone = if number < 6 { "a" } else { "b" }.into();
        let upstream =
            Upstream { zone, slots: 64, ..Upstream::example(&format!("i-{number}"), "s") };
        pool.put(upstream.clone());
        if number < 6 {
            let report = LoadReport { running: running(&upstream.id), waiting: 0 };
            pool.on_load_report(REPORTED_AT, &upstream.incarnation(), report);
        }
    }
    let mut zones = EvacuatedZones::default();
    zones.begin(REPORTED_AT, "b");
    pool.set_evacuated_zones(&zones);
    pool
}

/// Returns how many of 300 requests with one key go to each replica at the time `age` after the
/// reports.
fn placed_by_replica(pool: &Pool, age: Duration) -> BTreeMap<String, u32> {
    let parts = [1, 10, 11].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    let prompt = Prompt { parts, input_tokens: 300, output_tokens: 50, output_hint: None };
    let request = PlacementRequest {
        prompt: Some(&prompt),
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: false,
        remaining: Duration::from_secs(1),
        max_retry_after: Duration::from_secs(1),
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    };
    let settings = PlacementSettings { load_factor: 2.0, routers: 7 };
    let mut random = Pcg32::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..300 {
        let now = REPORTED_AT + age;
        let placed = place(pool, now, &request, &settings, &mut random).unwrap();
        *counts.entry(placed.upstream.id.to_string()).or_default() += 1;
    }
    counts
}

/// Returns the two replicas that share the requests of the key while all have the mean load.
fn sharing_replicas() -> [String; 2] {
    let counts = placed_by_replica(&pool(|_| MEAN), Duration::ZERO);
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
    let ids: Vec<String> = counts.into_keys().collect();
    ids.try_into().expect("two replicas get requests")
}

/// Guards against loads that differ by more than the allowed excess because each key has a single
/// replica, and against prompts that are read at more than two.
#[test]
fn two_replicas_share_a_key_by_their_room() {
    let [first, second] = sharing_replicas();
    let uneven = pool(|id| if *id == *first { MEAN + 2 } else { MEAN });
    let counts = placed_by_replica(&uneven, Duration::ZERO);
    assert!((1..100).contains(&counts[&first]), "{counts:?}");
    assert_eq!(counts[&first] + counts[&second], 300, "{counts:?}");
    let beyond = pool(|id| if *id == *first { MEAN + 6 } else { MEAN });
    let counts = placed_by_replica(&beyond, Duration::ZERO);
    assert_eq!(counts.get(&second), Some(&300), "{counts:?}");
}

/// Guards against routers that all fill the replica that had the least load at the time of the last
/// reports, after it has been filled.
#[test]
fn a_reported_difference_counts_less_as_the_report_ages() {
    let [first, second] = sharing_replicas();
    let uneven = pool(|id| if *id == *first { MEAN - 12 } else { MEAN });
    let counts = [0, 800].map(|ms| {
        let counts = placed_by_replica(&uneven, Duration::from_millis(ms));
        assert!(counts[&second] > 0, "{counts:?}");
        counts[&first]
    });
    assert!(counts[0] > counts[1] + 30, "{counts:?}");
    assert!(counts[1] > 150, "{counts:?}");
}
