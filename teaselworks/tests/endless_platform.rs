//! A store and routers that send bytes without end.

mod common;

use std::time::Duration;

use common::endless::peak_memory_kb;
use common::{fleet, program, request};
use serde_json::json;
use teaselworks_standin::caller::call;
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::router::Router;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream};
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

/// Largest response of the store or of another router that a router reads, in KB.
const MAX_RESPONSE_KB: u64 = 16 << 10;
/// Largest memory that a router may use for responses without end: one response of the store and one
/// of another router, each in a buffer that doubles when it grows.
const MAX_MEMORY_KB: u64 = 2 * 2 * MAX_RESPONSE_KB;
/// Number of calls that a router may make at once to the store.
const MAX_CALLS: usize = 4;

/// Number of closed responses that a check waits for.
const MIN_CLOSED_CALLS: usize = 2;

/// Returns what a server does with a request.
type Behaviour = fn(&ReceivedRequest) -> Script;

/// Writes `start`, then `repeated` without end.
fn endless(start: &[u8], repeated: &[u8]) -> Script {
    Script::new(vec![Step::Write(start.to_vec()), Step::WriteForever(repeated.to_vec())])
}

/// Returns a router whose store is `store`, and that knows of the first router of a fleet and of
/// `peer`.
async fn start_router(fleet: &Fleet, store: &Upstream, peer: &Upstream) -> Router {
    let seeds = [fleet.routers[0].peers_address(), peer.address()];
    let bounds = json!({ "retry_ratio": 10.0 });
    let router = Router::start(program(), "router-1", store.address(), &seeds, &bounds).unwrap();
    router.wait_until_ready().await.unwrap();
    router
}

/// Waits until responses without end are closed that a server began after the first `before`, and no
/// more are open than there are calls in progress.
async fn wait_for_closed_calls(server: &Upstream, before: usize, name: &str) {
    wait_until(name, async || {
        let responses = server.endless_responses();
        let open = responses.iter().filter(|response| !response.is_closed).count();
        let closed = responses.iter().skip(before).filter(|response| response.is_closed).count();
        closed >= MIN_CLOSED_CALLS && open <= MAX_CALLS
    })
    .await
    .unwrap_or_else(|error| panic!("{error}: {:?}", server.endless_responses()));
}

