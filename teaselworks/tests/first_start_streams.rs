//! Streams that began just after the first start of a fleet.

mod common;

use common::streams::{BREAK_AFTER, begin_stream, breaking_engine, versions};
use common::{chat, fleet_with, program};
use nix::sys::signal::Signal;
use serde_json::json;
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::{CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::upstream::{Step, Upstream};

/// Guards against a router that restarts with the settings of its first start before the record was
/// written, and takes what is listed for all that there was.
#[tokio::test]
async fn a_router_killed_in_its_first_second_joins_no_versions() {
    let _ = program();
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/gloss/")["max_attempts"] = json!(1);
    let mut fleet = fleet_with(1, configuration, &json!({ "draining_ms": 400 })).await;
    for engine in &fleet.engines {
        engine.set_behaviour(breaking_engine("v1", Step::Close));
    }
    let begun = begin_stream(&fleet.routers[0], "first", 0).await;
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    assert!(fleet.store.keys("stream-origins").is_empty(), "too late: the record is written");
    assert_eq!(versions(&begun)[0], "v1");
    let engine = Upstream::start("engine-3", breaking_engine("v2", Step::Close)).unwrap();
    engine.set_version("v2");
    fleet.put_entry(&engine, CHAT_SERVICE, "ready");
    fleet.engines.push(engine);
    for id in ["engine-1", "engine-2"] {
        fleet.remove_entry(id);
    }
    fleet.routers[0].spawn().unwrap();
    fleet.routers[0].wait_until_ready().await.unwrap();
    let again = chat("/gloss/a", "again", 0).with_header("Last-Event-Id", &BREAK_AFTER.to_string());
    let reply = call(fleet.routers[0].callers_address(), &again).await.unwrap();
    assert_eq!(reply.status(), 503, "joined v1 with {:?}", versions(&reply));
}

/// Number of streams that are resumed by their last event alone.
const STREAMS: usize = 12;

/// Guards against streams that stop where one version serves: the routers have started on an empty store
/// without being told so, and the one with the streams is killed and started again.
#[tokio::test]
async fn streams_go_on_after_their_router_was_killed_soon_after_the_first_start() {
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/gloss/")["max_attempts"] = json!(1);
    let mut fleet = fleet_with(2, configuration, &json!({})).await;
    for engine in &fleet.engines {
        engine.set_behaviour(breaking_engine("v1", Step::Close));
    }
    // As if the routers had started on an empty store.
    for router in &mut fleet.routers {
        router.signal(Signal::SIGKILL).unwrap();
        router.wait_for_exit().await.unwrap();
        router
            .change_settings(|settings| settings["router"]["is_first_start"] = json!(false))
            .unwrap();
    }
    for key in fleet.store.keys("routers/").iter().chain(&fleet.store.keys("stream-origins")) {
        fleet.store.remove(key);
    }
    for router in &mut fleet.routers {
        router.spawn().unwrap();
    }
    for router in &fleet.routers {
        router.wait_until_ready().await.unwrap();
    }
    for number in 0..STREAMS {
        begin_stream(&fleet.routers[0], &format!("first{number}"), number).await;
    }
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    fleet.routers[0].spawn().unwrap();
    fleet.routers[0].wait_until_ready().await.unwrap();
    let mut went_on = [0, 0];
    for number in 0..STREAMS {
        let router = number % 2;
        let again = chat("/gloss/a", &format!("again{number}"), number as u64)
            .with_header("Last-Event-Id", &BREAK_AFTER.to_string());
        let reply = call(fleet.routers[router].callers_address(), &again).await.unwrap();
        went_on[router] += usize::from(reply.status() == 200 && reply.body.is_whole);
    }
    assert!(went_on[0] + went_on[1] >= 10, "{went_on:?} of {STREAMS}");
}
