//! How the router reads, checks and forwards the requests of callers, which requests it refuses,
//! and how it limits the connections of callers.

mod common;

use std::time::Duration;

use common::{chat, fleet, fleet_with, request};
use serde_json::json;
use teaselworks_standin::caller::{Call, Connection, call};
use teaselworks_standin::configuration::{API_KEY, HOST, TestConfiguration, WORKSPACE};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{Script, Step};

/// Guards against forwarded requests that lose a part of what the caller sent, or that carry a
/// caller's forged value of a header which only the router may set.
#[tokio::test]
async fn requests_are_forwarded_unchanged_except_for_headers_of_the_router() {
    let fleet = fleet(1).await;
    let sent = request("POST", "/write/tag?of=verse%201", "0a1b")
        .with_header("X-Note", "kept")
        .with_header("X-Tenant", "another")
        .with_header("X-Cache-Hold", "7")
        .with_header("Kv-From", "10.0.0.1:80/5")
        .with_header("Kv-Fetch", "10.0.0.1:80")
        .with_header("Connection", "X-Hop")
        .with_header("X-Hop", "dropped")
        .with_body("dialect: dolenjsko");
    let reply = call(fleet.routers[0].callers_address(), &sent).await.unwrap();
    assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"));
    assert_eq!(reply.head.header("x-server-stamp"), Some("stamp-0a1b"));
    let received: Vec<_> =
        fleet.services.iter().flat_map(|service| service.received_requests()).collect();
    let [req] = &received[..] else { panic!("{received:?}") };
    assert_eq!(req.target(), ("POST", "/write/tag?of=verse%201"));
    assert_eq!(req.body.bytes, b"dialect: dolenjsko");
    assert_eq!(req.head.header("host"), Some(HOST));
    assert_eq!(req.head.header("x-note"), Some("kept"));
    assert_eq!(req.head.header("x-tenant"), Some(WORKSPACE));
    assert_eq!(req.head.header_count("x-tenant"), 1);
    for dropped in ["authorization", "x-cache-hold", "kv-from", "kv-fetch", "x-hop"] {
        assert_eq!(req.head.header(dropped), None, "{dropped}");
    }
    let expected =
        fleet.services.iter().find(|service| !service.received_requests().is_empty()).unwrap();
    assert_eq!(req.head.header("x-expect-instance"), Some(expected.id.as_str()));
    // `request` states a deadline of 6,000 ms.
    let remaining: u64 = req.head.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(remaining <= 6_000, "{remaining}");
}

