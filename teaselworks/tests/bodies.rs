//! Bodies of calls to plain services: sent on while they arrive, in bounded memory, and never cut
//! short without a sign.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use reqwest::{Body, Response};
use serde_json::Value;
use teaselworks_standin::fleet::{Fleet, FleetPlan, KEY, SERVICE, until};
use teaselworks_standin::router::Program;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Largest streamed body that the routers of these tests take.
const LIMIT_BYTES: u64 = 16 << 20;
/// Size that is sent on while it arrives.
const LARGE_BYTES: usize = 1 << 20;
/// Time that a sender gets for each block.
const TIMEOUT_MS: u64 = 400;

async fn fleet(routers: usize, services: usize) -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, routers, 1).with_settings(|_, settings| {
        settings.limits.service_body_size_bytes = LIMIT_BYTES;
        settings.limits.body_timeout_ms = TIMEOUT_MS;
    });
    plan.services = services;
    // In one zone, so that no router has a replica that it prefers.
    plan.zones = vec!["zone-a".into()];
    Fleet::start(plan).await.unwrap()
}

fn path(below: &str) -> String {
    format!("/services/{SERVICE}/{below}")
}

fn text(size_bytes: usize) -> Vec<u8> {
    (0..size_bytes).map(|at| (at % 251) as u8).collect()
}

/// A body that the test sends part by part; it breaks off with an error, or ends when dropped.
struct Sender(mpsc::Sender<io::Result<Bytes>>);

impl Sender {
    async fn send(&self, bytes: Vec<u8>) {
        self.0.send(Ok(bytes.into())).await.unwrap();
    }
}

fn body() -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(1);
    let parts = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|part| (part, receiver))
    });
    (Sender(sender), Body::wrap_stream(parts))
}

fn put(fleet: &Fleet, router: usize, body: Body) -> tokio::task::JoinHandle<Response> {
    let request = fleet.caller(router).request("PUT", &path("score/1")).body(body);
    tokio::spawn(async move { request.send().await.unwrap() })
}

/// Returns status, reason and verdict of a refusal.
async fn refusal(answer: Response) -> (u16, String, String) {
    let status = answer.status().as_u16();
    let body: Value = answer.json().await.unwrap();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (status, field("code"), field("verdict"))
}

fn refused(status: u16, reason: &str, verdict: &str) -> (u16, String, String) {
    (status, reason.into(), verdict.into())
}

/// Symptom: an upload above a few megabytes is refused, or held back until its last byte came.
/// Sequence: half of a large body is sent, then, once the service has part of it, the rest.
/// Cause: the entry or the owner collects bodies.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_reaches_the_service_while_it_arrives() {
    let fleet = fleet(2, 1).await;
    for router in 0..2 {
        let (sender, body) = body();
        let answer = put(&fleet, router, body);
        let before = fleet.services[0].received_bytes();
        let whole = text(6 * LARGE_BYTES);
        let (half, rest) = whole.split_at(whole.len() / 2);
        sender.send(half.to_vec()).await;
        until("the service has the first half", async || {
            fleet.services[0].received_bytes() - before >= half.len() as u64
        })
        .await;
        sender.send(rest.to_vec()).await;
        drop(sender);
        assert_eq!(answer.await.unwrap().status(), 200);
        let call = fleet.services[0].calls().pop().unwrap();
        assert_eq!((call.body_size_bytes, call.body_digest), (whole.len(), xxh3_64(&whole)));
    }
}

/// Symptom: an upload in progress is refused, or arrives without its beginning.
/// Sequence: the owner stands still for a moment while a body passes it.
/// Cause: the call, which may run twice, leaves an owner in doubt though its body has gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_which_a_part_has_gone_waits_for_its_owner() {
    let fleet = fleet(2, 1).await;
    let rows = fleet.routers[0].get("/v1/upstreams").await.unwrap();
    let is_service = |row: &&Value| row["name"] == format!("{SERVICE}-0");
    let row = rows.as_array().unwrap().iter().find(is_service).unwrap();
    let owner = fleet.routers.iter().position(|router| row["owner"] == router.name()).unwrap();
    let entry = 1 - owner;
    let (sender, body) = body();
    let answer = put(&fleet, entry, body);
    let whole = text(6 * LARGE_BYTES);
    let (half, rest) = whole.split_at(whole.len() / 2);
    sender.send(half.to_vec()).await;
    until("the service has the first half", async || {
        fleet.services[0].received_bytes() >= half.len() as u64
    })
    .await;
    fleet.routers[owner].freeze();
    let rest = rest.to_vec();
    tokio::spawn(async move { sender.send(rest).await });
    let doubted = "teaselworks_doubted_attempts_total";
    let kept = ["decision=\"not_repeatable\""];
    until("the owner is in doubt", async || {
        fleet.routers[entry].metric(doubted, &kept).await.unwrap() >= 1.0 || answer.is_finished()
    })
    .await;
    fleet.routers[owner].thaw();
    assert_eq!(answer.await.unwrap().status(), 200);
    assert!(fleet.routers[entry].metric(doubted, &kept).await.unwrap() >= 1.0);
    let calls = fleet.services[0].calls();
    assert_eq!(calls.len(), 1);
    assert_eq!((calls[0].body_size_bytes, calls[0].body_digest), (whole.len(), xxh3_64(&whole)));
}

