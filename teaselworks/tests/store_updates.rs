//! How configurations and lists of upstreams reach routers, also while the store fails.

mod common;

use std::time::Duration;

use common::{chat, fleet, program, request};
use serde_json::json;
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::router::Router;
use teaselworks_standin::store::{Mode, Store};
use teaselworks_standin::upstream::{Script, Upstream};

/// Sends a request and returns the status of the response.
async fn status(router: &Router, target: &str, id: &str) -> u16 {
    call(router.callers_address(), &request("GET", target, id)).await.unwrap().status()
}

/// Waits until requests for the target get the expected status.
async fn wait_for_status(router: &Router, target: &str, expected: u16) {
    let what = format!("{target} is answered {expected}");
    wait_until(&what, async || status(router, target, "look").await == expected).await.unwrap();
}

/// Publishes the next version of the configuration, with a route `/new/`.
fn publish_new_route(fleet: &mut Fleet) {
    fleet.configuration.next_version();
    fleet.configuration.add_route("/new/", "safe", ARCHIVE_SERVICE, 2);
    fleet.publish_configuration();
}

/// Guards against a router that misses a new route or a revoked API key when the operator writes a
/// new configuration.
#[tokio::test]
async fn a_new_configuration_is_in_force_at_every_router() {
    let mut fleet = fleet(2).await;
    for router in &fleet.routers {
        assert_eq!(status(router, "/new/a", "before").await, 404);
    }
    publish_new_route(&mut fleet);
    for router in &fleet.routers {
        wait_for_status(router, "/new/a", 200).await;
    }
    fleet.configuration.next_version();
    fleet.configuration.value["tenants"][0]["api_keys"] = json!(["another"]);
    fleet.publish_configuration();
    for router in &fleet.routers {
        wait_for_status(router, "/read/a", 401).await;
    }
}

/// Guards against an older version of the configuration that replaces a newer one when it is
/// written to the store later.
#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let mut fleet = fleet(1).await;
    publish_new_route(&mut fleet);
    wait_for_status(&fleet.routers[0], "/new/a", 200).await;
    let older = TestConfiguration::default();
    fleet.store.put_json("op/config", &older.value);
    fleet.routers[0].wait_for_events("configuration_stale", 1).await.unwrap();
    assert_eq!(status(&fleet.routers[0], "/new/a", "after").await, 200);
}

/// Guards against the loss of the known configuration or replicas when values that cannot be
/// decoded are written over theirs.
#[tokio::test]
async fn undecodable_values_leave_the_known_state_in_force() {
    let fleet = fleet(1).await;
    fleet.store.put("op/config", b"{ \"version\": 9, \"routes\": [ { \"name\": 7 } ] }");
    fleet.store.put("servers/service-1", b"\xff\xfe no json");
    fleet.store.put("servers/strange", b"{}");
    let unreadable = fleet.routers[0].wait_for_events("value_unreadable", 3).await.unwrap();
    assert!(unreadable[0]["cause"].as_str().unwrap().contains("routes[0].name"));
    assert_eq!(status(&fleet.routers[0], "/read/a", "after").await, 200);
}

/// Guards against requests to a replica whose entry another writer has overwritten with an invalid
/// one, and against the loss of the other replicas. One router gets the entry by a watch, one by a
/// snapshot and one from another router.
#[tokio::test]
async fn a_replica_with_an_overwritten_entry_is_not_used() {
    let mut fleet = fleet(1).await;
    let good = |fleet: &Fleet| {
        let service = &fleet.services[0];
        teaselworks_standin::configuration::upstream_entry(
            service,
            service.address(),
            ARCHIVE_SERVICE,
            "ready",
        )
    };
    let mut bad = good(&fleet);
    bad["state"] = json!("resting");
    fleet.store.put_json("servers/service-1", &bad);
    fleet.routers[0].wait_for_events("upstream_suspended", 1).await.unwrap();

    let store = fleet.store.address();
    let reader = Router::start(program(), "reader", store, &[], &json!({})).unwrap();
    let proxy = Proxy::start(store).unwrap();
    proxy.set_frozen(true);
    let seeds = [fleet.routers[0].peers_address()];
    let cut_off_router =
        Router::start(program(), "asker", proxy.address(), &seeds, &json!({})).unwrap();
    fleet.routers.extend([reader, cut_off_router]);
    for (number, router) in fleet.routers.iter().enumerate() {
        router.wait_until_ready().await.unwrap();
        for turn in 0..6 {
            assert_eq!(status(router, "/read/a", &format!("{number}-{turn}")).await, 200);
        }
    }
    assert!(fleet.services[0].received_requests().is_empty());

    fleet.store.put_json("servers/service-1", &good(&fleet));
    fleet.list(&fleet.services[1], ARCHIVE_SERVICE, "draining");
    wait_for_status(&fleet.routers[0], "/read/a", 200).await;
    wait_until("the replica is used again", async || {
        status(&fleet.routers[0], "/read/a", "again").await;
        !fleet.services[0].received_requests().is_empty()
    })
    .await
    .unwrap();
}

