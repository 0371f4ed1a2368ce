//! Statuses that callers get by what was sent and what came back: 503 with a retry-after time where
//! it is certain that a request has not run, and none that says so where it may have run. The table
//! in docs/TRUE-ANSWERS.md names the test of each row.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{fleet, fleet_with, program};
use serde_json::json;
use teaselworks::platform::registration_value;
use teaselworks_standin::caller::{Call, Connection, Reply, call};
use teaselworks_standin::configuration::{API_KEY, ARCHIVE_SERVICE, HOST, TestConfiguration};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, raw_response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Method and target of a request of each kind: idempotent, at most once, stream, resumable stream.
const KINDS: [(&str, &str); 4] =
    [("GET", "/read/a"), ("POST", "/write/a"), ("POST", "/chat/a"), ("POST", "/gloss/a")];

/// Time within which the replicas of these tests answer, if they do.
const AMPLE_MS: u64 = 6_000;

/// Time for a partition to be in force. A connection that is opened before carries a request that may
/// have run.
const PARTITION_TIME: Duration = Duration::from_millis(100);

/// Returns what a replica does with a request.
type Behaviour = fn(&ReceivedRequest) -> Script;

/// Sends a request with a deadline to the first router.
async fn send(fleet: &Fleet, (method, target): (&str, &str), id: &str, deadline_ms: u64) -> Reply {
    let sent = Call::new(method, HOST, target, id)
        .with_api_key(API_KEY)
        .with_header("X-Deadline-Ms", &deadline_ms.to_string());
    call(fleet.routers[0].callers_address(), &sent).await.unwrap()
}

/// Makes the replicas respond to the first arrival of each request by the first behaviour, to the
/// second one by the second, and to all later ones by the last.
fn set_behaviours(fleet: &Fleet, behaviours: &'static [Behaviour]) {
    let arrivals = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    for upstream in fleet.archives.iter().chain(&fleet.engines) {
        let arrivals = arrivals.clone();
        upstream.set_behaviour(move |req| {
            let mut arrivals = arrivals.lock().unwrap();
            let count = arrivals.entry(req.id().to_owned()).or_default();
            *count += 1;
            behaviours[(*count - 1).min(behaviours.len() - 1)](req)
        });
    }
}

/// Checks that an answer states that the request has not run and when to try again.
fn assert_not_run(reply: &Reply, context: &str) {
    assert_eq!(reply.status(), 503, "{context}");
    let retry_after = reply.head.header("retry-after").and_then(|after| after.parse::<f64>().ok());
    assert!(retry_after.is_some(), "{context}: no retry-after time");
}

/// Starts two routers of which the first reaches no replica, so that the second forwards its requests.
async fn fleet_with_cut_router(configuration: TestConfiguration) -> Fleet {
    let started = Fleet::start_linked(program(), 2, configuration, &json!({})).await;
    let mut fleet = started.unwrap();
    // The second router retries a request that it forwards only if its own callers pay for that.
    for (method, target) in KINDS.into_iter().cycle().take(16) {
        let sent = Call::new(method, HOST, target, "own").with_api_key(API_KEY);
        assert_eq!(call(fleet.routers[1].callers_address(), &sent).await.unwrap().status(), 200);
    }
    fleet.links[0].partition(Partition::Resetting);
    let mut number = 0;
    wait_until("the first router lost its links and the second serves its requests", async || {
        number += 1;
        let mut is_served = true;
        for kind in [KINDS[0], KINDS[2]] {
            let reply = send(&fleet, kind, &format!("early{number}{}", kind.1), AMPLE_MS).await;
            is_served &= reply.status() == 200;
        }
        is_served && fleet.routers[0].events("link_lost").len() == 2
    })
    .await
    .unwrap();
    fleet
}

fn reset(_: &ReceivedRequest) -> Script {
    Script::new(vec![Step::Reset])
}

fn foreign(_: &ReceivedRequest) -> Script {
    Script::new(vec![Step::Write(raw_response("other", 200, "a verse"))])
}

fn misdirected(req: &ReceivedRequest) -> Script {
    Script::misdirected(req, "i-of-another-service")
}

fn failed(req: &ReceivedRequest) -> Script {
    Script::response(req, 500, "out of ink")
}

fn failed_with_503(req: &ReceivedRequest) -> Script {
    Script::response(req, 503, "failed while running")
}

