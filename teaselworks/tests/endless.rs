//! Replicas that send bytes without end, in a head, in a body or after an answer.

mod common;

use std::time::Duration;

use common::endless::{Outcome, call_and_discard, peak_memory_kb, wait_until_closed};
use common::{chat, fleet, fleet_with, request};
use futures_util::future::join_all;
use serde_json::json;
use teaselworks_standin::caller::{Call, Connection, call};
use teaselworks_standin::configuration::TestConfiguration;
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{
    ReceivedRequest, Script, Step, chunk, event, raw_response, stream_head,
};

/// Deadline of the requests that are answered without end, in milliseconds.
const DEADLINE_MS: &str = "1000";
/// Largest memory that the router may use for one request: the largest incomplete event is 1 MiB, in
/// a buffer that doubles when it grows, and a buffered answer and the HTTP buffers of both
/// connections are smaller.
const REQUEST_MEMORY_KB: u64 = 4 << 10;
/// Statuses that promise that a request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns what a replica does with a request.
type Behaviour = fn(&ReceivedRequest) -> Script;

/// Returns the head of an answer whose body has no length.
fn head(req: &ReceivedRequest, status: u16, framing: &str) -> Step {
    let head = format!(
        "HTTP/1.1 {status} Text\r\nx-request-id: {id}\r\nx-server-stamp: s\r\n{framing}\r\n",
        id = req.id()
    );
    Step::Write(head.into_bytes())
}

/// Returns steps that begin with `head` and go on with `start` and with `repeated` without end.
fn endless(head: Step, start: &str, repeated: &str) -> Script {
    let start = Step::Write(start.as_bytes().to_vec());
    Script::new(vec![head, start, Step::WriteForever(repeated.as_bytes().to_vec())])
}

/// Framing of a body in chunks.
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Returns the ways in which a head has no end.
fn endless_heads() -> Vec<(&'static str, Behaviour)> {
    vec![
        ("no HTTP", |_| Script::new(vec![Step::WriteForever(b"\x16\x03\x01 garbage".to_vec())])),
        ("empty lines", |_| Script::new(vec![Step::WriteForever(b"\r\n".to_vec())])),
        ("status line", |_| endless(Step::Write(b"HTTP/1.1 ".to_vec()), "200 ", "O")),
        ("header line", |_| endless(Step::Write(b"HTTP/1.1 200 OK\r\n".to_vec()), "x: ", "y")),
        ("header lines", |_| endless(Step::Write(b"HTTP/1.1 200 OK\r\n".to_vec()), "", "x: y\r\n")),
        ("interim heads", |_| {
            Script::new(vec![Step::WriteForever(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec())])
        }),
        ("interim heads with headers", |_| {
            let head = b"HTTP/1.1 100 Continue\r\nlink: a\r\nx: y\r\n\r\n";
            Script::new(vec![Step::WriteForever(head.to_vec())])
        }),
    ]
}

/// Returns the ways in which the body of an answer has no end; `status` is that of the answer.
fn endless_bodies(req: &ReceivedRequest, status: u16) -> Vec<(&'static str, Script)> {
    vec![
        ("no length", endless(head(req, status, ""), "", "a verse ")),
        ("chunks", endless(head(req, status, CHUNKED), "", "5\r\nverse\r\n")),
        ("chunk size", endless(head(req, status, CHUNKED), "5\r\nverse\r\n", "0")),
        ("chunk extension", endless(head(req, status, CHUNKED), "5;x=", "y")),
        ("trailer", endless(head(req, status, CHUNKED), "5\r\nverse\r\n0\r\nx: ", "y")),
        ("trailers", endless(head(req, status, CHUNKED), "5\r\nverse\r\n0\r\n", "x: y\r\n")),
    ]
}

