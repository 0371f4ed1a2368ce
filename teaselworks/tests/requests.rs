//! What callers may send, and what they get for what they may not.

mod common;

use std::time::Duration;

use common::{chat, fleet, fleet_with, request};
use serde_json::json;
use teaselworks_standin::caller::{Call, Connection, call};
use teaselworks_standin::configuration::{HOST, KEY, Plan, WORKSPACE};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::{Script, Step};

#[tokio::test]
async fn a_request_reaches_a_replica_unchanged_but_for_what_routers_add() {
    let fleet = fleet(1).await;
    let sent = request("POST", "/write/tag?of=verse%201", "0a1b")
        .with("X-Note", "kept")
        .with("X-Tenant", "another")
        .with("X-Cache-Hold", "7")
        .with("Kv-From", "10.0.0.1:80/5")
        .with("Kv-Fetch", "10.0.0.1:80")
        .with("Connection", "X-Hop")
        .with("X-Hop", "dropped")
        .body("dialect: dolenjsko");
    let reply = call(fleet.routers[0].callers(), &sent).await.unwrap();
    assert_eq!((reply.status(), reply.text().as_str()), (200, "a verse"));
    assert_eq!(reply.head.header("x-server-stamp"), Some("stamp-0a1b"));
    let seen: Vec<_> = fleet.services.iter().flat_map(|service| service.seen()).collect();
    let [seen] = &seen[..] else { panic!("{seen:?}") };
    assert_eq!(seen.target(), ("POST", "/write/tag?of=verse%201"));
    assert_eq!(seen.body.bytes, b"dialect: dolenjsko");
    assert_eq!(seen.head.header("host"), Some(HOST));
    assert_eq!(seen.head.header("x-note"), Some("kept"));
    assert_eq!(seen.head.header("x-tenant"), Some(WORKSPACE));
    assert_eq!(seen.head.count("x-tenant"), 1);
    for dropped in ["authorization", "x-cache-hold", "kv-from", "kv-fetch", "x-hop"] {
        assert_eq!(seen.head.header(dropped), None, "{dropped}");
    }
    let expected = fleet.services.iter().find(|service| !service.seen().is_empty()).unwrap();
    assert_eq!(seen.head.header("x-expect-instance"), Some(expected.id.as_str()));
    let remaining: u64 = seen.head.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(remaining <= 6_000, "{remaining}");
}

#[tokio::test]
async fn a_chunked_body_arrives_whole() {
    let fleet = fleet(1).await;
    let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
    let head = format!(
        "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: c1\r\n\
         Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes()).await.unwrap();
    for chunk in ["3\r\nabc\r\n", "4;x=y\r\ndefg\r\n", "0\r\n\r\n"] {
        connection.write(chunk.as_bytes()).await.unwrap();
    }
    assert_eq!(connection.reply().await.unwrap().unwrap().status(), 200);
    let seen: Vec<_> = fleet.services.iter().flat_map(|service| service.seen()).collect();
    assert_eq!(seen[0].body.bytes, b"abcdefg");
}

#[tokio::test]
async fn a_long_body_is_sent_on_whole() {
    let fleet = fleet(1).await;
    let body = "a verse and another ".repeat(30_000);
    let sent = request("POST", "/write/a", "long").body(&body);
    assert_eq!(call(fleet.routers[0].callers(), &sent).await.unwrap().status(), 200);
    let seen: Vec<_> = fleet.services.iter().flat_map(|service| service.seen()).collect();
    assert_eq!(seen[0].body.bytes, body.as_bytes());
    assert!(seen[0].body.is_whole);
}

#[tokio::test]
async fn what_the_configuration_does_not_allow_is_refused_and_does_not_run() {
    let fleet = fleet(1).await;
    let address = fleet.routers[0].callers();
    let cases = [
        (request("GET", "/elsewhere/a", "1"), 404),
        (Call::new("GET", "other.example", "/read/a", "2").key(KEY), 404),
        (Call::new("GET", HOST, "/read/a", "3"), 401),
        (Call::new("GET", HOST, "/read/a", "4").key("unknown"), 401),
        (request("POST", "/write/a", "5").with("Content-Length", "2097152"), 413),
        (request("GET", "/read/a", "6").with("X-Request-Id", "7"), 400),
        (request("GET", "/read/a", "8").with("Host", "other.example"), 400),
        (request("GET", "/read/a", "9").with("X-Deadline-Ms", "7000"), 400),
        (Call::new("GET", HOST, "/read/a", "10").key(KEY).with("X-Deadline-Ms", "soon"), 400),
    ];
    for (sent, status) in cases {
        let reply = call(address, &sent).await.unwrap();
        assert_eq!(reply.status(), status, "{sent:?}");
        assert_eq!(reply.head.header("x-server-stamp"), None);
    }
    assert!(fleet.services.iter().all(|service| service.seen().is_empty()));
    // What was refused has no effect on others.
    assert_eq!(call(address, &request("GET", "/read/a", "after")).await.unwrap().status(), 200);
}

/// Guards against a request hidden in the body of another by conflicting lengths.
#[tokio::test]
async fn conflicting_lengths_smuggle_no_request() {
    let fleet = fleet(1).await;
    let hidden = format!("GET /read/b HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: hidden\r\n\r\n");
    let framings = [
        format!("Content-Length: 0\r\nContent-Length: {}\r\n\r\n{hidden}", hidden.len()),
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}", 5),
        format!("Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc{hidden}"),
        format!("Content-Length: +3\r\n\r\nabc{hidden}"),
    ];
    for (number, framing) in framings.iter().enumerate() {
        let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
        let head = format!(
            "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s{number}\r\n\
             Authorization: Bearer {KEY}\r\n{framing}"
        );
        connection.write(head.as_bytes()).await.unwrap();
        while let Ok(Some(reply)) = connection.reply().await {
            assert!(reply.status() >= 200, "{number}");
        }
    }
    let seen: Vec<_> = fleet.services.iter().flat_map(|service| service.seen()).collect();
    assert!(seen.iter().all(|seen| seen.id() != "hidden"), "{seen:?}");
    for seen in &seen {
        assert!(!String::from_utf8_lossy(&seen.body.bytes).contains("hidden"), "{seen:?}");
    }
}

