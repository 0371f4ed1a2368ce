//! Equal requests whose streams began at different versions, at routers that know only one of them.

mod common;

use common::streams::{BREAK_AFTER, breaking_engine, versions};
use common::{fleet_with, program, request};
use nix::sys::signal::Signal;
use serde_json::json;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::wait_until;
use teaselworks_standin::upstream::{Step, Upstream};

fn equal(id: &str) -> Call {
    request("POST", "/gloss/a", id).with_body("Which verse is older?")
}

/// Guards against a router that knows only the later one of two equal requests, since it has restarted
/// between them, and resumes the earlier one's stream where the later one began.
#[tokio::test]
async fn a_stream_does_not_go_on_where_an_equal_later_request_began() {
    let _ = program();
    let mut configuration = TestConfiguration::default();
    configuration.route_mut("/gloss/")["max_attempts"] = json!(1);
    let mut fleet = fleet_with(2, configuration, &json!({ "draining_ms": 400 })).await;
    for engine in &fleet.engines {
        engine.set_behaviour(breaking_engine("v1", Step::Close));
    }
    wait_until("the record is written", async || !fleet.store.keys("stream-origins").is_empty())
        .await
        .unwrap();
    let begun = call(fleet.routers[0].callers_address(), &equal("first")).await.unwrap();
    assert_eq!(versions(&begun)[0], "v1");
    let engine = Upstream::start("engine-3", breaking_engine("v2", Step::Close)).unwrap();
    engine.set_version("v2");
    fleet.put_entry(&engine, CHAT_SERVICE, "ready");
    fleet.engines.push(engine);
    for id in ["engine-1", "engine-2"] {
        fleet.remove_entry(id);
    }
    for router in &mut fleet.routers {
        router.signal(Signal::SIGKILL).unwrap();
        router.wait_for_exit().await.unwrap();
        router.spawn().unwrap();
        router.wait_until_ready().await.unwrap();
    }
    let later = call(fleet.routers[0].callers_address(), &equal("later")).await.unwrap();
    assert_eq!(versions(&later)[0], "v2");
    let again = equal("again").with_header("Last-Event-Id", &BREAK_AFTER.to_string());
    let reply = call(fleet.routers[1].callers_address(), &again).await.unwrap();
    assert_eq!(reply.status(), 503, "joined v1 with {:?}", versions(&reply));
}