/// Makes all replicas answer requests whose identifier begins with `endless` as `behaviour` says, and
/// others properly.
fn set_behaviour(
    fleet: &Fleet,
    behaviour: impl Fn(&ReceivedRequest) -> Script + Clone + Send + Sync + 'static,
) {
    for archive in &fleet.archives {
        let behaviour = behaviour.clone();
        archive.set_behaviour(move |req| match req.id().starts_with("endless") {
            true => behaviour(req),
            false => Script::response(req, 200, "a verse"),
        });
    }
    for engine in &fleet.engines {
        let behaviour = behaviour.clone();
        engine.set_behaviour(move |req| match req.id().starts_with("endless") {
            true => behaviour(req),
            false => Script::stream(req, 1..6, Duration::from_millis(1), true),
        });
    }
}

/// The ways to send a request that is answered without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
    Idempotent,
    AtMostOnce,
    Stream,
    ResumableStream,
}

const PLAIN_ROUTES: [Route; 2] = [Route::Idempotent, Route::AtMostOnce];
const STREAM_ROUTES: [Route; 2] = [Route::Stream, Route::ResumableStream];
const ALL_ROUTES: [Route; 4] =
    [Route::Idempotent, Route::AtMostOnce, Route::Stream, Route::ResumableStream];

impl Route {
    fn call(self, id: &str) -> Call {
        let mut call = match self {
            Route::Idempotent => request("GET", "/read/a", id),
            Route::AtMostOnce => request("POST", "/write/a", id),
            Route::Stream => chat("/chat/a", id, 1),
            Route::ResumableStream => chat("/gloss/a", id, 1),
        };
        let mut headers = call.headers.iter_mut();
        headers.find(|header| header.0 == "X-Deadline-Ms").unwrap().1 = DEADLINE_MS.to_owned();
        call
    }

    /// Returns the maximum number of runs.
    fn max_runs(self) -> usize {
        match self {
            Route::Idempotent | Route::ResumableStream => 2,
            Route::AtMostOnce | Route::Stream => 1,
        }
    }
}

/// Sends a request on each route that is answered without end, and others at the same time. Checks
/// what holds for all: each request has a final answer, runs no more often than it may and is not
/// called unrun, the other callers are served, and the connections to the replicas are closed.
/// Returns the outcomes.
async fn send_all(fleet: &Fleet, routes: &[Route], name: &str) -> Vec<(Route, Outcome)> {
    let address = fleet.routers[0].callers_address();
    let name = name.replace(' ', "-");
    let outcomes = join_all(routes.iter().map(async |route| {
        let id = format!("endless-{name}-{route:?}");
        let outcome = call_and_discard(address, &route.call(&id)).await;
        assert!(!NOT_RUN_STATUSES.contains(&outcome.status), "{id}: {outcome:?}");
        let replicas = fleet.archives.iter().chain(&fleet.engines);
        let runs: usize = replicas.map(|replica| replica.run_count(&id)).sum();
        assert!((1..=route.max_runs()).contains(&runs), "{id}: {runs} runs");
        (*route, outcome)
    }));
    let (outcomes, ()) = tokio::join!(outcomes, call_others(fleet, &name));
    assert!(wait_until_closed(fleet).await > 0, "{name}");
    outcomes
}

