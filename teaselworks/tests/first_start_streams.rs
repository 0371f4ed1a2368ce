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