/// Guards against chunked bodies that lose bytes when they are read and framed again: the chunks
/// arrive one by one, and one has a chunk extension.
#[tokio::test]
async fn a_chunked_body_is_forwarded_completely() {
    let fleet = fleet(1).await;
    let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    let head = format!(
        "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: c1\r\n\
         Authorization: Bearer {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes()).await.unwrap();
    for chunk in ["3\r\nabc\r\n", "4;x=y\r\ndefg\r\n", "0\r\n\r\n"] {
        connection.write(chunk.as_bytes()).await.unwrap();
    }
    assert_eq!(connection.read_reply().await.unwrap().unwrap().status(), 200);
    let received: Vec<_> =
        fleet.services.iter().flat_map(|service| service.received_requests()).collect();
    assert_eq!(received[0].body.bytes, b"abcdefg");
}

/// Guards against the loss or reordering of bytes in a body that is too long to be buffered and is
/// therefore forwarded while it arrives.
#[tokio::test]
async fn a_body_too_long_to_buffer_is_forwarded_completely() {
    let fleet = fleet(1).await;
    let body = "a verse and another ".repeat(30_000);
    let sent = request("POST", "/write/a", "long").with_body(&body);
    assert_eq!(call(fleet.routers[0].callers_address(), &sent).await.unwrap().status(), 200);
    let received: Vec<_> =
        fleet.services.iter().flat_map(|service| service.received_requests()).collect();
    assert_eq!(received[0].body.bytes, body.as_bytes());
    assert!(received[0].body.is_whole);
}

/// Guards against requests that reach a replica although the router has to refuse them: an unknown
/// route or host, no valid API key, a body that is too large, or invalid or duplicate headers.
#[tokio::test]
async fn requests_that_fail_a_check_are_refused_and_reach_no_replica() {
    let fleet = fleet(1).await;
    let address = fleet.routers[0].callers_address();
    let cases = [
        (request("GET", "/elsewhere/a", "1"), 404),
        (Call::new("GET", "other.example", "/read/a", "2").with_api_key(API_KEY), 404),
        (Call::new("GET", HOST, "/read/a", "3"), 401),
        (Call::new("GET", HOST, "/read/a", "4").with_api_key("unknown"), 401),
        (request("POST", "/write/a", "5").with_header("Content-Length", "2097152"), 413),
        // Duplicates of headers that `request` already sets.
        (request("GET", "/read/a", "6").with_header("X-Request-Id", "7"), 400),
        (request("GET", "/read/a", "8").with_header("Host", "other.example"), 400),
        (request("GET", "/read/a", "9").with_header("X-Deadline-Ms", "7000"), 400),
        // A deadline that is not a number.
        (
            Call::new("GET", HOST, "/read/a", "10")
                .with_api_key(API_KEY)
                .with_header("X-Deadline-Ms", "soon"),
            400,
        ),
    ];
    for (sent, status) in cases {
        let reply = call(address, &sent).await.unwrap();
        assert_eq!(reply.status(), status, "{sent:?}");
        assert_eq!(reply.head.header("x-server-stamp"), None);
    }
    assert!(fleet.services.iter().all(|service| service.received_requests().is_empty()));
    // The refused requests have no effect on a valid one that follows.
    assert_eq!(call(address, &request("GET", "/read/a", "after")).await.unwrap().status(), 200);
}

/// Guards against request smuggling: if a head states conflicting or invalid body lengths, the
/// router and a replica could disagree on where the body ends, and one of them could take a part of
/// it for another request.
#[tokio::test]
async fn conflicting_lengths_smuggle_no_request() {
    let fleet = fleet(1).await;
    let hidden = format!("GET /read/b HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: hidden\r\n\r\n");
    let framings = [
        format!("Content-Length: 0\r\nContent-Length: {}\r\n\r\n{hidden}", hidden.len()),
        // 5 is the length of the last chunk, `0\r\n\r\n`.
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}", 5),
        format!("Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc{hidden}"),
        format!("Content-Length: +3\r\n\r\nabc{hidden}"),
    ];
    for (number, framing) in framings.iter().enumerate() {
        let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
        let head = format!(
            "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s{number}\r\n\
             Authorization: Bearer {API_KEY}\r\n{framing}"
        );
        connection.write(head.as_bytes()).await.unwrap();
        while let Ok(Some(reply)) = connection.read_reply().await {
            assert!(reply.status() >= 200, "{framing}");
        }
    }
    let received: Vec<_> =
        fleet.services.iter().flat_map(|service| service.received_requests()).collect();
    assert!(received.iter().all(|req| req.id() != "hidden"), "{received:?}");
    for req in &received {
        assert!(!String::from_utf8_lossy(&req.body.bytes).contains("hidden"), "{req:?}");
    }
}

/// Guards against heads that are not HTTP, or larger than the limit, and get no answer or a wrong
/// status.
#[tokio::test]
async fn invalid_or_too_large_heads_are_refused() {
    let fleet = fleet(1).await;
    let large =
        format!("GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nX-Long: {}\r\n\r\n", "x".repeat(40_000));
    for (bytes, status) in [("no http at all\r\n\r\n", 400), (large.as_str(), 431)] {
        let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
        connection.write(bytes.as_bytes()).await.unwrap();
        assert_eq!(connection.read_reply().await.unwrap().unwrap().status(), status);
    }
}