/// Guards against requests in progress that are cut off when another writer overwrites the entry of
/// their replica.
#[tokio::test]
async fn requests_in_progress_at_a_replica_with_an_overwritten_entry_finish() {
    let fleet = fleet(1).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..21, Duration::from_millis(50), true));
    }
    let address = fleet.routers[0].callers_address();
    let streaming = tokio::spawn(async move { call(address, &chat("/chat/a", "s", 1)).await });
    fleet.routers[0].wait_for_events("request_placed", 1).await.unwrap();
    for engine in &fleet.engines {
        fleet.store.put(&format!("servers/{}", engine.id), b"[]");
    }
    fleet.routers[0].wait_for_events("upstream_suspended", 2).await.unwrap();
    let refused = call(address, &chat("/chat/a", "r", 2)).await.unwrap();
    assert_eq!((refused.status(), fleet.engines[0].run_count("r")), (503, 0));
    let reply = streaming.await.unwrap().unwrap();
    assert_eq!((reply.status(), reply.events().len()), (200, 20));
}

/// Guards against a value that is not base64 text and makes the router refuse the whole response of
/// the store, with all other changes in it.
#[tokio::test]
async fn a_value_that_is_not_base64_does_not_hide_other_changes() {
    let mut fleet = fleet(1).await;
    fleet.store.put_raw("servers/service-1", json!("*** no base64"));
    fleet.store.put_raw("servers/other", json!({ "a": [1] }));
    publish_new_route(&mut fleet);
    wait_for_status(&fleet.routers[0], "/new/a", 200).await;
    let store = fleet.store.address();
    let reader = Router::start(program(), "reader", store, &[], &json!({})).unwrap();
    reader.wait_until_ready().await.unwrap();
    wait_for_status(&reader, "/new/a", 200).await;
}

/// Guards against requests that fail while the store refuses calls or does not respond, and against
/// changes that are missed afterwards.
#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    let mut fleet = fleet(1).await;
    for mode in [Mode::Unavailable, Mode::Silent] {
        fleet.store.set_mode(mode);
        let lost = fleet.routers[0].events("store_lost").len();
        fleet.routers[0].wait_for_events("store_lost", lost + 1).await.unwrap();
        assert_eq!(status(&fleet.routers[0], "/read/a", "away").await, 200);
        assert!(fleet.routers[0].is_ready().await);
        let regained = fleet.routers[0].events("store_regained").len();
        fleet.store.set_mode(Mode::Serving);
        fleet.routers[0].wait_for_events("store_regained", regained + 1).await.unwrap();
    }
    publish_new_route(&mut fleet);
    wait_for_status(&fleet.routers[0], "/new/a", 200).await;
}

/// Starts another router that reaches the store through the returned proxy, and cuts it off there.
async fn start_cut_off_router(fleet: &Fleet) -> (Proxy, Router) {
    let proxy = Proxy::start(fleet.store.address()).unwrap();
    let seeds = [fleet.routers[0].peers_address()];
    let router = Router::start(program(), "apart", proxy.address(), &seeds, &json!({})).unwrap();
    router.wait_until_ready().await.unwrap();
    proxy.set_frozen(true);
    proxy.cut();
    router.wait_for_events("store_lost", 1).await.unwrap();
    (proxy, router)
}

/// Guards against a revoked API key that stays valid at a router which alone is cut off from the
/// store.
#[tokio::test]
async fn a_router_cut_off_from_the_store_gets_updates_from_another_router() {
    let mut fleet = fleet(2).await;
    let (_proxy, router) = start_cut_off_router(&fleet).await;
    fleet.configuration.next_version();
    fleet.configuration.value["tenants"][0]["api_keys"] = json!(["another"]);
    fleet.publish_configuration();
    wait_for_status(&router, "/read/a", 401).await;
    assert!(!router.wait_for_events("peer_answered", 1).await.unwrap().is_empty());
}

/// Guards against a router that cannot serve because the store does not answer it when it starts,
/// although a router among its seeds knows the configuration.
#[tokio::test]
async fn a_router_that_starts_without_the_store_gets_the_state_from_a_seed() {
    let fleet = fleet(1).await;
    let proxy = Proxy::start(fleet.store.address()).unwrap();
    proxy.set_frozen(true);
    let seeds = [fleet.routers[0].peers_address()];
    let router = Router::start(program(), "apart", proxy.address(), &seeds, &json!({})).unwrap();
    router.wait_until_ready().await.unwrap();
    assert_eq!(status(&router, "/read/a", "1").await, 200);
}

/// Guards against a router that reports ready, or lets requests wait, while it has no
/// configuration.
#[tokio::test]
async fn a_router_without_a_configuration_is_not_ready_and_refuses_requests() {
    let store = teaselworks_standin::store::Store::start().unwrap();
    let router = Router::start(program(), "alone", store.address(), &[], &json!({})).unwrap();
    wait_until("the router listens", async || {
        let reply = call(router.callers_address(), &request("GET", "/read/a", "1")).await;
        reply.is_ok_and(|reply| reply.status() == 503 && reply.head.header("retry-after").is_some())
    })
    .await
    .unwrap();
    assert!(!router.is_ready().await);
}

