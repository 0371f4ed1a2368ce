//! Requests that reach a stopping router when it may exit before they end.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{chat, fleet, request};
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use teaselworks_standin::caller::{Call, Connection, Reply, call};
use teaselworks_standin::configuration::{API_KEY, HOST};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time between the events of a stream that takes longer than a stop leaves late requests.
const LONG_GAP: Duration = Duration::from_millis(100);
/// Number of its events.
const LONG_EVENTS: u32 = 52;
/// Short streams that end after the last long one.
const SHORT_STREAMS: usize = 1_200;
/// Callers that send them.
const CALLERS: usize = 30;
/// Time for which a router does not run when it gets the signal to stop.
const SIGNAL_DELAY: Duration = Duration::from_secs(1);
/// Time after the signal from which streams may no longer be begun and cut.
const LATE: Duration = Duration::from_millis(3_050);
/// Time after the signal at which a router is stopped that is late for its exit.
const BEFORE_EXIT: Duration = Duration::from_millis(7_500);
/// Time after the signal at which an idle router is stopped that is about to exit.
const BEFORE_IDLE_EXIT: Duration = Duration::from_millis(2_800);
/// Time for which it does not run. The platform kills it only later.
const EXIT_DELAY: Duration = Duration::from_millis(350);
/// Time after the signal at which the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);

/// Streams many events if the identifier of the request says so, and else a few at once.
fn stream_by_id(req: &ReceivedRequest) -> Script {
    if req.id().starts_with("long") {
        return Script::stream(req, 1..LONG_EVENTS + 1, LONG_GAP, true);
    }
    Script::stream(req, 1..6, Duration::from_millis(1), true)
}

/// Returns a request for a stream of at most `output_tokens`.
fn stream_request(target: &str, id: &str, output_tokens: u32) -> Call {
    Call::new("POST", HOST, target, id)
        .with_api_key(API_KEY)
        .with_header("X-Deadline-Ms", "12000")
        .with_header("X-Token-Usage", &format!("100,{output_tokens}"))
        .with_body("Which verse is older?")
}

async fn send(address: SocketAddr, sent: Call) -> Reply {
    call(address, &sent).await.unwrap()
}

/// Returns how many times engines ran a request.
fn count_runs(fleet: &Fleet, id: &str) -> usize {
    fleet.engines.iter().map(|engine| engine.run_count(id)).sum()
}

/// Sends short streams on both routes for streams.
async fn send_short_streams(address: SocketAddr) {
    let callers = (0..CALLERS).map(async |caller| {
        for number in 0..SHORT_STREAMS / CALLERS {
            let target = if number % 2 == 0 { "/chat/a" } else { "/gloss/a" };
            let sent = stream_request(target, &format!("short-{caller}-{number}"), 50);
            assert_eq!(send(address, sent).await.status(), 200);
        }
    });
    join_all(callers).await;
}

/// Guards against streams that a stopping router begins and cuts: long ones that it has forgotten over
/// many short ones, and ones that take longer than any of their size before.
#[tokio::test]
async fn a_stopping_router_cuts_no_late_stream() {
    let mut fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(stream_by_id);
    }
    let address = fleet.routers[0].callers_address();
    let early = ["/chat/a", "/gloss/a"].map(async |target| {
        let id = format!("long-early{}", target.len());
        send(address, stream_request(target, &id, 400)).await
    });
    for reply in join_all(early).await {
        assert_eq!((reply.status(), reply.body.is_whole), (200, true));
    }
    send_short_streams(address).await;
    // Keeps the router from exiting early.
    let held = tokio::spawn(send(address, stream_request("/chat/a", "long-held", 400)));
    fleet.routers[0].wait_for_events("request_placed", SHORT_STREAMS + 3).await.unwrap();
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    fleet.routers[0].wait_for_events("finishing", 1).await.unwrap();

    let short = send(address, stream_request("/chat/a", "short-late", 50)).await;
    assert_eq!((short.status(), short.events().len(), short.body.is_whole), (200, 5, true));
    let stated = ["/chat/a", "/gloss/a"].map(async |target| {
        let id = format!("long-stated{}", target.len());
        (send(address, stream_request(target, &id, 400)).await, id)
    });
    let unstated = ["/chat/a", "/gloss/a"].map(async |target| {
        let id = format!("long-unstated{}", target.len());
        (send(address, stream_request(target, &id, 50)).await, id)
    });
    let (stated, unstated) = tokio::join!(join_all(stated), join_all(unstated));
    assert_eq!((stated[0].0.status(), count_runs(&fleet, &stated[0].1)), (503, 0));
    for (reply, id) in stated.iter().chain(&unstated) {
        assert!(reply.body.is_whole, "{id} was cut: {reply:?}");
        assert!([502, 503].contains(&reply.status()), "{id}: {reply:?}");
        let is_not_run = reply.status() == 503;
        assert!(!is_not_run || count_runs(&fleet, id) == 0, "{id} has run: {reply:?}");
    }
    assert!(held.await.unwrap().body.is_whole);
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
    let stopped = fleet.routers[0].wait_for_events("router_stopped", 1).await.unwrap();
    assert_eq!(stopped[0]["cut"], 0);
}