/// Guards against connections that use up the file descriptors without a complete request: callers
/// that send a head too slowly, and connections that stay idle.
#[tokio::test]
async fn slow_heads_and_idle_connections_are_closed() {
    let mut configuration = TestConfiguration::default();
    configuration.value["limits"]["header_timeout_ms"] = json!(300);
    configuration.value["limits"]["idle_timeout_ms"] = json!(600);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    let address = fleet.routers[0].callers_address();
    let mut slow = Connection::open(address).await.unwrap();
    slow.write(b"GET /read/a HT").await.unwrap();
    let mut idle = Connection::open(address).await.unwrap();
    assert_eq!(idle.call(&request("GET", "/read/a", "1")).await.unwrap().unwrap().status(), 200);
    // A read that returns no head shows that the router has closed the connection.
    assert!(!matches!(slow.read_head().await, Ok(Some(_))));
    assert!(!matches!(idle.read_head().await, Ok(Some(_))));
}

/// Guards against an idle connection that is closed after the header timeout, which applies only
/// while a head is arriving.
#[tokio::test]
async fn a_connection_idle_for_less_than_the_idle_timeout_is_reused() {
    let mut configuration = TestConfiguration::default();
    configuration.value["limits"]["header_timeout_ms"] = json!(200);
    configuration.value["limits"]["idle_timeout_ms"] = json!(20_000);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    for id in ["1", "2"] {
        let reply = connection.call(&request("GET", "/read/a", id)).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against replicas that keep working on a request whose caller has closed its connection,
/// before the answer began or in the middle of a stream.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_request_at_the_replica() {
    let fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            Script::stream(req, 1..2, Duration::ZERO, false).then(Step::Silence)
        });
    }
    for service in &fleet.services {
        service.set_behaviour(|_| Script::new(vec![Step::Silence]));
    }
    let address = fleet.routers[0].callers_address();
    let mut streaming = Connection::open(address).await.unwrap();
    streaming.send(&chat("/chat/a", "a1", 1)).await.unwrap();
    assert!(streaming.read_head().await.unwrap().is_some());
    let mut waiting = Connection::open(address).await.unwrap();
    waiting.send(&request("POST", "/write/a", "b2")).await.unwrap();
    let is_received =
        || fleet.services.iter().any(|service| !service.received_requests().is_empty());
    teaselworks_standin::fleet::wait_until("the request reached a replica", async || is_received())
        .await
        .unwrap();
    drop(streaming);
    drop(waiting);
    let aborted = || -> Vec<String> {
        let upstreams = fleet.engines.iter().chain(&fleet.services);
        upstreams.flat_map(|upstream| upstream.aborted_requests()).collect()
    };
    teaselworks_standin::fleet::wait_until("both requests ended", async || aborted().len() == 2)
        .await
        .unwrap();
    fleet.routers[0].wait_for_events("caller_left", 2).await.unwrap();
}

/// Guards against an anonymous route that requires an API key, or that forwards a workspace header
/// which the caller made up.
#[tokio::test]
async fn anonymous_routes_need_no_key_and_forward_no_workspace() {
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/read/")["anonymous"] = json!(true);
    let fleet = fleet_with(1, configuration, &json!({})).await;
    let sent = Call::new("GET", HOST, "/read/a", "1").with_header("X-Tenant", WORKSPACE);
    assert_eq!(call(fleet.routers[0].callers_address(), &sent).await.unwrap().status(), 200);
    let received: Vec<_> =
        fleet.services.iter().flat_map(|service| service.received_requests()).collect();
    assert_eq!(received[0].head.header("x-tenant"), None);
}

/// Restarts the router with a limit of 64 file descriptors, of which callers may use 48.
async fn restart_with_few_descriptors(fleet: &mut Fleet) {
    let router = &mut fleet.routers[0];
    router.signal(nix::sys::signal::Signal::SIGKILL).unwrap();
    router.wait_for_exit().await.unwrap();
    router.change_settings(|settings| settings["limits"]["file_descriptors"] = json!(64)).unwrap();
    router.spawn().unwrap();
    router.wait_until_ready().await.unwrap();
}