/// Sets the behaviour of a server and checks that the router closes its responses, serves requests
/// meanwhile and keeps its memory.
async fn check(router: &Router, server: &Upstream, name: &str, behaviour: Behaviour) {
    let before = server.endless_responses().len();
    let before_kb = peak_memory_kb(router);
    server.set_behaviour(behaviour);
    let others = async {
        for number in 0..10 {
            let id = format!("{name}-{number}").replace(' ', "-");
            let reply =
                call(router.callers_address(), &request("GET", "/read/a", &id)).await.unwrap();
            assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"), "{id}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::join!(others, wait_for_closed_calls(server, before, name));
    let growth_kb = peak_memory_kb(router).saturating_sub(before_kb);
    println!("{name}: {growth_kb} KB");
    assert!(growth_kb <= MAX_MEMORY_KB, "{name}: {growth_kb} KB");
}

/// Guards against a store whose responses have no end and use up the memory or stop the router from
/// asking other routers.
#[tokio::test]
async fn a_store_that_responds_without_end_is_a_failed_store() {
    let fleet = fleet(1).await;
    let store = Upstream::start("store", |_| Script::new(vec![Step::Reset])).unwrap();
    let peer = Upstream::start("peer", |_| Script::new(vec![Step::Reset])).unwrap();
    let router = start_router(&fleet, &store, &peer).await;
    let kinds: Vec<(&str, Behaviour)> = vec![
        ("no HTTP", |_| endless(b"", b"\x16\x03\x01 garbage")),
        ("header line", |_| endless(b"HTTP/1.1 200 OK\r\nx: ", b"y")),
        ("interim heads", |_| endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")),
        ("no length", |_| endless(b"HTTP/1.1 200 OK\r\n\r\n{\"items\": [", b" ")),
        ("error", |_| endless(b"HTTP/1.1 503 Unavailable\r\n\r\n", b"busy ")),
        ("chunks", |_| {
            endless(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"5\r\nverse\r\n")
        }),
        ("chunk size", |_| endless(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"0")),
        ("after a response", |_| {
            endless(b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n", b"busy ")
        }),
    ];
    for (name, behaviour) in kinds {
        check(&router, &store, name, behaviour).await;
    }
}

/// Guards against a store that sends a response byte by byte without end and keeps the router from
/// asking other routers.
#[tokio::test]
async fn a_store_that_responds_byte_by_byte_is_a_failed_store() {
    let fleet = fleet(1).await;
    let store = Upstream::start("store", |_| {
        let mut steps = vec![Step::Write(b"HTTP/1.1 200 OK\r\n\r\n{\"items\": [".to_vec())];
        for _ in 0..1_000 {
            steps.extend([Step::Write(b" ".to_vec()), Step::Pause(Duration::from_millis(100))]);
        }
        Script::new(steps)
    })
    .unwrap();
    let seeds = [fleet.routers[0].peers_address()];
    let router = Router::start(program(), "router-1", store.address(), &seeds, &json!({})).unwrap();
    wait_until("calls are given up", async || store.aborted_requests().len() >= 2).await.unwrap();
    router.wait_until_ready().await.unwrap();
}

/// Accepts the WebSocket of a router, and then writes `start`, and `repeated` without end.
fn endless_websocket(req: &ReceivedRequest, start: &[u8], repeated: &[u8]) -> Script {
    let key = req.head.header("sec-websocket-key").unwrap_or_default();
    let mut head = format!(
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
         sec-websocket-accept: {}\r\n\r\n",
        derive_accept_key(key.as_bytes())
    )
    .into_bytes();
    head.extend_from_slice(start);
    endless(&head, repeated)
}

/// Returns a WebSocket frame of a server with a length of 16 bits.
fn frame(opcode: u8, payload: &[u8]) -> Vec<u8> {
    let length = u16::try_from(payload.len()).unwrap().to_be_bytes();
    [&[opcode, 126], length.as_slice(), payload].concat()
}

/// Guards against a router whose responses have no end and use up the memory of another one or stop
/// it from asking others.
#[tokio::test]
async fn a_router_that_responds_without_end_is_a_failed_router() {
    let fleet = fleet(1).await;
    let store = Upstream::start("store", |_| Script::new(vec![Step::Reset])).unwrap();
    let peer = Upstream::start("peer", |_| Script::new(vec![Step::Reset])).unwrap();
    let router = start_router(&fleet, &store, &peer).await;
    let kinds: Vec<(&str, Behaviour)> = vec![
        ("no HTTP", |_| endless(b"", b"\x16\x03\x01 garbage")),
        ("header line", |_| endless(b"HTTP/1.1 101 Switching Protocols\r\nx: ", b"y")),
        ("header lines", |_| endless(b"HTTP/1.1 101 Switching Protocols\r\n", b"x: y\r\n")),
        ("large frame", |req| {
            let start = [&[0x82, 127], (1_u64 << 40).to_be_bytes().as_slice()].concat();
            endless_websocket(req, &start, b"verse ")
        }),
        ("fragments", |req| {
            endless_websocket(req, &frame(0x02, b"verse"), &frame(0x00, &[b'v'; 60_000]))
        }),
        ("empty fragments", |req| {
            endless_websocket(req, &frame(0x02, b"verse"), &frame(0x00, b""))
        }),
        ("texts", |req| endless_websocket(req, b"", &frame(0x81, b"verse"))),
        ("pings", |req| endless_websocket(req, b"", &frame(0x89, b""))),
    ];
    for (name, behaviour) in kinds {
        check(&router, &peer, name, behaviour).await;
    }
}
