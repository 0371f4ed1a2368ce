//! The limit on requests at a service, by how long answers take.

use std::time::Duration;

use teaselworks_policy::upstream::{LoadReport, Pool, RequestOutcome, Upstream};

const AIM: Duration = Duration::from_millis(300);

fn pool() -> Pool {
    let mut pool = Pool::default();
    for number in 0..4 {
        pool.put(Upstream { slots: 6, ..Upstream::example(&format!("i-{number}"), "plain") });
    }
    pool.set_target(Some(AIM));
    pool
}

fn press(pool: &mut Pool, seconds: std::ops::Range<u64>, in_progress: u32, waited: Duration) {
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

fn allowed(pool: &mut Pool) -> u32 {
    let upstream = Upstream::example("i-0", "plain").incarnation();
    let mut count = 0;
    while count < 100 && !pool.is_saturated(Duration::ZERO, false) {
        pool.begin_request(Duration::ZERO, &upstream);
        count += 1;
    }
    for _ in 0..count {
        pool.end_request(Duration::ZERO, &upstream, None, Duration::ZERO);
    }
    count
}

/// Guards against replicas whose queues hold more than callers wait for.
#[test]
fn late_answers_lower_the_limit_to_this_routers_share() {
    let mut pool = pool();
    assert_eq!(allowed(&mut pool), 100, "nothing was late yet");
    press(&mut pool, 1..20, 30, Duration::from_millis(280));
    let least = allowed(&mut pool);
    assert!((5..=7).contains(&least), "{least}");
}

/// Guards against a limit that outlasts the load that brought it.
#[test]
fn answers_in_time_raise_the_limit_again() {
    let mut pool = pool();
    press(&mut pool, 1..20, 30, Duration::from_millis(280));
    press(&mut pool, 20..30, 6, Duration::from_millis(60));
    let limit = allowed(&mut pool);
    assert!(limit > 15, "{limit}");
}

/// Guards against a service that is refused for one answer that took long.
#[test]
fn a_single_late_answer_lowers_nothing() {
    let mut pool = pool();
    press(&mut pool, 1..2, 3, Duration::from_millis(60));
    press(&mut pool, 2..3, 1, Duration::from_millis(60));
    pool.on_first_byte(Duration::from_secs(3), Duration::from_millis(450), 7);
    assert_eq!(allowed(&mut pool), 100);
}

/// Guards against many routers that act on the same late reports, so that replicas which report
/// their load hold more than callers wait for.
#[test]
fn a_service_that_reports_is_limited_while_nearly_all_slots_are_taken() {
    let mut pool = pool();
    let report = LoadReport { running: 6, waiting: 9 };
    pool.report(Duration::ZERO, &Upstream::example("i-0", "plain").incarnation(), report);
    press(&mut pool, 1..20, 30, Duration::from_millis(280));
    let now = Duration::from_secs(20);
    let upstream = Upstream::example("i-0", "plain").incarnation();
    for _ in 0..30 {
        pool.begin_request(now, &upstream);
    }
    assert!(pool.is_saturated(now, true));
    assert!(!pool.is_saturated(now, false), "slots are free");
}

/// Guards against requests that wait at silent replicas and take the room of those that would be
/// answered elsewhere.
#[test]
fn what_waits_at_an_ejected_replica_takes_no_room() {
    let mut pool = pool();
    press(&mut pool, 1..20, 30, Duration::from_millis(280));
    let now = Duration::from_secs(20);
    let upstream = Upstream::example("i-1", "plain").incarnation();
    for _ in 0..40 {
        pool.begin_request(now, &upstream);
    }
    assert!(pool.is_saturated(now, true));
    for _ in 0..2 {
        pool.end_request(now, &upstream, Some(RequestOutcome::NoAnswer), Duration::ZERO);
    }
    assert!(!pool.is_saturated(now, true));
}