/// Guards against connections of callers that use up the file descriptors, so that none is left to
/// connect to an upstream: the router accepts no more than 48 callers, and the next one waits until
/// one of them closes its connection.
#[tokio::test]
async fn callers_leave_descriptors_for_upstreams() {
    let mut fleet = fleet(1).await;
    restart_with_few_descriptors(&mut fleet).await;
    for service in &fleet.services {
        service.set_behaviour(|_| Script::new(vec![Step::Silence]));
    }
    let router = &fleet.routers[0];
    let mut connections = Vec::new();
    for number in 0..48 {
        let mut connection = Connection::open(router.callers_address()).await.unwrap();
        connection.send(&request("POST", "/write/a", &format!("c{number}"))).await.unwrap();
        connections.push(connection);
    }
    router.wait_for_events("request_placed", 48).await.unwrap();
    // The event is logged before the request reaches a service. A request that reached its service
    // after the change of behaviour would be answered and its connection closed, and the next
    // caller would not have to wait.
    let received_count =
        || fleet.services.iter().map(|service| service.received_requests().len()).sum::<usize>();
    teaselworks_standin::fleet::wait_until("48 requests reached services", async || {
        received_count() == 48
    })
    .await
    .unwrap();
    for service in &fleet.services {
        service.set_behaviour(|req| Script::response(req, 200, "a verse"));
    }
    let mut next_caller = Connection::open(router.callers_address()).await.unwrap();
    next_caller.send(&request("GET", "/read/a", "next")).await.unwrap();
    let early_reply =
        tokio::time::timeout(Duration::from_millis(300), next_caller.read_reply()).await;
    assert!(early_reply.is_err(), "{early_reply:?}");
    drop(connections.pop());
    assert_eq!(next_caller.read_reply().await.unwrap().unwrap().status(), 200);
}

/// Guards against idle connections that use up all file descriptors for callers, so that further
/// callers are not accepted before they give up. Once more than half of the 48 connections are
/// open, the router closes each connection after its answer.
#[tokio::test]
async fn connections_are_closed_after_an_answer_if_more_than_half_are_open() {
    let mut fleet = fleet(1).await;
    restart_with_few_descriptors(&mut fleet).await;
    let router = &fleet.routers[0];
    let mut connections = Vec::new();
    for number in 0..100 {
        let mut connection = Connection::open(router.callers_address()).await.unwrap();
        let sent = request("GET", "/read/a", &format!("c{number}"));
        let reply = connection.call(&sent).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200);
        assert_eq!(reply.head.header("connection").is_some(), number >= 24, "{number}");
        connections.push(connection);
    }
}

/// Guards against lost requests when several arrive at once on one connection, or one arrives in
/// two parts.
#[tokio::test]
async fn requests_that_arrive_together_or_in_parts_are_all_answered() {
    let fleet = fleet(1).await;
    let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    let bytes: Vec<u8> =
        ["1", "2", "3"].iter().flat_map(|id| request("GET", "/read/a", id).bytes()).collect();
    let split_at = bytes.len() - 20;
    connection.write(&bytes[..split_at]).await.unwrap();
    for id in ["1", "2"] {
        let reply = connection.read_reply().await.unwrap().unwrap();
        assert_eq!((reply.status(), reply.head.header("x-request-id")), (200, Some(id)));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    connection.write(&bytes[split_at..]).await.unwrap();
    let reply = connection.read_reply().await.unwrap().unwrap();
    assert_eq!((reply.status(), reply.head.header("x-request-id")), (200, Some("3")));
}

/// Guards against request smuggling through a refused request: the router refuses it before it
/// reads the body, and could take the body that is still arriving for the next request.
#[tokio::test]
async fn the_unread_body_of_a_refused_request_is_not_taken_for_a_request() {
    let fleet = fleet(1).await;
    let smuggled = request("POST", "/write/a", "smuggled").bytes();
    let head = format!(
        "POST /write/a HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: refused\r\n\
         content-length: {}\r\n\r\n",
        smuggled.len()
    );
    let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    connection.write(head.as_bytes()).await.unwrap();
    assert_eq!(connection.read_reply().await.unwrap().unwrap().status(), 401);
    // Errors are ignored: the router may have closed the connection already.
    let _ = connection.write(&smuggled).await;
    let _ = connection.read_reply().await;
    assert_eq!(
        fleet.services.iter().map(|service| service.run_count("smuggled")).sum::<usize>(),
        0
    );
}
