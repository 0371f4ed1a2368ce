//! Replicas that pause for longer than the silence timeout and go on.

mod common;

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use common::{chat, fleet, fleet_with, request};
use futures_util::future::join_all;
use serde_json::{Value, json};
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::configuration::{CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{
    ReceivedRequest, Script, Step, chunk, event, raw_response, stream_head,
};

/// Target latency and target gap, a third of the silence timeout.
const TARGET_MS: u64 = 50;
/// Pause that exceeds the silence timeout.
const PAUSE: Duration = Duration::from_millis(500);
/// Time that a slow replica takes to answer, and the deadline of a request to it: there is no time for a
/// second answer after the silence timeout of 1.2 s.
const SLOW_ANSWER: Duration = Duration::from_millis(3_000);
const SLOW_DEADLINE: Duration = Duration::from_millis(4_000);
/// Number of events of a stream.
const EVENTS: u32 = 6;
/// Event after which a stream pauses.
const PAUSE_AFTER: u32 = 3;
/// Number of requests in progress when the replicas pause.
const REQUESTS: u64 = 8;

/// Starts a fleet with one router whose routes have a short silence timeout.
async fn start_fleet(bounds: &Value) -> Fleet {
    let mut configuration = TestConfiguration::default();
    for prefix in ["/read/", "/gloss/"] {
        configuration.route_mut(prefix)["target_latency_ms"] = json!(TARGET_MS);
        configuration.route_mut(prefix)["target_gap_ms"] = json!(TARGET_MS);
    }
    fleet_with(1, configuration, bounds).await
}

/// Returns the event after which a request resumes a stream.
fn last_event(req: &ReceivedRequest) -> Option<u32> {
    req.head.header("last-event-id").and_then(|id| id.parse().ok())
}

/// Streams the rest of the events, with a pause after [`PAUSE_AFTER`] or, if that was sent before, after
/// the first one.
fn paused_stream(req: &ReceivedRequest, pause: Duration) -> Script {
    let first = last_event(req).unwrap_or(0) + 1;
    let pause_after = PAUSE_AFTER.max(first);
    let mut script = Script::new(vec![Step::Write(stream_head(req.id()))]);
    for number in first..=EVENTS {
        script = script.then(Step::Write(chunk(&event(number))));
        if number == pause_after {
            script = script.then(Step::Pause(pause));
        }
    }
    script.then(Step::Write(b"0\r\n\r\n".to_vec()))
}

/// Sends requests at the same time and returns their replies.
async fn send_all(fleet: &Fleet, requests: Vec<Call>) -> Vec<Reply> {
    let address = fleet.routers[0].callers_address();
    join_all(requests.iter().map(async |sent| call(address, sent).await.unwrap())).await
}

/// Sends streams to a fleet whose engines pause, and checks that each is whole and runs at two engines
/// at most.
async fn check_streams(fleet: &Fleet, name: &str) {
    let id = |number| format!("{name}-{number}");
    let streams = (0..REQUESTS).map(|number| chat("/gloss/a", &id(number), number)).collect();
    for (number, reply) in send_all(fleet, streams).await.iter().enumerate() {
        assert_eq!((reply.status(), reply.body.is_whole), (200, true), "{name}: {reply:?}");
        assert_eq!(reply.events(), (1..=EVENTS).collect::<Vec<_>>(), "{name}");
        let runs: usize =
            fleet.engines.iter().map(|engine| engine.run_count(&id(number as u64))).sum();
        assert!(runs <= 2, "{name}: {runs} runs");
    }
}

/// Guards against streams that are cut because their engine pauses, though no other engine takes them:
/// it is full, draining, gone, not reachable or has another software version.
#[tokio::test]
async fn a_paused_stream_goes_on_where_no_other_engine_takes_it() {
    let fleet = start_fleet(&json!({})).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| match last_event(req) {
            Some(_) => Script::rejected(req),
            None => paused_stream(req, PAUSE),
        });
    }
    check_streams(&fleet, "full").await;

    for engine in &fleet.engines {
        engine.set_behaviour(|req| paused_stream(req, PAUSE));
    }
    fleet.put_entry(&fleet.engines[1], CHAT_SERVICE, "draining");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    check_streams(&fleet, "draining").await;
    fleet.remove_entry(&fleet.engines[1].id);
    fleet.routers[0].wait_for_events("upstream_gone", 1).await.unwrap();
    check_streams(&fleet, "gone").await;
}

/// Guards against streams that are cut because their engine pauses while a release replaces the others.
#[tokio::test]
async fn a_paused_stream_goes_on_during_a_release() {
    let fleet = start_fleet(&json!({})).await;
    fleet.engines[1].set_version("v2");
    for engine in &fleet.engines {
        engine.set_behaviour(|req| paused_stream(req, PAUSE));
        fleet.put_entry(engine, CHAT_SERVICE, "ready");
    }
    fleet.routers[0].wait_for_events("upstream_serving", 5).await.unwrap();
    check_streams(&fleet, "release").await;
}