#[tokio::test]
async fn heads_that_are_no_http_or_too_large_are_refused() {
    let fleet = fleet(1).await;
    let large =
        format!("GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nX-Long: {}\r\n\r\n", "x".repeat(40_000));
    for (bytes, status) in [("no http at all\r\n\r\n", 400), (large.as_str(), 431)] {
        let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
        connection.write(bytes.as_bytes()).await.unwrap();
        assert_eq!(connection.reply().await.unwrap().unwrap().status(), status);
    }
}

/// Guards against connections without a whole request that take every descriptor.
#[tokio::test]
async fn slow_heads_and_idle_connections_are_closed() {
    let mut plan = Plan::default();
    plan.value["limits"]["header_timeout_ms"] = json!(300);
    plan.value["limits"]["idle_timeout_ms"] = json!(600);
    let fleet = fleet_with(1, plan, &json!({})).await;
    let address = fleet.routers[0].callers();
    let mut slow = Connection::open(address).await.unwrap();
    slow.write(b"GET /read/a HT").await.unwrap();
    let mut idle = Connection::open(address).await.unwrap();
    assert_eq!(idle.call(&request("GET", "/read/a", "1")).await.unwrap().unwrap().status(), 200);
    assert!(!matches!(slow.head().await, Ok(Some(_))));
    assert!(!matches!(idle.head().await, Ok(Some(_))));
}

/// Guards against an idle connection that is closed by the timeout of heads.
#[tokio::test]
async fn a_connection_idle_within_its_timeout_is_used_again() {
    let mut plan = Plan::default();
    plan.value["limits"]["header_timeout_ms"] = json!(200);
    plan.value["limits"]["idle_timeout_ms"] = json!(20_000);
    let fleet = fleet_with(1, plan, &json!({})).await;
    let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
    for id in ["1", "2"] {
        let reply = connection.call(&request("GET", "/read/a", id)).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against replicas that work for callers that have left.
#[tokio::test]
async fn a_caller_that_leaves_ends_the_work() {
    let fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|seen| {
            Script::stream(seen, 1..2, Duration::ZERO, false).then(Step::Silence)
        });
    }
    for service in &fleet.services {
        service.set_behaviour(|_| Script::of(vec![Step::Silence]));
    }
    let address = fleet.routers[0].callers();
    let mut streaming = Connection::open(address).await.unwrap();
    streaming.send(&chat("/chat/a", "a1", 1)).await.unwrap();
    assert!(streaming.head().await.unwrap().is_some());
    let mut waiting = Connection::open(address).await.unwrap();
    waiting.send(&request("POST", "/write/a", "b2")).await.unwrap();
    let reached = || fleet.services.iter().any(|service| !service.seen().is_empty());
    teaselworks_standin::fleet::until("the request is at a replica", async || reached())
        .await
        .unwrap();
    drop(streaming);
    drop(waiting);
    let broken_off = || -> Vec<String> {
        let upstreams = fleet.engines.iter().chain(&fleet.services);
        upstreams.flat_map(|upstream| upstream.broken_off()).collect()
    };
    teaselworks_standin::fleet::until("both are ended", async || broken_off().len() == 2)
        .await
        .unwrap();
    fleet.routers[0].logged("caller_left", 2).await.unwrap();
}