fn failed_with_504(req: &ReceivedRequest) -> Script {
    Script::response(req, 504, "too slow")
}

fn rejected_with_504(req: &ReceivedRequest) -> Script {
    let script = failed_with_504(req).with_header("x-not-executed: 1");
    Script { is_run: false, ..script }
}

/// What replicas do with the attempts of a request in turn, and the status that its caller gets.
const ROWS: [(&[Behaviour], u16); 11] = [
    (&[Script::rejected], 503),
    (&[misdirected], 503),
    (&[misdirected, Script::rejected], 503),
    (&[rejected_with_504], 503),
    (&[reset, Script::rejected], 502),
    (&[Script::rejected, reset], 502),
    (&[foreign, Script::rejected], 502),
    (&[failed_with_503, Script::rejected], 502),
    (&[failed, Script::rejected], 500),
    (&[failed_with_504, Script::rejected], 504),
    (&[Script::rejected, failed], 500),
];

/// Checks the status of a request of each kind in a fleet of its own.
async fn check_row(fleet: &Fleet, (behaviours, status): (&'static [Behaviour], u16), row: usize) {
    set_behaviours(fleet, behaviours);
    for kind in KINDS {
        let reply = send(fleet, kind, &format!("row{row}{}", kind.1), AMPLE_MS).await;
        let context = format!("row {row}, {}", kind.1);
        assert_eq!(reply.status(), status, "{context}");
        if status == 503 {
            assert_not_run(&reply, &context);
        }
    }
}

/// Guards against an answer that covers only one of the attempts: the last one, or one whose error
/// answer is passed on.
#[tokio::test]
async fn the_answer_covers_all_attempts() {
    for (row, expected) in ROWS.into_iter().enumerate() {
        check_row(&fleet(1).await, expected, row).await;
    }
}

/// Guards against another router's answer that is taken to say more, or less, than it does.
#[tokio::test]
async fn the_answer_of_another_router_covers_all_attempts() {
    for (row, expected) in ROWS.into_iter().enumerate() {
        let fleet = fleet_with_cut_router(TestConfiguration::default()).await;
        check_row(&fleet, expected, row).await;
    }
}

/// Guards against a 502 or 504 for requests that no connection was opened for: refused ones, ones
/// whose deadline passes meanwhile, and ones that are abandoned for another replica since nothing
/// arrives.
#[tokio::test]
async fn request_without_a_connection_is_refused_as_not_run() {
    let mut configuration = TestConfiguration::default();
    for partition in [Partition::Hanging, Partition::RefusingNew] {
        for (target_ms, deadline_ms) in [(20, 40), (20, AMPLE_MS), (0, 40)] {
            for prefix in ["/read/", "/gloss/"] {
                configuration.route_mut(prefix)["target_latency_ms"] = json!(target_ms);
                configuration.route_mut(prefix)["target_gap_ms"] = json!(target_ms);
            }
            for kind in KINDS {
                let started =
                    Fleet::start_linked(program(), 1, configuration.clone(), &json!({})).await;
                let mut fleet = started.unwrap();
                fleet.links[0].partition(partition);
                tokio::time::sleep(PARTITION_TIME).await;
                let reply = send(&fleet, kind, "unsent", deadline_ms).await;
                let context = format!("{partition:?}, {target_ms}, {deadline_ms}, {}", kind.1);
                assert_not_run(&reply, &context);
            }
        }
    }
}

/// Guards against a 504 for requests whose time is up before they are sent: the caller left none, or
/// its body arrived too late.
#[tokio::test]
async fn request_whose_time_is_up_before_it_is_sent_is_refused_as_not_run() {
    let fleet = fleet(1).await;
    for kind in KINDS {
        assert_eq!(send(&fleet, kind, "warm", AMPLE_MS).await.status(), 200);
        assert_not_run(&send(&fleet, kind, "no-time", 0).await, kind.1);
        let mut caller = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: late\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Deadline-Ms: 40\r\nContent-Length: 1\r\n\r\n",
            kind.0, kind.1
        );
        caller.write(head.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(80)).await;
        caller.write(b"x").await.unwrap();
        assert_not_run(&caller.read_reply().await.unwrap().unwrap(), kind.1);
    }
    let received =
        fleet.archives.iter().chain(&fleet.engines).flat_map(|up| up.received_requests());
    assert!(received.into_iter().all(|req| req.id() == "warm"));
}