/// Symptom: a service stores the beginning of an upload as if it were all of it.
/// Sequence: a body exceeds its limit, its sender stops, or its sender hangs up, midway.
/// Cause: the way to the service ends as it does after a whole body.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_fails_midway_never_looks_whole() {
    let fleet = fleet(2, 1).await;
    for router in 0..2 {
        let service = &fleet.services[0];
        let broken = service.broken_bodies();
        let too_large =
            Body::wrap_stream(stream::iter((0..17).map(|_| Ok::<_, io::Error>(text(LARGE_BYTES)))));
        let answer = put(&fleet, router, too_large).await.unwrap();
        assert_eq!(refusal(answer).await, refused(413, "too_large", "may_have_run"));

        let (stopping, stopped) = body();
        let answer = put(&fleet, router, stopped);
        stopping.send(text(LARGE_BYTES)).await;
        let answer = answer.await.unwrap();
        assert_eq!(refusal(answer).await, refused(408, "body_timeout", "may_have_run"));

        let (hanging_up, sent) = body();
        let answer = put(&fleet, router, sent);
        let before = service.received_bytes();
        hanging_up.send(text(LARGE_BYTES)).await;
        until("the service has part of it", async || service.received_bytes() > before).await;
        answer.abort();
        until("the service sees three bodies break off", async || {
            service.broken_bodies() == broken + 3
        })
        .await;
        assert!(service.calls().is_empty());
    }
}

/// Symptom: a service stores the beginning of an upload as if it were all of it.
/// Sequence: an entry router is killed while it passes a body on, to itself or to another owner.
/// Cause: the owner takes the end of the link for the end of the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_whose_entry_is_killed_never_looks_whole() {
    for router in 0..2 {
        let mut fleet = fleet(2, 1).await;
        let (sender, sent) = body();
        let request = fleet.caller(router).request("PUT", &path("score/1")).body(sent);
        let answer = tokio::spawn(request.send());
        sender.send(text(LARGE_BYTES)).await;
        let service = &fleet.services[0];
        until("the service has part of it", async || service.received_bytes() > 0).await;
        fleet.routers[router].kill();
        until("the body breaks off", async || fleet.services[0].broken_bodies() == 1).await;
        assert!(fleet.services[0].calls().is_empty());
        assert!(answer.await.unwrap().is_err());
    }
}

/// Symptom: a caller is told that its call may have run although the service never saw it.
/// Sequence: a body is announced as too large, or its sender stops before anything was sent on.
/// Cause: refusals of bodies don't tell how far they got.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_refused_before_anything_was_sent_on_did_not_run() {
    let fleet = fleet(1, 1).await;
    let announced = Body::from(text(17 * LARGE_BYTES));
    let answer = put(&fleet, 0, announced).await.unwrap();
    assert_eq!(refusal(answer).await, refused(413, "too_large", "not_run"));
    let (sender, stopped) = body();
    let answer = put(&fleet, 0, stopped);
    sender.send(text(1_000)).await;
    let answer = answer.await.unwrap();
    assert_eq!(refusal(answer).await, refused(408, "body_timeout", "not_run"));
    assert_eq!(fleet.services[0].received_bytes(), 0);
}

/// Symptom: a caller that half closed its connection takes an empty 200 for the service's answer.
/// Sequence: part of a body, large or small, then the end of the caller's sending side.
/// Cause: the server library answers for a handler that was dropped with its client.
#[tokio::test(flavor = "multi_thread")]
async fn a_half_closed_caller_is_told() {
    let fleet = fleet(2, 1).await;
    let address = fleet.routers[0].settings().listen.callers;
    for sent_bytes in [1_000, LARGE_BYTES] {
        let mut connection = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "PUT {} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
             content-length: {}\r\n\r\n",
            path("score/1"),
            2 * LARGE_BYTES,
        );
        connection.write_all(head.as_bytes()).await.unwrap();
        connection.write_all(&text(sent_bytes)).await.unwrap();
        connection.shutdown().await.unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400 "), "{sent_bytes} bytes: {answer:?}");
        assert!(answer.contains("\"code\":\"malformed\""), "{answer:?}");
    }
    assert!(fleet.services[0].calls().is_empty());
}

/// Symptom: a large upload fails though another replica could take it.
/// Sequence: one of two replicas is down; uploads go to both.
/// Cause: the beginning of a body is gone with the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_that_was_not_sent_on_goes_to_another_replica() {
    let fleet = fleet(2, 2).await;
    fleet.services[0].server().stop();
    let whole = text(LARGE_BYTES);
    // One of the routers owns the replica that is down, the other one reaches it over a link.
    for router in 0..2 {
        until("a call met the replica that is down", async || {
            let body = Body::wrap_stream(stream::iter([Ok::<_, io::Error>(whole.clone())]));
            let answer = put(&fleet, router, body).await.unwrap();
            assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap());
            let call = fleet.services[1].calls().pop().unwrap();
            assert_eq!(call.body_digest, xxh3_64(&whole));
            let retries = fleet.routers[router].metric("teaselworks_retries_total", &[]).await;
            retries.unwrap() > 0.0
        })
        .await;
    }
}

/// Symptom: a few large answers fill a router's memory.
/// Sequence: a caller reads the head of a large answer and waits, then reads the rest.
/// Cause: entry or owner take from the service whatever it sends.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_waits_at_the_service_for_its_caller() {
    const ANSWER_BYTES: usize = 64 << 20;
    let fleet = fleet(2, 1).await;
    for router in 0..2 {
        let before = fleet.services[0].sent_bytes();
        let request = fleet.caller(router).request("GET", &path(&format!("fill/{ANSWER_BYTES}")));
        let answer = request.send().await.unwrap();
        let sent = settled(async || fleet.services[0].sent_bytes() - before).await;
        assert!(sent < ANSWER_BYTES as u64 / 2, "{sent} bytes left the service unread");
        assert_eq!(answer.bytes().await.unwrap().len(), ANSWER_BYTES);
    }
}

/// Waits until a count no longer grows.
async fn settled(mut count: impl AsyncFnMut() -> u64) -> u64 {
    let mut last = count().await;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let now = count().await;
        if now == last {
            return now;
        }
        last = now;
    }
}