#[tokio::test]
async fn anonymous_routes_need_no_key_and_name_no_workspace() {
    let mut plan = Plan::default();
    plan.find("/read/")["anonymous"] = json!(true);
    let fleet = fleet_with(1, plan, &json!({})).await;
    let sent = Call::new("GET", HOST, "/read/a", "1").with("X-Tenant", WORKSPACE);
    assert_eq!(call(fleet.routers[0].callers(), &sent).await.unwrap().status(), 200);
    let seen: Vec<_> = fleet.services.iter().flat_map(|service| service.seen()).collect();
    assert_eq!(seen[0].head.header("x-tenant"), None);
}

/// Starts a router again that may have few descriptors: 48 of them for callers.
async fn with_few_descriptors(fleet: &mut Fleet) {
    let router = &mut fleet.routers[0];
    router.signal(nix::sys::signal::Signal::SIGKILL).unwrap();
    router.ended().await.unwrap();
    router.change_settings(|settings| settings["limits"]["file_descriptors"] = json!(64)).unwrap();
    router.spawn().unwrap();
    router.ready().await.unwrap();
}

/// Guards against callers whose connections leave no descriptor to reach an upstream.
#[tokio::test]
async fn callers_leave_descriptors_for_upstreams() {
    let mut fleet = fleet(1).await;
    with_few_descriptors(&mut fleet).await;
    for service in &fleet.services {
        service.set_behaviour(|_| Script::of(vec![Step::Silence]));
    }
    let router = &fleet.routers[0];
    let mut open = Vec::new();
    for number in 0..48 {
        let mut connection = Connection::open(router.callers()).await.unwrap();
        connection.send(&request("POST", "/write/a", &format!("c{number}"))).await.unwrap();
        open.push(connection);
    }
    router.logged("request_placed", 48).await.unwrap();
    // The event is logged before the request reaches a service. A request that arrives after the
    // change of behaviour would be answered and its connection closed.
    let received = || fleet.services.iter().map(|service| service.seen().len()).sum::<usize>();
    teaselworks_standin::fleet::until("48 requests reached services", async || received() == 48)
        .await
        .unwrap();
    for service in &fleet.services {
        service.set_behaviour(|seen| Script::whole(seen, 200, "a verse"));
    }
    let mut late = Connection::open(router.callers()).await.unwrap();
    late.send(&request("GET", "/read/a", "late")).await.unwrap();
    let waiting = tokio::time::timeout(Duration::from_millis(300), late.reply()).await;
    assert!(waiting.is_err(), "{waiting:?}");
    drop(open.pop());
    assert_eq!(late.reply().await.unwrap().unwrap().status(), 200);
}

/// Guards against requests that are read after their callers have left, since idle connections of
/// others hold every descriptor.
#[tokio::test]
async fn idle_callers_make_room_for_others() {
    let mut fleet = fleet(1).await;
    with_few_descriptors(&mut fleet).await;
    let router = &fleet.routers[0];
    let mut open = Vec::new();
    for number in 0..100 {
        let mut connection = Connection::open(router.callers()).await.unwrap();
        let sent = request("GET", "/read/a", &format!("c{number}"));
        let reply = connection.call(&sent).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200);
        assert_eq!(reply.head.header("connection").is_some(), number >= 24, "{number}");
        open.push(connection);
    }
}

/// Guards against requests that are lost where they arrive together, or in parts, on one connection.
#[tokio::test]
async fn requests_that_arrive_together_or_in_parts_are_all_answered() {
    let fleet = fleet(1).await;
    let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
    let bytes: Vec<u8> =
        ["1", "2", "3"].iter().flat_map(|id| request("GET", "/read/a", id).bytes()).collect();
    let in_third = bytes.len() - 20;
    connection.write(&bytes[..in_third]).await.unwrap();
    for id in ["1", "2"] {
        let reply = connection.reply().await.unwrap().unwrap();
        assert_eq!((reply.status(), reply.head.header("x-request-id")), (200, Some(id)));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    connection.write(&bytes[in_third..]).await.unwrap();
    let reply = connection.reply().await.unwrap().unwrap();
    assert_eq!((reply.status(), reply.head.header("x-request-id")), (200, Some("3")));
}

/// Guards against the rest of a body, of a request that was refused before it was read, taken for the
/// next request.
#[tokio::test]
async fn the_rest_of_a_refused_body_is_no_request() {
    let fleet = fleet(1).await;
    let smuggled = request("POST", "/write/a", "smuggled").bytes();
    let head = format!(
        "POST /write/a HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: refused\r\n\
         content-length: {}\r\n\r\n",
        smuggled.len()
    );
    let mut connection = Connection::open(fleet.routers[0].callers()).await.unwrap();
    connection.write(head.as_bytes()).await.unwrap();
    assert_eq!(connection.reply().await.unwrap().unwrap().status(), 401);
    // The router may have closed the connection.
    let _ = connection.write(&smuggled).await;
    let _ = connection.reply().await;
    assert_eq!(fleet.services.iter().map(|service| service.runs("smuggled")).sum::<usize>(), 0);
}
