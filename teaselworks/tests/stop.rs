//! Tests of planned stops, restarts, reloads of the settings, and the metrics page.

mod common;

use std::time::Duration;

use common::{chat, fleet, request};
use nix::sys::signal::Signal;
use serde_json::json;
use teaselworks_standin::caller::{Call, Connection, call};
use teaselworks_standin::configuration::{API_KEY, HOST};
use teaselworks_standin::fleet::wait_until;
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::upstream::Script;

/// Returns a request with a deadline shorter than the grace period of a planned stop.
fn short_request(id: &str) -> Call {
    Call::new("GET", HOST, "/read/a", id).with_api_key(API_KEY).with_header("X-Deadline-Ms", "1500")
}

/// Guards against a planned stop that cuts a stream in progress, closes a connection without an
/// answer to its request, or accepts a request that it cannot finish.
#[tokio::test]
async fn a_planned_stop_finishes_requests_in_progress() {
    let mut fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..41, Duration::from_millis(100), true));
    }
    let address = fleet.routers[0].callers_address();
    let mut streaming = Connection::open(address).await.unwrap();
    streaming.send(&chat("/chat/a", "a1", 1)).await.unwrap();
    assert!(streaming.read_head().await.unwrap().is_some());
    let mut idle = Connection::open(address).await.unwrap();
    assert_eq!(idle.call(&request("GET", "/read/a", "1")).await.unwrap().unwrap().status(), 200);

    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    fleet.routers[0].wait_for_events("stop_requested", 1).await.unwrap();
    assert!(!fleet.routers[0].is_ready().await);
    let reply = idle.call(&request("GET", "/read/a", "2")).await.unwrap().unwrap();
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.head.header("connection"), Some("close"));
    assert_eq!(call(address, &request("GET", "/read/a", "3")).await.unwrap().status(), 200);
    wait_until("the router is unregistered", async || fleet.store.keys("routers/").is_empty())
        .await
        .unwrap();

    fleet.routers[0].wait_for_events("finishing", 1).await.unwrap();
    let short = call(address, &short_request("4")).await.unwrap();
    assert_eq!((short.status(), short.head.header("connection")), (200, Some("close")));
    let refused = call(address, &chat("/chat/a", "a2", 2)).await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.head.header("retry-after").is_some_and(|after| after != "0.000"));
    assert_eq!(fleet.engines.iter().map(|engine| engine.run_count("a2")).sum::<usize>(), 0);
    let mut answered = fleet.routers[0].wait_for_events("request_answered", 5).await.unwrap();
    let stream = answered.pop().unwrap();
    assert_eq!((stream["request"].as_str(), stream["status"].as_u64()), (Some("a1"), Some(200)));
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
}

/// Guards against requests that every router refuses when all routers stop at the same time: each
/// must accept requests that it can finish within its grace period.
#[tokio::test]
async fn callers_are_served_while_every_router_stops() {
    let mut fleet = fleet(2).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..46, Duration::from_millis(100), true));
    }
    let addresses: Vec<_> = fleet.routers.iter().map(|router| router.callers_address()).collect();
    let mut streams = Vec::new();
    for (number, address) in addresses.iter().copied().enumerate() {
        let sent = chat("/chat/a", &format!("s{number}"), 1);
        streams.push(tokio::spawn(async move { call(address, &sent).await }));
        call(address, &request("GET", "/read/a", &format!("before{number}"))).await.unwrap();
    }
    for router in &fleet.routers {
        router.signal(Signal::SIGTERM).unwrap();
    }
    for router in &fleet.routers {
        router.wait_for_events("finishing", 1).await.unwrap();
    }
    for turn in 0..20 {
        let address = addresses[turn % addresses.len()];
        let reply = call(address, &short_request(&format!("r{turn}"))).await.unwrap();
        assert_eq!(reply.status(), 200, "{turn}");
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    for stream in streams {
        assert_eq!(stream.await.unwrap().unwrap().events().len(), 45);
    }
    for router in &mut fleet.routers {
        assert!(router.wait_for_exit().await.unwrap().success());
        assert_eq!(router.wait_for_events("router_stopped", 1).await.unwrap()[0]["cut"], 0);
    }
}

