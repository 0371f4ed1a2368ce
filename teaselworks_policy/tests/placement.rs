//! Tests of placement: by cached prompts within a load bound, or by the least load for requests
//! without a prompt.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::placement::{
    Placement, PlacementReason, PlacementRequest, PlacementSettings, Prompt, PromptPart,
    hash_upstream_id, place, rendezvous_score,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::upstream::{
    Incarnation, LoadReport, ObservationIndex, Pool, RequestOutcome, Upstream,
};
use teaselworks_policy::verdict::RefusalReason;

const NOW: Duration = Duration::from_secs(5);
const SETTINGS: PlacementSettings = PlacementSettings { load_factor: 2.0, routers: 1 };

/// Returns a service with replicas `i-0`, `i-1` and so on, alternately in zones `a` and `b`.
fn pool(replicas: u32, slots: u32) -> Pool {
    let mut pool = Pool::default();
    for number in 0..replicas {
        pool.put(Upstream {
            address: ([127, 0, 0, 1], 8_000 + number as u16).into(),
            zone: if number % 2 == 0 { "a" } else { "b" }.into(),
            slots,
            ..Upstream::example(&format!("i-{number}"), "chat")
        });
    }
    pool
}

fn incarnation(pool: &Pool, id: &str) -> Incarnation {
    let mut members = pool.members().iter();
    members.find(|member| *member.upstream.id == *id).unwrap().upstream.incarnation()
}

/// Returns a prompt of three parts with the affinity key `key`.
fn prompt(key: u64) -> Prompt {
    let parts = [1, key, 1_000_000 + key].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    Prompt { parts, input_tokens: 300, output_tokens: 50, output_hint: None }
}

fn request(prompt: Option<&Prompt>) -> PlacementRequest<'_> {
    let second = Duration::from_secs(1);
    let remaining = second;
    PlacementRequest {
        prompt,
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: false,
        remaining,
        max_retry_after: second,
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    }
}

fn random() -> Pcg32 {
    Pcg32::seed_from_u64(7)
}

/// Guards against routers that send requests with a shared prompt part to different replicas: each
/// of those replicas would process the part again.
#[test]
fn every_router_sends_requests_with_a_shared_prompt_part_to_the_same_replica() {
    let pool = pool(18, 48);
    for key in 10..200 {
        let prompt = prompt(key);
        let first = place(&pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random()).unwrap();
        let mut other_router = Pcg32::seed_from_u64(key);
        let again = place(&pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut other_router);
        assert_eq!(again.unwrap().upstream.id, first.upstream.id);
        assert_eq!(first.reason, PlacementReason::Home);
    }
}

/// Guards against every chat losing its cached prompt when one replica is removed: only the keys of
/// that replica may move.
#[test]
fn a_replica_that_leaves_moves_only_its_own_keys() {
    let whole = pool(18, 48);
    let mut smaller = pool(18, 48);
    smaller.remove("i-3");
    for key in 10..400 {
        let prompt = prompt(key);
        let before = place(&whole, NOW, &request(Some(&prompt)), &SETTINGS, &mut random()).unwrap();
        let after =
            place(&smaller, NOW, &request(Some(&prompt)), &SETTINGS, &mut random()).unwrap();
        let moved = before.upstream.id != after.upstream.id;
        assert_eq!(moved, &*before.upstream.id == "i-3");
    }
}

/// Guards against one replica that is overloaded by a hot key while the others are idle: half of
/// all requests have the same key.
#[test]
fn a_hot_key_is_spread_within_the_bound() {
    let mut pool = pool(6, 48);
    let hot = prompt(10);
    let mut random = random();
    for number in 0..60_u64 {
        let prompt = if number % 2 == 0 { hot.clone() } else { prompt(number + 100) };
        let placed = place(&pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random).unwrap();
        pool.begin_request(NOW, &placed.upstream.incarnation());
    }
    let loads: BTreeMap<_, _> = pool
        .members()
        .iter()
        .map(|member| (&member.upstream.id, member.load.own_requests()))
        .collect();
    let most = loads.values().max().unwrap();
    assert!(f64::from(*most) <= 2.0 * 10.0 + 3.0, "{loads:?}");
}

