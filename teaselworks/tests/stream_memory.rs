//! Callers that resume a stream without naming it, at routers that cannot know where it began: they have
//! just started, the route is split or was moved, or equal requests began differently.

mod common;

use std::time::Duration;

use common::streams::{BREAK_AFTER, begin_stream, breaking_engine, versions};
use common::{chat, fleet_with, program, request, wait_for_record};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::router::Router;
use teaselworks_standin::upstream::{Step, Upstream};

const STREAMS: usize = 16;
/// Bound on the age of what routers know of the store.
const MAX_STALENESS: Duration = Duration::from_millis(400);
/// Time after which a new version begins streams.
const SETTLING: Duration = Duration::from_millis(1_000);

/// Starts a fleet whose engines begin streams at `v1` that break off once. A router may send a stream to
/// one engine.
async fn breaking_fleet(routers: usize, mut configuration: TestConfiguration) -> Fleet {
    configuration.route_mut("/gloss/")["max_attempts"] = json!(1);
    let bounds = json!({ "draining_ms": MAX_STALENESS.as_millis() as u64 });
    let fleet = fleet_with(routers, configuration, &bounds).await;
    for engine in &fleet.engines {
        engine.set_behaviour(breaking_engine("v1", Step::Close));
    }
    wait_for_record(&fleet).await;
    fleet
}

/// Returns the request that the caller of the stream `number` sends again, without naming it.
fn unnamed(stream: &str, number: usize) -> Call {
    let mut again = chat("/gloss/a", stream, number as u64);
    again.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
    again
        .with_header("X-Request-Id", &format!("again-{stream}"))
        .with_header("Last-Event-Id", &BREAK_AFTER.to_string())
}

/// Begins [`STREAMS`] streams, which break off.
async fn begin_streams(router: &Router) -> Vec<Reply> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        begun.push(begin_stream(router, &format!("first{number}"), number).await);
    }
    begun
}

/// Resumes streams at a router. Returns how many went on, all of them where they began.
async fn resume(begun: &[Reply], router: &Router) -> usize {
    let mut went_on = 0;
    for (number, begun) in begun.iter().enumerate() {
        let again = unnamed(&format!("first{number}"), number);
        let reply = call(router.callers_address(), &again).await.unwrap();
        if reply.status() != 200 {
            assert_eq!(reply.status(), 503, "{number}");
            continue;
        }
        assert_eq!(reply.events(), [3, 4, 5, 6], "{number}");
        let joined = [versions(begun), versions(&reply)].concat();
        assert!(joined.iter().all(|version| *version == joined[0]), "{number}: {joined:?}");
        went_on += 1;
    }
    went_on
}

/// Starts an engine of a version and lists it.
fn add_engine(fleet: &mut Fleet, id: &str, service: &str, version: &'static str) {
    let engine = Upstream::start(id, breaking_engine(version, Step::Close)).unwrap();
    engine.set_version(version);
    fleet.put_entry(&engine, service, "ready");
    fleet.engines.push(engine);
}

async fn kill_and_restart(router: &mut Router) {
    router.signal(Signal::SIGKILL).unwrap();
    router.wait_for_exit().await.unwrap();
    router.spawn().unwrap();
    router.wait_until_ready().await.unwrap();
}

/// Guards against a router that takes the versions listed since it started for all that can have begun
/// streams: all routers were killed while the last engines of the earlier version left.
#[tokio::test]
async fn routers_that_start_after_a_release_join_no_versions() {
    let mut fleet = breaking_fleet(2, TestConfiguration::default()).await;
    let begun = begin_streams(&fleet.routers[0]).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    for router in &fleet.routers {
        router.signal(Signal::SIGKILL).unwrap();
    }
    for id in ["engine-1", "engine-2"] {
        fleet.remove_entry(id);
    }
    for router in &mut fleet.routers {
        router.wait_for_exit().await.unwrap();
        router.spawn().unwrap();
        router.wait_until_ready().await.unwrap();
    }
    resume(&begun, &fleet.routers[1]).await;
}

/// Guards against the same at one router while another one knows more.
#[tokio::test]
async fn a_router_that_starts_after_a_release_joins_no_versions() {
    let mut fleet = breaking_fleet(2, TestConfiguration::default()).await;
    let begun = begin_streams(&fleet.routers[0]).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    for id in ["engine-1", "engine-2"] {
        fleet.remove_entry(id);
    }
    fleet.routers[0].wait_for_events("upstream_gone", 2).await.unwrap();
    kill_and_restart(&mut fleet.routers[1]).await;
    resume(&begun, &fleet.routers[1]).await;
}

/// Guards against streams that stop where nothing is to be joined: all routers were killed, and one
/// version serves.
#[tokio::test]
async fn streams_go_on_after_all_routers_were_killed() {
    let mut fleet = breaking_fleet(2, TestConfiguration::default()).await;
    let begun = begin_streams(&fleet.routers[0]).await;
    for router in &mut fleet.routers {
        kill_and_restart(router).await;
    }
    assert_eq!(resume(&begun, &fleet.routers[1]).await, STREAMS);
}

/// Guards against streams that stop although another router knows where they began, since the caller does
/// not name them.
#[tokio::test]
async fn unnamed_streams_go_on_while_two_versions_serve() {
    let mut fleet = breaking_fleet(3, TestConfiguration::default()).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    add_engine(&mut fleet, "engine-4", CHAT_SERVICE, "v2");
    tokio::time::sleep(2 * SETTLING).await;
    let begun = begin_streams(&fleet.routers[0]).await;
    let begun_at =
        |version: &str| begun.iter().filter(|reply| versions(reply)[0] == version).count();
    assert!(begun_at("v1") > 0 && begun_at("v2") > 0);
    kill_and_restart(&mut fleet.routers[1]).await;
    assert_eq!(resume(&begun, &fleet.routers[1]).await, STREAMS);
}