/// Starts a router that reaches no replica and knows no other router.
async fn cut_router() -> Fleet {
    let mut fleet = Fleet::start_with_links(program(), 1).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    wait_until("the router lost its links", async || {
        for kind in [KINDS[0], KINDS[2]] {
            send(&fleet, kind, "early", AMPLE_MS).await;
        }
        fleet.routers[0].events("link_lost").len() == 2
    })
    .await
    .unwrap();
    fleet
}

/// Guards against a status that says that a request has not run after another router, which took it,
/// broke off.
#[tokio::test]
async fn request_that_another_router_took_and_broke_off_may_have_run() {
    let fleet = cut_router().await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let breaking = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await;
        }
    });
    fleet.store.put("routers/breaking", &registration_value(address));
    for kind in KINDS {
        wait_until("the other router took the request", async || {
            send(&fleet, kind, "taken", AMPLE_MS).await.status() == 502
        })
        .await
        .unwrap();
    }
    let detours = fleet.routers[0].wait_for_events("detour_taken", KINDS.len()).await.unwrap();
    assert_eq!(detours.len(), KINDS.len(), "a request was answered otherwise, or sent again");
    breaking.abort();
}

/// Guards against a refusal without a retry-after time where the deadline passes while another router
/// does not accept the request.
#[tokio::test]
async fn request_that_no_router_takes_by_its_deadline_is_refused_as_not_run() {
    let fleet = cut_router().await;
    let hanging_router = Proxy::start(fleet.routers[0].peers_address()).unwrap();
    hanging_router.set_faults(|faults| faults.is_unresponsive = true);
    fleet.store.put("routers/hanging", &registration_value(hanging_router.address()));
    wait_until("a request of each service was sent to the other router", async || {
        for kind in KINDS {
            assert_not_run(&send(&fleet, kind, "late", 40).await, kind.1);
        }
        fleet.routers[0].events("detour_taken").len() >= 2
    })
    .await
    .unwrap();
}

/// Deadline of requests that wait in the queue of a replica until it has passed.
const QUEUED_MS: u64 = 300;

/// Time after which a replica notices that the deadline of a request has passed.
const NOTICING: Duration = Duration::from_millis(5);

/// Rejects a request when the deadline that it states has passed, without running it.
fn reject_at_deadline(req: &ReceivedRequest) -> Script {
    let deadline_ms = req.head.header("x-deadline-ms").unwrap().parse().unwrap();
    let mut script = Script::rejected(req);
    script.steps.insert(0, Step::Pause(Duration::from_millis(deadline_ms) + NOTICING));
    script
}

/// Answers a request when the deadline that it states has passed.
fn answer_at_deadline(req: &ReceivedRequest) -> Script {
    let script = Script { is_run: true, ..reject_at_deadline(req) };
    let pause = script.steps[0].clone();
    let is_stream = ["/chat/a", "/gloss/a"].contains(&req.target().1);
    let mut answer = if is_stream {
        Script::stream(req, 1..6, Duration::ZERO, true)
    } else {
        Script::response(req, 200, "a verse")
    };
    answer.steps.insert(0, pause);
    answer
}

/// Answers a request when its caller's deadline has passed, which is later than the one stated to
/// the replica.
fn answer_too_late(req: &ReceivedRequest) -> Script {
    let mut script = answer_at_deadline(req);
    script.steps[0] = Step::Pause(Duration::from_millis(QUEUED_MS));
    script
}

fn silent(_: &ReceivedRequest) -> Script {
    Script::new(vec![Step::Silence])
}

/// What replicas do with requests that have waited until their deadline, and the status that callers
/// get.
const LATE_ROWS: [(&[Behaviour], u16); 3] =
    [(&[reject_at_deadline], 503), (&[answer_at_deadline], 200), (&[silent], 504)];