/// Guards against a load estimate that counts one request of this router at a replica without a
/// report as one request from every router.
#[test]
fn one_request_at_a_replica_without_a_report_does_not_count_as_one_from_every_router() {
    let mut pool = pool(6, 48);
    let prompt = prompt(10);
    let settings = PlacementSettings { routers: 8, ..SETTINGS };
    let home = place(&pool, NOW, &request(Some(&prompt)), &settings, &mut random()).unwrap();
    pool.begin_request(NOW, &home.upstream.incarnation());
    for number in 0..6 {
        let id = format!("i-{number}");
        if *id != *home.upstream.id {
            let other = incarnation(&pool, &id);
            pool.on_load_report(NOW, &other, LoadReport { running: 3, waiting: 0 });
        }
    }
    let next = place(&pool, NOW, &request(Some(&prompt)), &settings, &mut random()).unwrap();
    assert_eq!(next.reason, PlacementReason::Home);
    assert!(next.load > 1.0 + 3.0 && next.load < 1.0 + 2.0 * 3.0, "{next:?}");
}

/// Guards against requests without a prompt that leave the zone although its replicas have no more
/// load than others, or stay in it although they have.
#[test]
fn requests_without_a_prompt_go_to_the_least_loaded_replica_and_prefer_the_zone() {
    let mut pool = pool(4, 6);
    let mut random = random();
    let first = place(&pool, NOW, &request(None), &SETTINGS, &mut random).unwrap();
    assert_eq!(&*first.upstream.zone, "a");
    for id in ["i-0", "i-2"] {
        let upstream = incarnation(&pool, id);
        for _ in 0..3 {
            pool.begin_request(NOW, &upstream);
        }
    }
    let next = place(&pool, NOW, &request(None), &SETTINGS, &mut random).unwrap();
    assert_eq!(&*next.upstream.zone, "b");
}

/// Returns a service whose slots are all taken. The queues of its replicas have different lengths,
/// or four requests each.
fn full_pool(has_uneven_queues: bool) -> Pool {
    let mut pool = pool(4, 4);
    pool.set_target_latency(Some(Duration::from_millis(300)));
    for number in 0..4 {
        let upstream = incarnation(&pool, &format!("i-{number}"));
        pool.begin_request(NOW, &upstream);
        pool.end_request(
            NOW,
            &upstream,
            Some(RequestOutcome::Answered),
            Duration::from_millis(900),
        );
        let waiting = if has_uneven_queues { number } else { 4 };
        pool.on_load_report(NOW, &upstream, LoadReport { running: 4, waiting });
    }
    pool
}

/// Guards against requests that queue for longer than their target latency allows when every
/// replica is full.
#[test]
fn requests_that_cannot_be_answered_in_time_are_refused_at_once() {
    let pool = full_pool(false);
    let refusal = place(&pool, NOW, &request(None), &SETTINGS, &mut random()).unwrap_err();
    assert_eq!((refusal.reason, refusal.http_status()), (RefusalReason::Overloaded, 503));
    let started = PlacementRequest { has_started: true, ..request(None) };
    assert!(
        place(&pool, NOW, &started, &SETTINGS, &mut random()).is_ok(),
        "a request that has started is not refused"
    );
}

/// Returns the pool of a router that knows only from another router how many requests each replica
/// has; `running` returns that number for an identifier.
fn pool_with_shared_reports(replicas: u32, slots: u32, running: impl Fn(&str) -> u32) -> Pool {
    let mut other = pool(replicas, slots);
    let upstreams: Vec<_> = other.members().iter().map(|member| member.upstream.clone()).collect();
    for upstream in upstreams {
        let report = LoadReport { running: running(&upstream.id), waiting: 0 };
        other.on_load_report(NOW, &upstream.incarnation(), report);
    }
    let observations = other.observations_after(NOW, Duration::ZERO, true);
    let mut pool = pool(replicas, slots);
    pool.apply_observations(NOW, &ObservationIndex::from(&observations));
    pool
}