/// Guards against a planned stop that lasts the whole grace period, after which the platform kills
/// the process, though no request is in progress.
#[tokio::test]
async fn an_idle_router_stops_before_its_grace_period_ends() {
    let mut fleet = fleet(1).await;
    fleet.routers[0].signal(Signal::SIGTERM).unwrap();
    assert!(fleet.routers[0].wait_for_exit().await.unwrap().success());
    let stopped = fleet.routers[0].wait_for_events("router_stopped", 1).await.unwrap();
    assert_eq!(stopped[0]["cut"], 0);
}

/// Guards against a router that cannot serve requests when it is started again after it was killed
/// without a planned stop.
#[tokio::test]
async fn a_killed_router_serves_again_after_a_restart() {
    let mut fleet = fleet(1).await;
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    fleet.routers[0].spawn().unwrap();
    fleet.routers[0].wait_until_ready().await.unwrap();
    let reply =
        call(fleet.routers[0].callers_address(), &request("GET", "/read/a", "1")).await.unwrap();
    assert_eq!(reply.status(), 200);
}

/// Guards against requests that are refused because they reach a router between the opening of its
/// port and its first configuration; the proxy delays the answer of the store.
#[tokio::test]
async fn a_request_during_the_start_waits_for_the_first_configuration() {
    let mut fleet = fleet(1).await;
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    let proxy = Proxy::start(fleet.store.address()).unwrap();
    proxy.set_frozen(true);
    let platform = json!(proxy.address());
    fleet.routers[0]
        .change_settings(|settings| settings["platform"]["address"] = platform)
        .unwrap();
    fleet.routers[0].spawn().unwrap();
    let address = fleet.routers[0].callers_address();
    let mut opened = None;
    wait_until("the port is open", async || {
        opened = Connection::open(address).await.ok();
        opened.is_some()
    })
    .await
    .unwrap();
    let mut connection = opened.unwrap();
    connection.send(&request("GET", "/read/a", "1")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    proxy.set_frozen(false);
    assert_eq!(connection.read_reply().await.unwrap().unwrap().status(), 200);
}

/// Guards against settings that are not reloaded on SIGHUP or on a change of the file, and against
/// invalid settings that replace the ones in force.
#[tokio::test]
async fn settings_are_reloaded_on_sighup_and_on_file_changes() {
    let mut fleet = fleet(1).await;
    fleet.routers[0].signal(Signal::SIGHUP).unwrap();
    let reloaded = fleet.routers[0].wait_for_events("settings_reloaded", 1).await.unwrap();
    assert_eq!(reloaded[0]["changed"], "false");
    fleet.routers[0]
        .change_settings(|settings| settings["bounds"]["retry_ratio"] = json!(-1))
        .unwrap();
    let refused = fleet.routers[0].wait_for_events("settings_refused", 1).await.unwrap();
    assert!(refused[0]["faults"].as_str().unwrap().contains("bounds.retry_ratio"));
    fleet.routers[0]
        .change_settings(|settings| settings["bounds"]["retry_ratio"] = json!(0.1))
        .unwrap();
    let reloaded = fleet.routers[0].wait_for_events("settings_reloaded", 2).await.unwrap();
    assert_eq!(reloaded[1]["changed"], "true");
    let reply =
        call(fleet.routers[0].callers_address(), &request("GET", "/read/a", "1")).await.unwrap();
    assert_eq!(reply.status(), 200);
}

/// Guards against counters that are missing from the metrics page until their first event: they
/// must be listed with zero.
#[tokio::test]
async fn the_metrics_page_lists_every_reason() {
    let fleet = fleet(1).await;
    call(fleet.routers[0].callers_address(), &request("GET", "/nowhere/", "1")).await.unwrap();
    call(fleet.routers[0].callers_address(), &request("GET", "/read/a", "2")).await.unwrap();
    let page = fleet.routers[0].metrics().await.unwrap();
    let page = page.replace(",otel_scope_name=\"teaselworks\"", "");
    let page = page.replace("{otel_scope_name=\"teaselworks\"}", "");
    for line in [
        "teaselworks_refusals_total{reason=\"unknown_route\",verdict=\"not_run\"} 1",
        "teaselworks_refusals_total{reason=\"overloaded\",verdict=\"not_run\"} 0",
        "teaselworks_retries_total{reason=\"resumed\"} 0",
        "teaselworks_answers_total{kind=\"idempotent\"} 1",
        "teaselworks_log_lines_dropped_total 0",
    ] {
        assert!(page.lines().any(|listed| listed == line), "{line} is missing from\n{page}");
    }
    assert!(page.contains("teaselworks_first_byte_ms_bucket"));
}
