//! Tests of the limit on requests in progress at a service.

use std::time::Duration;

use teaselworks_policy::upstream::{LoadReport, Pool, RequestOutcome, Upstream};

const TARGET_LATENCY: Duration = Duration::from_millis(300);

fn pool() -> Pool {
    let mut pool = Pool::default();
    for number in 0..4 {
        pool.put(Upstream { slots: 6, ..Upstream::example(&format!("i-{number}"), "plain") });
    }
    pool.set_target_latency(Some(TARGET_LATENCY));
    pool
}

/// Sends requests in batches of `in_progress`, of which each waits for its answer for `waited`.
fn send_requests(
    pool: &mut Pool,
    seconds: std::ops::Range<u64>,
    in_progress: u32,
    waited: Duration,
) {
    let upstream = Upstream::example("i-0", "plain").incarnation();
    for ms in (seconds.start * 1_000..seconds.end * 1_000).step_by(20) {
        let now = Duration::from_millis(ms);
        for _ in 0..in_progress {
            pool.begin_request(now, &upstream);
        }
        pool.on_first_byte(now, waited, 7);
        for _ in 0..in_progress {
            pool.end_request(now, &upstream, Some(RequestOutcome::Answered), waited);
        }
    }
}

/// Returns how many requests the limit allows at once, counted up to 100.
fn count_allowed_requests(pool: &mut Pool) -> u32 {
    let upstream = Upstream::example("i-0", "plain").incarnation();
    let mut count = 0;
    while count < 100 && !pool.is_saturated(Duration::ZERO, false, 1.0) {
        pool.begin_request(Duration::ZERO, &upstream);
        count += 1;
    }
    for _ in 0..count {
        pool.end_request(Duration::ZERO, &upstream, None, Duration::ZERO);
    }
    count
}

/// Guards against queues in the replicas that are longer than callers wait for, because routers go
/// on sending requests while answers are late.
#[test]
fn late_answers_lower_the_limit_to_this_routers_share() {
    let mut pool = pool();
    assert_eq!(count_allowed_requests(&mut pool), 100, "no answer has been late yet");
    send_requests(&mut pool, 1..20, 30, Duration::from_millis(280));
    let lowest_limit = count_allowed_requests(&mut pool);
    assert!((5..=7).contains(&lowest_limit), "{lowest_limit}");
}

/// Guards against a sum of slots that overflows, which ended the router or left the service with next to
/// no capacity: another writer may have left entries with any number of slots.
#[test]
fn entries_with_odd_numbers_of_slots_lower_no_limit() {
    let mut pool = pool();
    for (number, slots) in [u32::MAX, u32::MAX - 10].into_iter().enumerate() {
        pool.put(Upstream { slots, ..Upstream::example(&format!("odd-{number}"), "plain") });
        assert!(pool.capacity_slots(Duration::from_secs(10 * number as u64)) > f64::from(slots));
    }
    send_requests(&mut pool, 1..20, 30, Duration::from_millis(280));
    assert_eq!(count_allowed_requests(&mut pool), 100);
}

/// Guards against a limit that stays low after the overload that lowered it has ended.
#[test]
fn answers_in_time_raise_the_limit_again() {
    let mut pool = pool();
    send_requests(&mut pool, 1..20, 30, Duration::from_millis(280));
    send_requests(&mut pool, 20..30, 6, Duration::from_millis(60));
    let limit = count_allowed_requests(&mut pool);
    assert!(limit > 15, "{limit}");
}

/// Guards against refusing requests to a service because of a single slow answer.
#[test]
fn a_single_late_answer_does_not_lower_the_limit() {
    let mut pool = pool();
    send_requests(&mut pool, 1..2, 3, Duration::from_millis(60));
    send_requests(&mut pool, 2..3, 1, Duration::from_millis(60));
    pool.on_first_byte(Duration::from_secs(3), Duration::from_millis(450), 7);
    assert_eq!(count_allowed_requests(&mut pool), 100);
}

/// Guards against queues that are longer than callers wait for at replicas that report their load:
/// many routers send requests on the basis of the same outdated reports.
#[test]
fn a_service_that_reports_its_load_is_limited_while_nearly_all_slots_are_taken() {
    let mut pool = pool();
    let report = LoadReport { running: 6, waiting: 9 };
    pool.on_load_report(Duration::ZERO, &Upstream::example("i-0", "plain").incarnation(), report);
    send_requests(&mut pool, 1..20, 30, Duration::from_millis(280));
    let now = Duration::from_secs(20);
    let upstream = Upstream::example("i-0", "plain").incarnation();
    for _ in 0..30 {
        pool.begin_request(now, &upstream);
    }
    assert!(pool.is_saturated(now, true, 1.0));
    assert!(!pool.is_saturated(now, false, 1.0), "slots are free");
}

/// Guards against requests at unresponsive replicas that use up the limit, so that requests are
/// refused which other replicas would answer.
#[test]
fn requests_at_an_ejected_replica_do_not_count_towards_the_limit() {
    let mut pool = pool();
    send_requests(&mut pool, 1..20, 30, Duration::from_millis(280));
    let now = Duration::from_secs(20);
    let upstream = Upstream::example("i-1", "plain").incarnation();
    for _ in 0..40 {
        pool.begin_request(now, &upstream);
    }
    assert!(pool.is_saturated(now, true, 1.0));
    for _ in 0..2 {
        pool.end_request(now, &upstream, Some(RequestOutcome::NoAnswer), Duration::ZERO);
    }
    assert!(!pool.is_saturated(now, true, 1.0));
}