/// Checks the status of a request of each kind that waits at a replica until its deadline. Other
/// processes may delay a replica's answer by more than the router waits, so some requests are tried again.
async fn check_late_rows(fleet: &Fleet, rows: &[(&'static [Behaviour], u16)]) {
    for (row, (behaviours, status)) in rows.iter().copied().enumerate() {
        set_behaviours(fleet, behaviours);
        for kind in KINDS {
            let mut replies = Vec::new();
            while replies.len() < 5
                && replies.last().is_none_or(|last: &Reply| last.status() != status)
            {
                let id = format!("queued{row}{}{}", kind.1, replies.len());
                replies.push(send(fleet, kind, &id, QUEUED_MS).await);
            }
            let context = format!("row {row}, {}", kind.1);
            let last = replies.last().unwrap();
            assert_eq!((last.status(), last.body.is_whole), (status, true), "{context}");
            assert!(
                replies.iter().all(|reply| [status, 504].contains(&reply.status())),
                "{context}"
            );
            if status == 503 {
                assert_not_run(last, &context);
            }
        }
    }
}

/// Guards against a 504 for a request that a replica rejects unexecuted when its deadline has passed
/// in the replica's queue, and against an answer that is ready then and dropped.
#[tokio::test]
async fn word_of_a_replica_at_the_deadline_reaches_the_caller() {
    check_late_rows(&fleet(1).await, &LATE_ROWS).await;
}

/// Guards against the same where another router forwards the request.
#[tokio::test]
async fn word_of_a_replica_at_the_deadline_reaches_the_caller_through_another_router() {
    let fleet = fleet_with_cut_router(TestConfiguration::default()).await;
    check_late_rows(&fleet, &LATE_ROWS).await;
}

/// Guards against an answer that is dropped since it arrives right after the deadline.
#[tokio::test]
async fn answer_right_after_the_deadline_is_delivered() {
    check_late_rows(&fleet(1).await, &[(&[answer_too_late], 200)]).await;
}

/// Guards against a refusal without a retry-after time where the route sends requests to no service.
#[tokio::test]
async fn request_of_a_route_without_a_service_is_refused_with_retry_after() {
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/read/")["service"] = json!(null);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    assert_not_run(&send(&fleet, KINDS[0], "nowhere", AMPLE_MS).await, "no service");
}

/// Guards against a rejection that is lost since the replica closes its connection before it has read
/// all of a long body: the router could fail on writing the rest first.
#[tokio::test]
async fn rejection_before_the_end_of_the_body_reaches_the_caller() {
    let fleet = fleet(1).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.remove_entry(&fleet.archives[1].id);
    fleet.put_entry_at(
        &fleet.archives[0],
        listener.local_addr().unwrap(),
        ARCHIVE_SERVICE,
        "ready",
    );
    fleet.routers[0].wait_for_events("upstream_gone", 1).await.unwrap();
    let rejecting = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut [0; 256]).await.unwrap();
            let head = "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
        }
    });
    for number in 0..20 {
        let sent = Call::new("POST", HOST, "/write/a", &format!("long{number}"))
            .with_api_key(API_KEY)
            .with_body(&"x".repeat(900_000));
        let reply = call(fleet.routers[0].callers_address(), &sent).await.unwrap();
        assert_not_run(&reply, &sent.headers[1].1);
    }
    rejecting.abort();
}

/// Guards against an idempotent request that is called not run, or given up, while a silent replica may
/// still answer it, since another one rejected it.
#[tokio::test]
async fn silent_attempt_before_a_rejection_may_have_run() {
    let mut configuration = TestConfiguration::default();
    for prefix in ["/read/", "/gloss/"] {
        configuration.route_mut(prefix)["target_latency_ms"] = json!(50);
        configuration.route_mut(prefix)["target_gap_ms"] = json!(50);
    }
    let fleet = fleet_with(1, configuration, &json!({})).await;
    set_behaviours(&fleet, &[silent, Script::rejected]);
    for kind in [KINDS[0], KINDS[3]] {
        assert_eq!(send(&fleet, kind, kind.1, AMPLE_MS).await.status(), 504, "{}", kind.1);
    }
    fleet.routers[0].wait_for_events("attempt_rejected", 2).await.unwrap();
    assert!(fleet.routers[0].events("attempt_abandoned").is_empty());
}

/// Guards against a stream that looks complete, or is called not run, after it broke off and no engine
/// went on with it.
#[tokio::test]
async fn stream_that_is_resumed_nowhere_is_incomplete() {
    let fleet = fleet(1).await;
    set_behaviours(
        &fleet,
        &[
            |req| Script::stream(req, 1..3, Duration::ZERO, false).then(Step::Close),
            Script::rejected,
        ],
    );
    for kind in [KINDS[2], KINDS[3]] {
        let reply = send(&fleet, kind, kind.1, AMPLE_MS).await;
        assert_eq!((reply.status(), reply.body.is_whole), (200, false), "{}", kind.1);
    }
}