/// Guards against streams that are cut because the only other engine cannot be reached.
#[tokio::test]
async fn a_paused_stream_goes_on_if_the_other_engine_cannot_be_reached() {
    let fleet = start_fleet(&json!({})).await;
    let streams =
        (0..REQUESTS).map(|number| chat("/gloss/a", &format!("stopped-{number}"), number));
    fleet.engines[0].set_behaviour(|req| paused_stream(req, PAUSE));
    fleet.engines[1].stop();
    for reply in send_all(&fleet, streams.collect()).await {
        assert_eq!((reply.status(), reply.body.is_whole), (200, true), "{reply:?}");
        assert_eq!(reply.events(), (1..=EVENTS).collect::<Vec<_>>());
    }
}

/// Guards against streams that are cut because the retry budget is spent, or because both of their runs
/// pause.
#[tokio::test]
async fn a_stream_goes_on_after_a_second_pause() {
    for (name, bounds) in
        [("granted", json!({})), ("spent", json!({ "retry_ratio": 0, "retry_slack": 0 }))]
    {
        let fleet = start_fleet(&bounds).await;
        for engine in &fleet.engines {
            engine.set_behaviour(|req| paused_stream(req, PAUSE));
        }
        check_streams(&fleet, name).await;
    }
}

/// Guards against a stream whose engine goes on right after another one has got it, and that waits for
/// the other one, or brings events twice.
#[tokio::test]
async fn an_engine_that_goes_on_while_another_one_waits_keeps_its_stream() {
    let fleet = start_fleet(&json!({})).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| match last_event(req) {
            Some(_) => Script::new(vec![Step::Silence]),
            None => paused_stream(req, Duration::from_millis(4 * TARGET_MS)),
        });
    }
    check_streams(&fleet, "overlap").await;
}

/// Guards against requests that fail since their replica takes long to answer, and every other one
/// rejects them.
#[tokio::test]
async fn a_slow_answer_is_awaited_if_no_other_replica_takes_the_request() {
    let fleet = start_fleet(&json!({})).await;
    let seen: &Mutex<HashSet<String>> = Box::leak(Box::default());
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            if !seen.lock().unwrap().insert(req.id().to_owned()) {
                return Script::rejected(req);
            }
            let respond = Step::Write(raw_response(req.id(), 200, "a verse"));
            Script::new(vec![Step::Pause(PAUSE), respond])
        });
    }
    let reads = (0..REQUESTS).map(|number| request("GET", "/read/a", &format!("slow-{number}")));
    for reply in send_all(&fleet, reads.collect()).await {
        assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"), "{reply:?}");
    }
    let refused = fleet.routers[0].events("request_refused");
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a slow service whose requests are begun anew at one replica after the other, so that
/// none is answered in time.
#[tokio::test]
async fn slow_answers_arrive_in_time_though_their_replicas_are_silent() {
    let fleet = fleet(1).await;
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            let respond = Step::Write(raw_response(req.id(), 200, "a verse"));
            Script::new(vec![Step::Pause(SLOW_ANSWER), respond])
        });
    }
    let id = |number| format!("slow-{number}");
    let reads = (0..REQUESTS).map(|number| {
        let mut sent = request("GET", "/read/a", &id(number));
        sent.headers.retain(|(name, _)| name != "X-Deadline-Ms");
        sent.with_header("X-Deadline-Ms", &SLOW_DEADLINE.as_millis().to_string())
    });
    for (number, reply) in send_all(&fleet, reads.collect()).await.iter().enumerate() {
        assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"), "{reply:?}");
        let archives = fleet.archives.iter();
        let runs: usize = archives.map(|archive| archive.run_count(&id(number as u64))).sum();
        assert!(runs <= 2, "{runs} runs");
    }
}

/// Guards against a slow answer that is given up since another replica answers with an error.
#[tokio::test]
async fn a_slow_answer_is_awaited_if_the_other_replica_fails() {
    let fleet = start_fleet(&json!({})).await;
    let seen: &Mutex<HashSet<String>> = Box::leak(Box::default());
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            if !seen.lock().unwrap().insert(req.id().to_owned()) {
                return Script::response(req, 500, "out of ink");
            }
            let respond = Step::Write(raw_response(req.id(), 200, "a verse"));
            Script::new(vec![Step::Pause(Duration::from_millis(5 * TARGET_MS)), respond])
        });
    }
    let reads = (0..REQUESTS).map(|number| request("GET", "/read/a", &format!("fails-{number}")));
    for reply in send_all(&fleet, reads.collect()).await {
        assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"), "{reply:?}");
    }
}