/// Returns a configuration whose resumable route is split between both services.
fn split_configuration() -> TestConfiguration {
    let mut configuration = TestConfiguration::default();
    let split = json!([
        { "service": CHAT_SERVICE, "weight": 50 }, { "service": ARCHIVE_SERVICE, "weight": 50 }
    ]);
    let route = configuration.route_mut("/gloss/");
    route["traffic_split"] = split;
    route.as_object_mut().unwrap().remove("service");
    configuration
}

/// Guards against a stream that goes on at the other service of its route, which the identifier of the
/// caller's second try draws.
#[tokio::test]
async fn a_stream_goes_on_at_the_service_of_a_split_route_that_began_it() {
    let mut fleet = breaking_fleet(3, split_configuration()).await;
    for archive in &fleet.archives {
        archive.set_behaviour(breaking_engine("archive", Step::Close));
    }
    let begun = begin_streams(&fleet.routers[0]).await;
    assert!(begun.iter().any(|reply| versions(reply)[0] == "archive"));
    kill_and_restart(&mut fleet.routers[1]).await;
    assert_eq!(resume(&begun, &fleet.routers[1]).await, STREAMS);
    // No router is left that can tell.
    for router in &mut fleet.routers {
        kill_and_restart(router).await;
    }
    resume(&begun, &fleet.routers[1]).await;
}

/// Guards against a stream that goes on at the service to which its route was moved meanwhile.
#[tokio::test]
async fn a_stream_of_a_route_that_was_moved_does_not_go_on_elsewhere() {
    let mut fleet = breaking_fleet(2, TestConfiguration::default()).await;
    for archive in &fleet.archives {
        archive.set_behaviour(breaking_engine("archive", Step::Close));
    }
    let begun = begin_streams(&fleet.routers[0]).await;
    fleet.configuration.route_mut("/gloss/")["service"] = json!(ARCHIVE_SERVICE);
    fleet.configuration.next_version();
    fleet.publish_configuration();
    for router in &fleet.routers {
        router.wait_for_events("configuration_in_force", 2).await.unwrap();
    }
    assert_eq!(resume(&begun, &fleet.routers[1]).await, 0);
    for router in &mut fleet.routers {
        kill_and_restart(router).await;
    }
    assert_eq!(resume(&begun, &fleet.routers[1]).await, 0);
}

/// Guards against a stream that goes on where an equal request of another caller began one.
#[tokio::test]
async fn a_stream_of_equal_requests_that_began_differently_does_not_go_on() {
    let mut fleet = breaking_fleet(3, TestConfiguration::default()).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    tokio::time::sleep(2 * SETTLING).await;
    let equal = |id: &str| request("POST", "/gloss/a", id).with_body("Which verse is older?");
    let mut begun = std::collections::BTreeSet::new();
    for number in 0..4 * STREAMS {
        let router = &fleet.routers[number % 2];
        let reply = call(router.callers_address(), &equal(&format!("e{number}"))).await.unwrap();
        begun.extend(versions(&reply));
    }
    assert_eq!(Vec::from_iter(begun), ["v1", "v2"]);
    for (number, router) in fleet.routers.iter().enumerate() {
        let again = equal(&format!("again{number}")).with_header("Last-Event-Id", "2");
        let reply = call(router.callers_address(), &again).await.unwrap();
        assert_eq!(reply.status(), 503, "{number}");
    }
    let looked_up = fleet.routers[2].wait_for_events("stream_looked_up", 1).await.unwrap();
    assert_eq!(looked_up[0]["outcome"], Value::from("ambiguous"), "{looked_up:?}");
}

/// Guards against an identifier that two streams have at once: the origin of one is taken for that of the
/// other.
#[tokio::test]
async fn a_stream_whose_identifier_another_one_had_does_not_go_on() {
    let mut fleet = breaking_fleet(2, TestConfiguration::default()).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    tokio::time::sleep(2 * SETTLING).await;
    let mut begun = std::collections::BTreeSet::new();
    for number in 0..4 * STREAMS {
        let sent = chat("/gloss/a", "same", number as u64).with_body(&format!("Verse {number}?"));
        begun.extend(versions(&call(fleet.routers[0].callers_address(), &sent).await.unwrap()));
    }
    assert_eq!(Vec::from_iter(begun), ["v1", "v2"]);
    let again = chat("/gloss/a", "again", 1)
        .with_header("Resumes", "same")
        .with_header("Last-Event-Id", "2");
    let reply = call(fleet.routers[0].callers_address(), &again).await.unwrap();
    assert_eq!(reply.status(), 503);
}

/// Guards against a router that registers late, with nothing known, and takes what is listed for all.
#[tokio::test]
async fn a_router_first_started_late_joins_no_versions() {
    let mut fleet = breaking_fleet(1, TestConfiguration::default()).await;
    let begun = begin_streams(&fleet.routers[0]).await;
    add_engine(&mut fleet, "engine-3", CHAT_SERVICE, "v2");
    for id in ["engine-1", "engine-2"] {
        fleet.remove_entry(id);
    }
    fleet.routers[0].wait_for_events("upstream_gone", 2).await.unwrap();
    let address = fleet.store.address();
    let late = Router::start(program(), "router-late", address, &[], &json!({})).unwrap();
    late.wait_until_ready().await.unwrap();
    resume(&begun, &late).await;
}
