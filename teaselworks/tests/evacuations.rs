//! Zones that the operator evacuates: their replicas get no new requests until the zone is taken
//! back.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::{chat, fleet, program, request};
use nix::sys::signal::Signal;
use serde_json::json;
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, upstream_entry};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::router::Router;
use teaselworks_standin::store::Mode;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Upstream};

/// Requests that are sent to find out which replicas get any.
const REQUESTS: usize = 12;

/// Writes the entry of a replica in a zone to the store.
fn put_in_zone(fleet: &Fleet, upstream: &Upstream, service: &str, zone: &str) {
    let mut entry = upstream_entry(upstream, upstream.address(), service, "ready");
    entry["zone"] = json!(zone);
    fleet.store.put_json(&format!("servers/{}", upstream.id), &entry);
}

/// Moves the second replica of each service to zone `b`, and waits until all routers know it.
async fn spread_over_zones(fleet: &Fleet) {
    put_in_zone(fleet, &fleet.engines[1], CHAT_SERVICE, "b");
    put_in_zone(fleet, &fleet.archives[1], ARCHIVE_SERVICE, "b");
    for router in &fleet.routers {
        router.wait_for_events("upstream_serving", 6).await.unwrap();
    }
}

fn evacuate(fleet: &Fleet, zone: &str) {
    fleet.store.put_json(&format!("op/evacuate/{zone}"), &json!({}));
}

fn take_back(fleet: &Fleet, zone: &str) {
    fleet.store.remove(&format!("op/evacuate/{zone}"));
}

/// Sends lookups and chats to a router, all of which have to be answered, and returns how many of
/// them reached each of the replicas.
async fn count_arrivals(router: &Router, replicas: &[&Upstream]) -> Vec<usize> {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
    let received = || replicas.iter().map(|replica| replica.received_requests().len());
    let before: Vec<usize> = received().collect();
    for _ in 0..REQUESTS {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        // The last part of a prompt is named by a hexadecimal number.
        let id = format!("{number:x}");
        let sent = [request("GET", "/read/a", &id), chat("/chat/a", &id, 1_000 + number)];
        for sent in sent {
            assert_eq!(call(router.callers_address(), &sent).await.unwrap().status(), 200);
        }
    }
    received().zip(before).map(|(after, before)| after - before).collect()
}

/// Returns the number of evacuated zones that a router counts in its metrics.
async fn evacuated_zones(router: &Router) -> String {
    let metrics = router.metrics().await.unwrap();
    let is_gauge = |line: &&str| line.starts_with("teaselworks_evacuated_zones");
    let line = metrics.lines().find(is_gauge).unwrap();
    line.rsplit(' ').next().unwrap_or_default().to_owned()
}

/// Guards against requests to replicas of an evacuated zone, and against replicas that get none any
/// more after the zone was taken back.
#[tokio::test]
async fn replicas_of_an_evacuated_zone_get_no_new_requests() {
    let fleet = fleet(2).await;
    spread_over_zones(&fleet).await;
    let in_b = [&fleet.engines[1], &fleet.archives[1]];
    evacuate(&fleet, "b");
    for router in &fleet.routers {
        router.wait_for_events("zone_evacuated", 1).await.unwrap();
        assert_eq!(count_arrivals(router, &in_b).await, [0, 0]);
        assert_eq!(evacuated_zones(router).await, "1");
    }
    take_back(&fleet, "b");
    for router in &fleet.routers {
        router.wait_for_events("zone_returned", 1).await.unwrap();
        assert!(count_arrivals(router, &in_b).await[0] > 0);
        assert_eq!(evacuated_zones(router).await, "0");
    }
}

/// Guards against streams that are cut because the zone of their replica is evacuated, and against
/// one that is resumed in an evacuated zone.
#[tokio::test]
async fn streams_end_normally_in_an_evacuated_zone_and_are_not_resumed_there() {
    let fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    let address = fleet.routers[0].callers_address();
    let gap = Duration::from_millis(100);
    fleet.engines[0].set_behaviour(move |req| Script::stream(req, 1..10, gap, false));
    fleet.engines[1].set_behaviour(move |req| Script::stream(req, 1..10, gap, true));
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let sent = chat("/gloss/a", &format!("s{number}"), number);
            tokio::spawn(async move { call(address, &sent).await })
        })
        .collect();
    let received = |engine: &Upstream| engine.received_requests().len();
    wait_until("all streams have begun", async || {
        received(&fleet.engines[0]) + received(&fleet.engines[1]) == 8
    })
    .await
    .unwrap();
    let begun = received(&fleet.engines[1]);
    evacuate(&fleet, "b");
    fleet.routers[0].wait_for_events("zone_evacuated", 1).await.unwrap();
    let mut complete = 0;
    for stream in streams {
        complete += usize::from(stream.await.unwrap().is_ok_and(|reply| reply.body.is_whole));
    }
    assert!(begun > 0, "some streams run in the evacuated zone");
    assert_eq!(complete, begun, "streams of the other zone break off and have no other engine");
    assert_eq!(received(&fleet.engines[1]), begun);
}