/// Guards against a late stream that is begun and cut, since a process that did not run for a while counts
/// the stop from the time at which it handled the signal.
#[tokio::test]
async fn a_router_that_handles_the_signal_late_cuts_no_late_stream() {
    let fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(stream_by_id);
    }
    let address = fleet.routers[0].callers_address();
    let signalled_at = Instant::now();
    fleet.routers[0].signal(Signal::SIGSTOP).unwrap();
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    tokio::time::sleep(SIGNAL_DELAY).await;
    fleet.routers[0].signal(Signal::SIGCONT).unwrap();
    let stops = fleet.routers[0].wait_for_events("stop_requested", 1).await.unwrap();
    let counted_ms = stops[0]["max_signal_delay_ms"].as_u64().unwrap();
    assert!(u128::from(counted_ms) >= SIGNAL_DELAY.as_millis(), "{counted_ms} ms");
    tokio::time::sleep_until(signalled_at + LATE).await;
    let streams = ["/chat/a", "/gloss/a"].map(|target| {
        let id = format!("long{}", target.len());
        tokio::spawn(call_for_stream(address, target, id))
    });
    tokio::time::sleep_until(signalled_at + GRACE).await;
    // The process may have exited.
    let _ = fleet.routers[0].signal(Signal::SIGKILL);
    for stream in streams {
        let reply = stream.await.unwrap();
        let status = reply.as_ref().map(Reply::status).ok();
        assert!(status.is_none_or(|status| status != 200), "begun and cut: {reply:?}");
        assert!(reply.is_ok_and(|reply| reply.body.is_whole), "no answer");
    }
}

/// Sends a request for a long stream.
async fn call_for_stream(
    address: SocketAddr,
    target: &'static str,
    id: String,
) -> std::io::Result<Reply> {
    call(address, &stream_request(target, &id, 400)).await
}

/// Guards against a request that is sent to a replica, and cut, though most of its time at a stopping
/// router has passed before its body arrived.
#[tokio::test]
async fn a_request_whose_body_arrives_late_in_a_stop_is_refused() {
    let mut fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(stream_by_id);
    }
    let mut caller = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    let bytes = stream_request("/chat/a", "long-body", 50).bytes();
    let (beginning, rest) = bytes.split_at(bytes.len() - 1);
    caller.write(beginning).await.unwrap();
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    fleet.routers[0].wait_for_events("finishing", 1).await.unwrap();
    caller.write(rest).await.unwrap();
    let reply = caller.read_reply().await.unwrap().unwrap_or_default();
    assert_eq!((reply.status(), count_runs(&fleet, "long-body")), (503, 0));
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
}

/// Starts a router whose replicas answer nothing, signals it to stop, and sends it a request of each kind.
async fn stop_with_silent_replicas() -> (Fleet, Vec<JoinHandle<Reply>>) {
    let fleet = fleet(1).await;
    for upstream in fleet.archives.iter().chain(&fleet.engines) {
        upstream.set_behaviour(|_| Script::new(vec![Step::Silence]));
    }
    let address = fleet.routers[0].callers_address();
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    fleet.routers[0].wait_for_events("stop_requested", 1).await.unwrap();
    let calls = [
        request("GET", "/read/a", "read"),
        request("POST", "/write/a", "write"),
        chat("/chat/a", "chat", 1),
        chat("/gloss/a", "gloss", 1),
    ];
    let replies = calls.map(|mut sent| {
        sent.headers.retain(|(name, _)| name != "X-Deadline-Ms");
        tokio::spawn(send(address, sent))
    });
    (fleet, replies.into())
}

/// Checks that each request ends with a status, and the router with success.
async fn assert_answered(mut fleet: Fleet, replies: Vec<JoinHandle<Reply>>) {
    for reply in join_all(replies).await {
        let reply = reply.unwrap();
        assert_eq!((reply.status(), reply.body.is_whole), (502, true), "{reply:?}");
    }
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
}

/// Guards against a closed connection in place of an answer for requests that are still at their
/// replicas when the router exits.
#[tokio::test]
async fn requests_without_an_answer_get_one_before_the_exit() {
    let (fleet, replies) = stop_with_silent_replicas().await;
    assert_answered(fleet, replies).await;
}

/// Guards against a reset in place of an answer for requests that have connected when an idle router
/// exits.
#[tokio::test]
async fn requests_that_wait_to_be_accepted_at_the_exit_get_an_answer() {
    let mut fleet = fleet(1).await;
    let address = fleet.routers[0].callers_address();
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    fleet.routers[0].wait_for_events("stop_requested", 1).await.unwrap();
    tokio::time::sleep(BEFORE_IDLE_EXIT).await;
    fleet.routers[0].signal(Signal::SIGSTOP).unwrap();
    let waiting: Vec<_> = (0..CALLERS)
        .map(|number| {
            let sent = request("GET", "/read/a", &format!("waiting-{number}"));
            tokio::spawn(async move { call(address, &sent).await })
        })
        .collect();
    tokio::time::sleep(EXIT_DELAY).await;
    fleet.routers[0].signal(Signal::SIGCONT).unwrap();
    for reply in join_all(waiting).await {
        let reply = reply.unwrap();
        let is_answered = reply
            .as_ref()
            .is_ok_and(|reply| [200, 503].contains(&reply.status()) && reply.body.is_whole);
        assert!(is_answered, "{reply:?}");
    }
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
}

/// Guards against a closed connection in place of an answer at a router that does not run, or checks too
/// late, when it was to answer what has no answer yet.
#[tokio::test]
async fn requests_without_an_answer_get_one_from_a_router_that_is_late_for_its_exit() {
    let (fleet, replies) = stop_with_silent_replicas().await;
    tokio::time::sleep(BEFORE_EXIT).await;
    fleet.routers[0].signal(Signal::SIGSTOP).unwrap();
    tokio::time::sleep(EXIT_DELAY).await;
    fleet.routers[0].signal(Signal::SIGCONT).unwrap();
    assert_answered(fleet, replies).await;
}