/// Sends requests that are answered properly, and checks that they are.
async fn call_others(fleet: &Fleet, name: &str) {
    let address = fleet.routers[0].callers_address();
    for number in 0..10 {
        let id = format!("other-{name}-{number}").replace(' ', "-");
        let reply = call(address, &request("GET", "/read/a", &id)).await.unwrap();
        assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"), "{id}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that the router used no more than the buffers of one request on each route.
fn check_memory(fleet: &Fleet, before_kb: u64, name: &str) {
    let growth_kb = peak_memory_kb(&fleet.routers[0]).saturating_sub(before_kb);
    println!("{name}: {growth_kb} KB");
    assert!(growth_kb <= ALL_ROUTES.len() as u64 * REQUEST_MEMORY_KB, "{name}: {growth_kb} KB");
}

/// Guards against a request that waits past its deadline, uses up the memory or is sent again though
/// it must not run twice, while a replica sends a head without end.
#[tokio::test]
async fn a_head_without_end_ends_the_request() {
    let fleet = fleet(1).await;
    for (name, behaviour) in endless_heads() {
        set_behaviour(&fleet, behaviour);
        let before_kb = peak_memory_kb(&fleet.routers[0]);
        for (route, outcome) in send_all(&fleet, &ALL_ROUTES, name).await {
            assert!([502, 504].contains(&outcome.status), "{name} {route:?}: {outcome:?}");
        }
        check_memory(&fleet, before_kb, name);
    }
}

/// Guards against an answer that has no end and looks whole, holds its caller past the deadline or
/// uses up the memory.
#[tokio::test]
async fn a_body_without_end_never_looks_whole() {
    body_without_end_never_looks_whole(200).await;
}

/// Guards against an error without end that callers take for a statement that the request was not
/// run.
#[tokio::test]
async fn an_error_without_end_is_not_called_unrun() {
    for status in [500, 503, 429] {
        body_without_end_never_looks_whole(status).await;
    }
}

async fn body_without_end_never_looks_whole(status: u16) {
    let fleet = fleet(1).await;
    for kind in 0..6 {
        set_behaviour(&fleet, move |req| endless_bodies(req, status).swap_remove(kind).1);
        let before_kb = peak_memory_kb(&fleet.routers[0]);
        let name = format!("{status}-{kind}");
        for (route, outcome) in send_all(&fleet, &ALL_ROUTES, &name).await {
            let is_error = [502, 504].contains(&outcome.status);
            let is_broken_off = outcome.status == status && !outcome.is_whole;
            assert!(is_error || is_broken_off, "{name} {route:?}: {outcome:?}");
        }
        check_memory(&fleet, before_kb, &name);
    }
}

/// Guards against a stream without end that goes on past the deadline of its request, looks whole or
/// uses up the memory.
#[tokio::test]
async fn a_stream_without_end_ends_at_its_deadline() {
    let fleet = fleet(1).await;
    let streams: Vec<(&str, Behaviour)> = vec![
        ("event", |req| {
            Script::new(vec![
                Step::Write(stream_head(req.id())),
                Step::Write(chunk(&event(1))),
                Step::WriteForever(chunk("data: word ")),
            ])
        }),
        ("events", |req| {
            Script::new(vec![
                Step::Write(stream_head(req.id())),
                Step::Write(chunk(&event(1))),
                Step::WriteForever(chunk("id: 2\ndata: word\n\n")),
            ])
        }),
        ("comments", |req| {
            Script::new(vec![
                Step::Write(stream_head(req.id())),
                Step::WriteForever(chunk(":\n\n")),
            ])
        }),
        ("after the last chunk", |req| {
            Script::stream(req, 1..3, Duration::from_millis(1), true)
                .then(Step::WriteForever(chunk(&event(3))))
        }),
    ];
    for (name, behaviour) in streams {
        set_behaviour(&fleet, behaviour);
        let before_kb = peak_memory_kb(&fleet.routers[0]);
        for (route, outcome) in send_all(&fleet, &STREAM_ROUTES, name).await {
            let is_whole = name == "after the last chunk";
            assert_eq!(outcome, Outcome { status: 200, is_whole }, "{name} {route:?}");
        }
        check_memory(&fleet, before_kb, name);
    }
}

/// Guards against bytes without end after a complete answer that reach a caller or keep the
/// connection in use.
#[tokio::test]
async fn bytes_without_end_after_an_answer_reach_no_caller() {
    let fleet = fleet(1).await;
    let before_kb = peak_memory_kb(&fleet.routers[0]);
    let whole = Outcome { status: 200, is_whole: true };
    let kinds: [(&str, Behaviour); 4] = [
        ("at once", |req| Script::response(req, 200, "a verse")),
        ("idle", |req| {
            Script::response(req, 200, "a verse").then(Step::Pause(Duration::from_millis(100)))
        }),
        ("idle long", |req| {
            Script::response(req, 200, "a verse")
                .with_header("keep-alive: timeout=3600")
                .then(Step::Pause(Duration::from_millis(100)))
        }),
        ("no content", |req| {
            let head = format!(
                "HTTP/1.1 204 No Content\r\nx-request-id: {}\r\nx-server-stamp: s\r\n\r\n",
                req.id()
            );
            Script::new(vec![Step::Write(head.into_bytes())])
        }),
    ];
    for (name, behaviour) in kinds {
        set_behaviour(&fleet, move |req| {
            behaviour(req).then(Step::WriteForever(raw_response("0", 200, "a stranger")))
        });
        for (route, outcome) in send_all(&fleet, &PLAIN_ROUTES, name).await {
            if name == "no content" {
                assert_eq!(outcome.status, 204, "{route:?}");
                continue;
            }
            assert_eq!(outcome, whole, "{name} {route:?}");
        }
    }
    check_memory(&fleet, before_kb, "bytes after an answer");
}

/// Guards against a rejection whose body has no end and that holds its request, or whose connection
/// is used again.
#[tokio::test]
async fn a_rejection_without_end_is_a_rejection() {
    let fleet = fleet(1).await;
    let before_kb = peak_memory_kb(&fleet.routers[0]);
    let rejections: [Behaviour; 3] = [
        |req| {
            let lines = "x-not-executed: 1\r\n";
            Script { is_run: false, ..endless(head(req, 503, lines), "", "full ") }
        },
        |req| {
            let lines = format!("x-not-executed: 1\r\n{CHUNKED}");
            Script { is_run: false, ..endless(head(req, 429, &lines), "", "4\r\nfull\r\n") }
        },
        |req| {
            let lines = format!("x-instance-id: other\r\n{CHUNKED}");
            Script { is_run: false, ..endless(head(req, 421, &lines), "4\r\nfull\r\n", "0") }
        },
    ];
    let mut endless_count = 0;
    for (number, behaviour) in rejections.into_iter().enumerate() {
        set_behaviour(&fleet, behaviour);
        for route in ALL_ROUTES {
            let address = fleet.routers[0].callers_address();
            let id = format!("endless-{number}-{route:?}");
            let outcome = call_and_discard(address, &route.call(&id)).await;
            assert_eq!(outcome, Outcome { status: 503, is_whole: true }, "{id}");
            endless_count += 1;
            assert!(wait_until_closed(&fleet).await >= endless_count, "{id} reached no replica");
        }
    }
    check_memory(&fleet, before_kb, "rejections");
}

/// Guards against a caller that sends a body without end and holds the router or its connection.
#[tokio::test]
async fn a_request_without_end_is_ended() {
    let mut configuration = TestConfiguration::default();
    configuration.value["limits"]["idle_timeout_ms"] = json!(500);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    let before_kb = peak_memory_kb(&fleet.routers[0]);
    let address = fleet.routers[0].callers_address();
    for (name, start, repeated) in [
        ("chunk size", "5\r\nverse\r\n", "0"),
        ("chunk extension", "5;x=", "y"),
        ("chunks", "", "5\r\nverse\r\n"),
        ("trailers", "5\r\nverse\r\n0\r\n", "x: y\r\n"),
    ] {
        let call_without_end =
            Route::AtMostOnce.call(name).with_header("Transfer-Encoding", "chunked");
        let sender = async {
            let mut connection = Connection::open(address).await.unwrap();
            connection.send(&call_without_end).await.unwrap();
            connection.write(start.as_bytes()).await.unwrap();
            let block = repeated.repeat(4_096);
            while connection.write(block.as_bytes()).await.is_ok() {}
        };
        let closed = tokio::time::timeout(Duration::from_secs(30), sender);
        let (closed, ()) = tokio::join!(closed, call_others(&fleet, name));
        assert!(closed.is_ok(), "{name}: the connection is still open");
    }
    check_memory(&fleet, before_kb, "requests without end");
}