/// Guards against a router that goes on sending requests into an evacuated zone because the store
/// does not answer it.
#[tokio::test]
async fn a_router_cut_off_from_the_store_learns_of_an_evacuation_from_another_one() {
    let fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    let proxy = Proxy::start(fleet.store.address()).unwrap();
    let seeds = [fleet.routers[0].peers_address()];
    let router = Router::start(program(), "apart", proxy.address(), &seeds, &json!({})).unwrap();
    router.wait_until_ready().await.unwrap();
    proxy.set_frozen(true);
    proxy.cut();
    router.wait_for_events("store_lost", 1).await.unwrap();
    evacuate(&fleet, "b");
    router.wait_for_events("zone_evacuated", 1).await.unwrap();
    let in_b = [&fleet.engines[1], &fleet.archives[1]];
    assert_eq!(count_arrivals(&router, &in_b).await, [0, 0]);
    take_back(&fleet, "b");
    router.wait_for_events("zone_returned", 1).await.unwrap();
}

/// Guards against a router that forwards requests into an evacuated zone, because it reaches no
/// replica itself.
#[tokio::test]
async fn forwarded_requests_do_not_reach_an_evacuated_zone() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    spread_over_zones(&fleet).await;
    fleet.links[0].partition(Partition::Resetting);
    evacuate(&fleet, "b");
    for router in &fleet.routers {
        router.wait_for_events("zone_evacuated", 1).await.unwrap();
    }
    let address = fleet.routers[0].callers_address();
    let before = fleet.archives[1].received_requests().len();
    wait_until("requests are forwarded", async || {
        let reply = call(address, &request("GET", "/read/a", "first")).await.unwrap();
        reply.status() == 200
    })
    .await
    .unwrap();
    for number in 0..REQUESTS {
        let sent = request("GET", "/read/a", &format!("f{number}"));
        assert_eq!(call(address, &sent).await.unwrap().status(), 200);
    }
    assert_eq!(fleet.archives[1].received_requests().len(), before);
}

/// Guards against callers that wait, or whose requests run, when all zones of a service are
/// evacuated.
#[tokio::test]
async fn requests_are_refused_at_once_when_every_zone_of_a_service_is_evacuated() {
    let fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    evacuate(&fleet, "a");
    evacuate(&fleet, "b");
    let router = &fleet.routers[0];
    router.wait_for_events("zone_evacuated", 2).await.unwrap();
    for (sent, id) in [(request("GET", "/read/a", "r"), "r"), (chat("/chat/a", "c", 7), "c")] {
        let reply = call(router.callers_address(), &sent).await.unwrap();
        assert_eq!(reply.status(), 503);
        assert!(reply.head.header("retry-after").is_some());
        let upstreams = fleet.engines.iter().chain(&fleet.archives);
        assert_eq!(upstreams.map(|upstream| upstream.run_count(id)).sum::<usize>(), 0);
    }
    let refused = router.wait_for_events("request_refused", 2).await.unwrap();
    assert!(refused.iter().all(|event| event["reason"] == "evacuated"), "{refused:?}");
    take_back(&fleet, "a");
    router.wait_for_events("zone_returned", 1).await.unwrap();
    let in_b = [&fleet.engines[1], &fleet.archives[1]];
    assert_eq!(count_arrivals(router, &in_b).await, [0, 0]);
}

/// Guards against a replica that gets requests because it was added to a zone while that was
/// evacuated, as in a release.
#[tokio::test]
async fn a_replica_that_is_added_to_an_evacuated_zone_gets_no_requests() {
    let fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    evacuate(&fleet, "b");
    fleet.routers[0].wait_for_events("zone_evacuated", 1).await.unwrap();
    let gap = Duration::from_millis(1);
    let answer = move |req: &ReceivedRequest| Script::stream(req, 1..6, gap, true);
    let added = Upstream::start("engine-3", answer).unwrap();
    put_in_zone(&fleet, &added, CHAT_SERVICE, "b");
    fleet.put_entry(&fleet.engines[1], CHAT_SERVICE, "draining");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    assert_eq!(count_arrivals(&fleet.routers[0], &[&added]).await, [0]);
    take_back(&fleet, "b");
    fleet.routers[0].wait_for_events("zone_returned", 1).await.unwrap();
    assert!(count_arrivals(&fleet.routers[0], &[&added]).await[0] > 0);
}

/// Guards against a router that knows of no evacuation that began before its process started.
#[tokio::test]
async fn an_evacuation_is_in_force_at_a_router_that_restarts() {
    let mut fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    evacuate(&fleet, "b");
    fleet.routers[0].wait_for_events("zone_evacuated", 1).await.unwrap();
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    fleet.routers[0].spawn().unwrap();
    fleet.routers[0].wait_until_ready().await.unwrap();
    let in_b = [&fleet.engines[1], &fleet.archives[1]];
    assert_eq!(count_arrivals(&fleet.routers[0], &in_b).await, [0, 0]);
}

/// Guards against an evacuation that lasts for ever, because the store compacted the change that
/// ended it before the router could read it.
#[tokio::test]
async fn an_evacuation_whose_end_was_compacted_ends() {
    let fleet = fleet(1).await;
    spread_over_zones(&fleet).await;
    evacuate(&fleet, "b");
    fleet.routers[0].wait_for_events("zone_evacuated", 1).await.unwrap();
    fleet.store.set_mode(Mode::Unavailable);
    fleet.routers[0].wait_for_events("store_lost", 1).await.unwrap();
    take_back(&fleet, "b");
    evacuate(&fleet, "c");
    fleet.store.compact();
    fleet.store.set_mode(Mode::Serving);
    let returned = fleet.routers[0].wait_for_events("zone_returned", 1).await.unwrap();
    assert_eq!(returned[0]["zone"], "b");
    fleet.routers[0].wait_for_events("zone_evacuated", 2).await.unwrap();
    assert!(count_arrivals(&fleet.routers[0], &[&fleet.engines[1]]).await[0] > 0);
}