/// Returns how many of 200 requests with the key 10 go to each replica if every router knows the
/// same loads.
fn placed_by_replica(pool: &Pool) -> BTreeMap<String, u32> {
    let prompt = prompt(10);
    let mut counts = BTreeMap::new();
    let mut random = random();
    for _ in 0..200 {
        let Ok(placed) = place(pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random) else {
            continue;
        };
        *counts.entry(placed.upstream.id.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against a replica that gets either all requests of a key or none: all routers know the
/// same outdated loads, and change to the key's next replica at the same time.
#[test]
fn routers_that_share_reports_leave_a_replica_one_after_the_other() {
    let home = |pool: &Pool| {
        place(pool, NOW, &request(Some(&prompt(10))), &SETTINGS, &mut random()).unwrap().upstream
    };
    let first = home(&pool(12, 16)).id.clone();
    let at_mean = pool_with_shared_reports(12, 16, |_| 4);
    let near_bound = pool_with_shared_reports(12, 16, |id| if *id == *first { 8 } else { 4 });
    let counts = [at_mean, near_bound].map(|pool| placed_by_replica(&pool)[&*first]);
    assert!(counts[0] > 150, "{counts:?}");
    assert!((1..150).contains(&counts[1]), "{counts:?}");
}

/// Guards against routers that all send a key's requests to the one replica that has a free slot by
/// the reports that they share.
#[test]
fn a_free_slot_at_a_nearly_full_service_does_not_get_all_requests_of_a_key() {
    let first = place(&pool(12, 16), NOW, &request(Some(&prompt(10))), &SETTINGS, &mut random());
    let first = first.unwrap().upstream.id.clone();
    let pool = pool_with_shared_reports(12, 16, |id| if *id == *first { 14 } else { 16 });
    let counts = placed_by_replica(&pool);
    assert!(counts.len() >= 4, "{counts:?}");
    assert!(counts[&*first] < 100, "{counts:?}");
    assert!(counts.values().all(|count| *count <= counts[&*first]), "{counts:?}");
}

/// Guards against requests with a prompt that exceed the concurrency limit of a service whose
/// replicas do not report their load. Answers later than the target latency lower that limit.
#[test]
fn a_saturated_service_without_reports_gets_no_prompt() {
    let mut pool = pool(4, 6);
    pool.set_target_latency(Some(Duration::from_millis(300)));
    let upstream = incarnation(&pool, "i-0");
    for _ in 0..30 {
        pool.begin_request(NOW, &upstream);
        pool.on_first_byte(NOW, Duration::from_secs(2), 7);
    }
    let prompt = prompt(10);
    let place =
        |request: &PlacementRequest<'_>| place(&pool, NOW, request, &SETTINGS, &mut random());
    let request = request(Some(&prompt));
    assert_eq!(place(&request).unwrap_err().reason, RefusalReason::Limited);
    assert!(place(&PlacementRequest { has_started: true, ..request }).is_ok());
}

/// Guards against refusals while slots are free: a hot key has filled the first replicas in its
/// order, and the others have room.
#[test]
fn a_hot_key_spills_over_full_replicas_while_others_have_room() {
    for key in 10..60 {
        let mut pool = pool(8, 4);
        pool.set_target_latency(Some(Duration::from_millis(300)));
        let mut order: Vec<String> = (0..8).map(|number| format!("i-{number}")).collect();
        order.sort_by_key(|id| std::cmp::Reverse(rendezvous_score(key, hash_upstream_id(id))));
        for (rank, id) in order.iter().enumerate() {
            let upstream = incarnation(&pool, id);
            pool.begin_request(NOW, &upstream);
            pool.end_request(
                NOW,
                &upstream,
                Some(RequestOutcome::Answered),
                Duration::from_millis(900),
            );
            let running = if rank < 5 { 4 } else { 1 };
            pool.on_load_report(NOW, &upstream, LoadReport { running, waiting: 0 });
        }
        let prompt = prompt(key);
        let placed = place(&pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random()).unwrap();
        assert_eq!(placed.reason, PlacementReason::Spill);
        assert!(order[5..].iter().any(|id| **id == *placed.upstream.id), "{placed:?}");
    }
}

/// Guards against many routers that send a hot key to the same next replica, because they know the
/// same load reports.
#[test]
fn routers_that_know_the_same_spread_a_hot_key() {
    let mut pool = pool(32, 16);
    let key = 10;
    let mut order: Vec<String> = (0..32).map(|number| format!("i-{number}")).collect();
    order.sort_by_key(|id| std::cmp::Reverse(rendezvous_score(key, hash_upstream_id(id))));
    for (rank, id) in order.iter().enumerate() {
        let running = if rank < 4 { 30 } else { 4 };
        pool.on_load_report(NOW, &incarnation(&pool, id), LoadReport { running, waiting: 0 });
    }
    let prompt = prompt(key);
    let mut placed = std::collections::BTreeMap::<_, u32>::new();
    for router in 0..700 {
        let mut random = Pcg32::seed_from_u64(router);
        let placement = place(&pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random).unwrap();
        *placed.entry(placement.upstream.id.clone()).or_default() += 1;
    }
    assert!(order[..4].iter().all(|id| !placed.contains_key(&**id)), "{placed:?}");
    assert!(placed.len() == 28 && placed.values().all(|count| *count < 60), "{placed:?}");
}

/// Guards against every replica of a full service processing every prompt: the least loaded replica
/// rarely has the prompt cached, so the request must queue at one of the first in the key's order.
#[test]
fn prompts_go_to_the_first_replicas_in_their_order_when_all_are_full() {
    let mut pool = full_pool(true);
    pool.set_target_latency(Some(Duration::from_secs(3_600)));
    let patient = PlacementRequest { remaining: Duration::from_secs(3_600), ..request(None) };
    for key in 10..60 {
        let prompt = prompt(key);
        let request = PlacementRequest { prompt: Some(&prompt), ..patient };
        let placed = place(&pool, NOW, &request, &SETTINGS, &mut random()).unwrap();
        let mut order: Vec<&str> =
            pool.members().iter().map(|member| &*member.upstream.id).collect();
        order.sort_by_key(|id| std::cmp::Reverse(rendezvous_score(key, hash_upstream_id(id))));
        assert_ne!(&*placed.upstream.id, order[3]);
    }
}

/// Guards against a refusal without a retry-after time when the service has no replica.
#[test]
fn requests_to_a_service_without_replicas_are_refused_with_a_retry_after_time() {
    let refusal = place(&pool(0, 1), NOW, &request(None), &SETTINGS, &mut random()).unwrap_err();
    assert_eq!(refusal.http_status(), 503);
    assert!(refusal.retry_after.is_some());
}

/// Guards against a request that is sent again to a replica that rejected it.
#[test]
fn replicas_that_were_tried_are_not_chosen_again() {
    let pool = pool(3, 6);
    let tried = ["i-0".into(), "i-2".into()];
    let request = PlacementRequest { tried: &tried, ..request(None) };
    let placed = place(&pool, NOW, &request, &SETTINGS, &mut random()).unwrap();
    assert_eq!(&*placed.upstream.id, "i-1");
}

/// Guards against a prompt that is processed again although another replica has it cached: the
/// placement must name that replica as the holder, also while it drains, but not once it is
/// removed.
#[test]
fn placements_name_another_replica_that_holds_the_prompt() {
    for key in 10..200 {
        let mut pool = pool(6, 48);
        let place = |pool: &Pool| place_key(pool, key);
        let home = place(&pool);
        let second = home.holder.unwrap();
        assert_ne!(second, home.upstream.address);

        for _ in 0..30 {
            pool.begin_request(NOW, &home.upstream.incarnation());
        }
        let spilled = place(&pool);
        assert_eq!(spilled.upstream.address, second, "the second replica in the order takes over");
        assert_eq!(spilled.holder, Some(home.upstream.address));

        pool.set_draining(&home.upstream.id);
        assert_eq!(
            place(&pool).holder,
            Some(home.upstream.address),
            "a draining replica holds the prompt until it is removed"
        );
        pool.remove(&home.upstream.id);
        assert_ne!(place(&pool).holder, Some(home.upstream.address));
    }
}

/// Returns the entry of a replica after a restart, which differs in the start time.
fn restarted(pool: &Pool, id: &str) -> Upstream {
    let before = pool.members().iter().find(|member| *member.upstream.id == *id).unwrap();
    let started = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(5));
    Upstream { started, ..(*before.upstream).clone() }
}

/// Guards against load, response times and failures from before a restart of a replica that count
/// after it. Reports and ends of earlier requests may arrive after the restart.
#[test]
fn a_replica_that_started_again_is_judged_anew() {
    let mut pool = pool(4, 48);
    let before = incarnation(&pool, "i-0");
    pool.on_load_report(NOW, &before, LoadReport { running: 40, waiting: 9 });
    for _ in 0..2 {
        pool.begin_request(NOW, &before);
        pool.end_request(NOW, &before, Some(RequestOutcome::NoAnswer), Duration::ZERO);
    }
    pool.begin_request(NOW, &before);
    pool.put(restarted(&pool, "i-0"));
    let member = &pool.members()[0];
    assert!(member.health.is_usable(NOW));
    assert_eq!((member.load.own_requests(), member.load.report_age(NOW)), (0, None));

    let after = incarnation(&pool, "i-0");
    pool.begin_request(NOW, &after);
    assert!(!pool.end_request(NOW, &before, Some(RequestOutcome::NoAnswer), Duration::ZERO));
    pool.end_request(NOW, &before, Some(RequestOutcome::Answered), Duration::from_secs(9));
    pool.on_load_report(NOW, &before, LoadReport { running: 40, waiting: 9 });
    let member = &pool.members()[0];
    assert_eq!((member.load.own_requests(), member.load.report_age(NOW)), (1, None));
    assert_eq!((member.mean_request_time, member.health.failure_rate()), (None, 0.0));
}

/// Places a request with a prompt that has the affinity key `key`.
fn place_key(pool: &Pool, key: u64) -> Placement {
    let prompt = prompt(key);
    place(pool, NOW, &request(Some(&prompt)), &SETTINGS, &mut random()).unwrap()
}

/// Guards against copying prompts from a replica whose cache was lost in a restart.
#[test]
fn a_restarted_replica_is_not_a_holder_until_it_has_answered() {
    for key in 10..60 {
        let mut pool = pool(6, 48);
        let place = |pool: &Pool| place_key(pool, key);
        let home = place(&pool).upstream;
        for _ in 0..30 {
            pool.begin_request(NOW, &home.incarnation());
        }
        assert_eq!(place(&pool).holder, Some(home.address));
        pool.put(restarted(&pool, &home.id));
        let after = incarnation(&pool, &home.id);
        for _ in 0..30 {
            pool.begin_request(NOW, &after);
        }
        assert_ne!(place(&pool).holder, Some(home.address));
        pool.end_request(NOW, &after, Some(RequestOutcome::Answered), Duration::from_millis(500));
        assert_eq!(place(&pool).holder, Some(home.address));
    }
}

/// Guards against requests to a replica, and prompt copies from it, while its entry in the store is
/// overwritten and cannot be read.
#[test]
fn a_suspended_replica_gets_no_request_and_is_not_a_holder() {
    for key in 10..60 {
        let mut pool = pool(6, 48);
        let place = |pool: &Pool| place_key(pool, key);
        let home = place(&pool).upstream;
        pool.suspend(&home.id);
        let other = place(&pool);
        assert_ne!(other.upstream.id, home.id);
        assert_ne!(other.holder, Some(home.address));
        pool.put((*home).clone());
        assert_eq!(place(&pool).upstream.id, home.id);
    }
}

/// Returns how many requests of one of eight routers are placed at a brittle service of three
/// replicas with six slots each that reports no load, if none of them ends.
fn place_at_brittle_service() -> usize {
    let settings = PlacementSettings { routers: 8, ..SETTINGS };
    let mut pool = pool(3, 6);
    pool.on_brittle(NOW, 8);
    let mut placed = 0;
    while let Ok(placement) = place(&pool, NOW, &request(None), &settings, &mut random()) {
        pool.begin_request(NOW, &placement.upstream.incarnation());
        placed += 1;
    }
    placed
}

/// Guards against refusals at a brittle service that has room, because a router that gets no load
/// reports takes each of its own requests for one at every other router.
#[test]
fn a_router_uses_its_part_of_a_brittle_service_without_load_reports() {
    let placed = place_at_brittle_service();
    assert!(placed >= 3, "{placed} of 18 slots");
}

/// Guards against brittle replicas that fall over although no router has more than a few requests
/// there: without load reports no router knows of the others' requests.
#[test]
fn routers_without_load_reports_do_not_overfill_a_brittle_service() {
    let placed = place_at_brittle_service();
    assert!(8 * placed <= 2 * 18, "eight routers with {placed} requests each for 18 slots");
}