/// Guards against changes that a router never sees because the store compacted its history while
/// the router could not read it.
#[tokio::test]
async fn changes_in_compacted_history_are_read_again() {
    let mut fleet = fleet(1).await;
    fleet.store.set_mode(Mode::Unavailable);
    fleet.routers[0].wait_for_events("store_lost", 1).await.unwrap();
    publish_new_route(&mut fleet);
    fleet.list(&fleet.services[0], ARCHIVE_SERVICE, "draining");
    fleet.unlist("service-2");
    fleet.store.compact();
    fleet.store.set_mode(Mode::Serving);
    fleet.routers[0].wait_for_events("history_lost", 1).await.unwrap();
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    fleet.routers[0].wait_for_events("upstream_gone", 1).await.unwrap();
    wait_for_status(&fleet.routers[0], "/new/a", 503).await;
}

/// Guards against new requests to a replica that announced in its entry that it is about to stop.
#[tokio::test]
async fn a_draining_replica_gets_no_new_requests() {
    let fleet = fleet(1).await;
    fleet.list(&fleet.services[0], ARCHIVE_SERVICE, "draining");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    for turn in 0..10 {
        assert_eq!(status(&fleet.routers[0], "/read/a", &format!("d{turn}")).await, 200);
    }
    assert!(fleet.services[0].received_requests().is_empty());
}

/// Guards against a replica that gets no requests because it registered after the routers started.
#[tokio::test]
async fn an_added_replica_is_used() {
    let fleet = fleet(1).await;
    for service in &fleet.services {
        fleet.list(service, ARCHIVE_SERVICE, "draining");
    }
    fleet.routers[0].wait_for_events("upstream_draining", 2).await.unwrap();
    let added = Upstream::start("service-3", |req| Script::response(req, 200, "new")).unwrap();
    fleet.list(&added, ARCHIVE_SERVICE, "ready");
    wait_for_status(&fleet.routers[0], "/read/a", 200).await;
    assert!(!added.received_requests().is_empty());
}

/// Guards against a router that has no replicas for seconds after an outage of the store, because
/// their entries expired in it.
#[tokio::test]
async fn replicas_whose_entries_expired_in_an_outage_are_used_until_they_return() {
    let fleet = fleet(1).await;
    fleet.store.set_mode(Mode::Unavailable);
    fleet.routers[0].wait_for_events("store_lost", 1).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    for service in &fleet.services {
        fleet.unlist(&service.id);
    }
    fleet.store.set_mode(Mode::Serving);
    fleet.routers[0].wait_for_events("upstream_missing", 2).await.unwrap();
    assert_eq!(status(&fleet.routers[0], "/read/a", "missing").await, 200);
    fleet.list(&fleet.services[0], ARCHIVE_SERVICE, "ready");
    // The entry of the other replica does not return.
    fleet.routers[0].wait_for_events("upstream_gone", 1).await.unwrap();
    assert_eq!(status(&fleet.routers[0], "/read/a", "after").await, 200);
}

/// Guards against requests to a removed replica by a router that takes its own cut from the store
/// for an outage in which entries of live replicas expired.
#[tokio::test]
async fn an_outage_of_one_router_gives_no_reregistration_period_to_removed_entries() {
    let fleet = fleet(1).await;
    let (proxy, router) = start_cut_off_router(&fleet).await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    proxy.cut();
    proxy.set_frozen(false);
    router.wait_for_events("store_regained", 1).await.unwrap();
    fleet.unlist("service-1");
    router.wait_for_events("upstream_gone", 1).await.unwrap();
    assert!(router.events("upstream_missing").is_empty());
}

/// Guards against a router that is missing from the list of routers in the store, so that the
/// others do not count or query it.
#[tokio::test]
async fn every_router_registers_itself() {
    let fleet = fleet(3).await;
    assert_eq!(fleet.store.keys("routers/").len(), 3);
    for router in &fleet.routers {
        assert!(!router.wait_for_events("registered", 1).await.unwrap().is_empty());
    }
}

/// Guards against a configuration that takes longer to transfer over a slow link than one call may
/// last, so that the router requests it again and again and never gets it.
#[tokio::test]
async fn a_large_configuration_reaches_a_router_on_a_slow_link() {
    let store = Store::start().unwrap();
    let link = Proxy::start(store.address()).unwrap();
    let mut configuration = TestConfiguration::default();
    store.put_json("op/config", &configuration.value);
    let router = Router::start(program(), "router-0", link.address(), &[], &json!({})).unwrap();
    router.wait_for_events("configuration_in_force", 1).await.unwrap();
    link.set_faults(|faults| faults.backward.bytes_per_s = Some(150_000));
    for number in 0..2_000 {
        configuration.add_route(&format!("/many/{number}/"), "safe", ARCHIVE_SERVICE, 2);
    }
    configuration.next_version();
    store.put_json("op/config", &configuration.value);
    router.wait_for_events("configuration_in_force", 2).await.unwrap();
}
