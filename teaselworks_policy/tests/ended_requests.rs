//! Which requests are refused because replicas ended while they ran them.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::crash::{
    ACKNOWLEDGEMENT_TIME, CrashLedger, MAX_ENDED_REPLICAS, REQUEST_MEMORY, ReplicaEnd,
    RequestContent, RequestLedger, body_hash,
};

const START: Duration = Duration::from_secs(1_000);
const CRASHING: u64 = 0xbad;
const SOUND: u64 = 1;

fn at(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

/// Returns the end of a replica to which the request was sent at `sent_ms`, 100 ms later.
fn end(incarnation: u64, sent_ms: u64) -> ReplicaEnd {
    let (sent_at, ended_at) = (at(sent_ms), at(sent_ms + 100));
    ReplicaEnd { incarnation, sent_at, ended_at, has_begun: true }
}

/// Returns a ledger of a request under which replicas ended one after the other, one in each second.
fn ledger(ends: u64) -> RequestLedger {
    let mut ledger = RequestLedger::default();
    for number in 0..ends {
        ledger.on_ended(at(1_000 * number), CRASHING, end(number, 1_000 * number), false);
    }
    ledger
}

fn is_blocked(ledger: &RequestLedger, ms: u64) -> bool {
    ledger.blocked(at(ms), CRASHING).is_some()
}

/// Guards against a limit other than the one that is promised.
#[test]
fn a_request_is_refused_from_the_third_end_on() {
    assert!(!is_blocked(&ledger(2), 3_000));
    let three = ledger(3);
    let blocked = three.blocked(at(3_000), CRASHING).unwrap();
    assert_eq!((blocked.ended, blocked.is_confirmed), (3, true));
    assert!(three.blocked(at(3_000), SOUND).is_none());
}

/// Guards against a request that is refused for ever, and one that may end three more replicas once it no
/// longer is.
#[test]
fn a_refusal_ends_and_a_single_end_renews_it() {
    let mut ledger = ledger(3);
    let later = at(3_000) + REQUEST_MEMORY;
    ledger.expire(later);
    assert!(ledger.blocked(later, CRASHING).is_none());
    let end = ReplicaEnd { incarnation: 77, sent_at: later, ended_at: later, has_begun: true };
    ledger.on_ended(later, CRASHING, end, false);
    assert!(ledger.blocked(later, CRASHING).is_some());
}

/// Guards against a router that assumes nothing is known elsewhere while nobody answers it.
#[test]
fn an_end_that_nobody_acknowledges_counts_as_the_last_one() {
    let mut ledger = RequestLedger::default();
    ledger.on_ended(at(0), CRASHING, end(1, 0), true);
    assert!(!is_blocked(&ledger, 0), "other routers may answer yet");
    let late = at(0) + ACKNOWLEDGEMENT_TIME;
    assert!(ledger.blocked(late, CRASHING).is_some_and(|blocked| !blocked.is_confirmed));
    ledger.on_acknowledged(CRASHING);
    assert!(ledger.blocked(late, CRASHING).is_none());
}

/// Guards against half an answer that counts as a whole one, and against ends that a later message
/// brings back although the request was answered since.
#[test]
fn an_answer_refutes_earlier_ends_only() {
    let mut ledger = ledger(2);
    assert!(!ledger.on_answered(at(2_500), CRASHING, at(50)), "it began before the first end");
    assert!(ledger.on_answered(at(2_500), CRASHING, at(1_500)));
    assert!(!ledger.merge(at(2_600), CRASHING, &[end(0, 0), end(1, 1_000)]));
    assert!(ledger.ends(CRASHING).is_empty());
}

/// Guards against a sound request that many callers send and that is refused since several replicas
/// crash together for another reason.
#[test]
fn simultaneous_ends_of_a_request_that_was_answered_count_once() {
    let mut ledger = RequestLedger::default();
    ledger.on_answered(at(0), CRASHING, at(0));
    for incarnation in 0..5 {
        ledger.on_ended(at(600), CRASHING, end(incarnation, 500), false);
    }
    assert!(!is_blocked(&ledger, 700));
    let mut unanswered = RequestLedger::default();
    for incarnation in 0..5 {
        unanswered.on_ended(at(600), CRASHING, end(incarnation, 500), false);
    }
    assert!(is_blocked(&unanswered, 700));
}

/// Guards against a sound request that many callers send and that is refused for minutes after the whole
/// service crashed.
#[test]
fn a_request_that_was_answered_before_is_tried_again_soon() {
    let mut ledger = RequestLedger::default();
    ledger.on_answered(at(0), CRASHING, at(0));
    for number in 1..=9 {
        let sent_ms = 20_000 * number;
        for replica in 0..3 {
            let end = end(100 * number + replica, sent_ms + 200 * replica);
            assert!(!is_blocked(&ledger, sent_ms + 200 * replica), "series {number}, {replica}");
            ledger.on_ended(end.ended_at, CRASHING, end, false);
            if number > 1 {
                break;
            }
        }
        assert!(is_blocked(&ledger, sent_ms + 600), "series {number}");
    }
    assert!(ledger.on_answered(at(200_000), CRASHING, at(199_000)));
    assert!(!is_blocked(&ledger, 200_000));
}

/// Guards against a replica that restarts before its entry does and counts once for two ends, and one that
/// is down and counts for each request that is sent to it.
#[test]
fn a_replica_counts_again_only_if_it_answered_since() {
    let mut ledger = ledger(1);
    let down = ReplicaEnd { has_begun: false, ..end(0, 400) };
    assert!(!ledger.merge(at(500), CRASHING, &[down]));
    assert!(ledger.merge(at(900), CRASHING, &[end(0, 800)]));
    assert_eq!(ledger.ends(CRASHING).len(), 2);
}

/// Guards against parts and neighbours that are blamed for what a refused request did.
#[test]
fn a_refused_request_explains_its_ends() {
    let mut crashes = CrashLedger::default();
    for number in 0..2 {
        crashes.on_ended(at(number), SOUND, end(number, 1_000 * number), false);
    }
    for number in 0..3 {
        crashes.on_crashed(at(number), &[7], number, at(1_000 * number));
        crashes.on_ended(at(number), CRASHING, end(number, 1_000 * number), false);
    }
    assert!(crashes.requests.has_reached_limit(CRASHING));
    assert!(crashes.requests.ends(SOUND).is_empty());
    assert!(crashes.tick(at(3_100)).is_empty(), "the part is not suspected");
}

/// Guards against a router that starts without what others saw, and calls for ends that no other router
/// needs.
#[test]
fn ends_are_listed_from_the_second_on_or_right_after_a_start() {
    let (new, old) = (Duration::from_secs(1), Duration::from_secs(60));
    let mut one = ledger(1);
    assert!(one.needs_listing(CRASHING, new) && !one.needs_listing(CRASHING, old));
    assert!(ledger(2).needs_listing(CRASHING, old));
    one.on_listed(at(100), CRASHING, &[0]);
    assert!(!one.needs_listing(CRASHING, new));
    let mut other = RequestLedger::default();
    other.on_listed(at(3_000), CRASHING, &[0, 1, 2]);
    assert!(is_blocked(&other, 3_000));
    assert!(!other.on_unlisted(CRASHING) && is_blocked(&other, 3_000), "the lease may have lapsed");
    let mut own = ledger(3);
    own.on_listed(at(3_000), CRASHING, &[0, 1, 2]);
    assert!(own.on_unlisted(CRASHING) && own.needs_listing(CRASHING, old));
}

/// Guards against a sound part that is blocked by reports which arrive after a refused request explained
/// the crashes.
#[test]
fn reports_of_explained_crashes_count_against_no_part() {
    let mut crashes = CrashLedger::default();
    for number in 0..3 {
        crashes.on_ended(at(1_000 * number), CRASHING, end(number, 1_000 * number), false);
    }
    for number in 0..3 {
        crashes.on_crashed(at(2_200), &[7], number, at(1_000 * number));
    }
    crashes.on_written(at(2_900), &[8], at(2_300));
    for ms in (2_200..9_000).step_by(100) {
        assert!(crashes.tick(at(ms)).is_empty(), "the part is suspected after {ms} ms");
    }
}

/// Guards against a sound request that many callers send, and that is refused with the one that crashes
/// all replicas, since each of them ran both.
#[test]
fn a_request_that_was_answered_before_explains_nothing_and_is_explained() {
    let mut crashes = CrashLedger::default();
    crashes.requests.on_answered(at(0), SOUND, at(0));
    for number in 1..4 {
        crashes.on_ended(at(1_000 * number), SOUND, end(number, 1_000 * number), false);
        crashes.on_ended(at(1_000 * number), CRASHING, end(number, 1_000 * number), false);
    }
    assert!(crashes.requests.has_reached_limit(CRASHING));
    assert!(crashes.requests.ends(SOUND).is_empty());
}

/// Guards against a sound request that many callers send, and that is refused since it reaches replicas
/// which the one that crashes them has just ended, or by a listing that its answer has overtaken.
#[test]
fn later_ends_and_listings_of_a_request_that_was_answered_do_not_count() {
    let mut crashes = CrashLedger::default();
    crashes.requests.on_answered(at(0), SOUND, at(0));
    for number in 0..3 {
        crashes.on_ended(at(1_000 * number), CRASHING, end(number, 1_000 * number), false);
    }
    for number in 0..3 {
        let down = ReplicaEnd { has_begun: false, ..end(number, 2_200 + 200 * number) };
        crashes.on_ended(down.ended_at, SOUND, down, false);
        crashes.merge_ends(down.ended_at, SOUND, &[down], true);
    }
    crashes.on_listed_ends(at(3_000), SOUND, &[7, 8, 9], true);
    assert!(crashes.requests.ends(SOUND).is_empty());
    assert!(crashes.requests.blocked(at(3_000), CRASHING).is_some());
}

/// Guards against a router that keeps ends which another one knows to be refuted.
#[test]
fn an_answer_that_another_router_saw_is_found() {
    let mut ledger = RequestLedger::default();
    ledger.on_answered(at(2_000), SOUND, at(1_500));
    assert_eq!(ledger.find_refutation(SOUND, &[end(1, 1_000)]), Some(at(1_500)));
    assert_eq!(ledger.find_refutation(SOUND, &[end(1, 1_600)]), None);
}

/// Guards against memory that grows with the requests that ever broke off.
#[test]
fn the_number_of_remembered_requests_is_bounded() {
    let mut ledger = ledger(3);
    for number in 0..20_000 {
        ledger.on_ended(at(number), 0x1_0000 + number, end(number, number), false);
        ledger.on_answered(at(number), 0x100_0000 + number, at(number));
    }
    assert!(ledger.len() <= 4_096, "{}", ledger.len());
    assert!(is_blocked(&ledger, 20_000), "requests with more ends are kept");
}

/// Guards against requests that differ and are taken for the same one.
#[test]
fn the_fingerprint_depends_on_all_that_an_answer_is_computed_from() {
    let content = RequestContent {
        workspace: "choir",
        host: "archive.example",
        method: "POST",
        target: "/chat/a",
        model: "m",
        prompt: "1:100,2:100",
        body_hash: body_hash(b"Which verse?"),
    };
    let variants = [
        content,
        RequestContent { workspace: "school", ..content },
        RequestContent { host: "school.example", ..content },
        RequestContent { method: "PUT", ..content },
        RequestContent { target: "/chat/b", ..content },
        RequestContent { model: "n", ..content },
        RequestContent { prompt: "1:100,3:100", ..content },
        RequestContent { prompt: "", ..content },
        RequestContent { prompt: "1:100,not a part", ..content },
        RequestContent { body_hash: body_hash(b"Which song?"), ..content },
        RequestContent { workspace: "choirarchive.example", host: "", ..content },
    ];
    let fingerprints: HashSet<u64> = variants.iter().map(RequestContent::fingerprint).collect();
    assert_eq!(fingerprints.len(), variants.len());
}

proptest! {
    /// Guards against a verdict that depends on the order, the repetition or the way of messages.
    #[test]
    fn routers_that_got_the_same_ends_decide_alike(
        ends in prop::collection::vec((0_u64..5, 0_u64..40), 1..8),
        order in any::<prop::sample::Index>(),
    ) {
        let ends: Vec<ReplicaEnd> =
            ends.iter().map(|(number, slot)| end(100 * number + slot, 500 * slot)).collect();
        let mut one = RequestLedger::default();
        one.merge(at(30_000), CRASHING, &ends);
        let mut other = RequestLedger::default();
        let middle = order.index(ends.len());
        for rows in [&ends[middle..], &ends[..middle], &ends[..]] {
            other.merge(at(30_000), CRASHING, rows);
        }
        let distinct: HashSet<u64> = ends.iter().map(|end| end.incarnation).collect();
        let is_reached = distinct.len() >= MAX_ENDED_REPLICAS;
        prop_assert_eq!(one.has_reached_limit(CRASHING), is_reached);
        prop_assert_eq!(other.has_reached_limit(CRASHING), is_reached);
    }
}
