//! Replicas that announce in their entries that they are cold: they bear only a few requests per
//! second from all routers together.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{chat, fleet_with, request};
use futures_util::future::join_all;
use serde_json::json;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{
    ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration, upstream_entry,
};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::upstream::{Script, Upstream};

/// Requests per second that a cold replica bears.
const COLD_PER_S: f64 = 8.0;
/// Largest number of requests that may reach a cold replica within a second: one and a half times
/// what it bears, and four.
const MAX_COLD_REQUESTS: usize = 16;
/// Time for which callers send requests as fast as they are answered.
const LOAD_TIME: Duration = Duration::from_millis(2_500);
const CALLERS: usize = 12;

/// Starts a fleet whose services have cold replicas.
async fn fleet(routers: usize) -> Fleet {
    let mut configuration = TestConfiguration::default();
    for service in configuration.value["services"].as_array_mut().unwrap() {
        service["cold_per_s"] = json!(COLD_PER_S);
    }
    let bounds = json!({ "cold_overshoot": 1.5, "cold_slack": 4 });
    fleet_with(routers, configuration, &bounds).await
}

/// Writes an entry by which a replica is cold for a time.
fn put_cold(fleet: &Fleet, upstream: &Upstream, service: &str, cold_remaining: Duration) {
    let mut entry = upstream_entry(upstream, upstream.address(), service, "ready");
    entry["cold_remaining_ms"] = json!(cold_remaining.as_millis() as u64);
    fleet.store.put_json(&format!("servers/{}", upstream.id), &entry);
}

/// Returns a request with an identifier of its own, which is a hexadecimal number.
fn lookup_or_chat(is_chat: bool) -> Call {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = format!("{number:x}");
    if is_chat { chat("/gloss/a", &id, number) } else { request("GET", "/read/a", &id) }
}

/// Sends requests to all routers for [`LOAD_TIME`]. Returns the statuses of the responses.
async fn load(fleet: &Fleet, is_chat: bool) -> Vec<u16> {
    let end = Instant::now() + LOAD_TIME;
    let callers = (0..CALLERS).map(|caller| async move {
        let address = fleet.routers[caller % fleet.routers.len()].callers_address();
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(call(address, &lookup_or_chat(is_chat)).await.unwrap().status());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        statuses
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Guards against requests to a cold replica while others have room, and against a replica that
/// gets none any more when it is warm.
#[tokio::test]
async fn a_cold_replica_gets_no_requests_while_others_have_room() {
    let fleet = fleet(2).await;
    let (archive, engine) = (&fleet.archives[0], &fleet.engines[0]);
    put_cold(&fleet, archive, ARCHIVE_SERVICE, Duration::from_secs(6));
    put_cold(&fleet, engine, CHAT_SERVICE, Duration::from_secs(6));
    for router in &fleet.routers {
        router.wait_for_events("upstream_serving", 6).await.unwrap();
    }
    for (replica, is_chat) in [(archive, false), (engine, true)] {
        let before = replica.received_requests().len();
        let statuses = load(&fleet, is_chat).await;
        assert!(statuses.iter().all(|status| *status == 200));
        assert_eq!(replica.received_requests().len(), before);
    }
    wait_until("the warm replica is used", async || {
        let address = fleet.routers[0].callers_address();
        call(address, &lookup_or_chat(true)).await.unwrap();
        !engine.received_requests().is_empty()
    })
    .await
    .unwrap();
}

/// Guards against replicas that fall over when all of a service are cold, because every router
/// sends them what it gets, and against callers that are kept waiting then.
#[tokio::test]
async fn all_routers_together_keep_the_bound_of_cold_replicas() {
    for routers in [1, 3] {
        let fleet = fleet(routers).await;
        for archive in &fleet.archives {
            put_cold(&fleet, archive, ARCHIVE_SERVICE, Duration::from_secs(20));
        }
        for engine in &fleet.engines {
            put_cold(&fleet, engine, CHAT_SERVICE, Duration::from_secs(20));
        }
        for router in &fleet.routers {
            router.wait_for_events("upstream_serving", 8).await.unwrap();
        }
        // Routers count themselves among those that may send some time after their registration.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        for (replicas, is_chat) in [(&fleet.archives, false), (&fleet.engines, true)] {
            let statuses = load(&fleet, is_chat).await;
            let seconds = LOAD_TIME.as_secs_f64().ceil() as usize;
            for replica in replicas {
                let received = replica.received_requests().len();
                assert!(received <= seconds * MAX_COLD_REQUESTS, "{received} requests");
                assert!(received > 0, "{routers} routers use the room of a cold replica");
            }
            assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
        }
        let refused = fleet.routers[0].wait_for_events("request_refused", 1).await.unwrap();
        assert_eq!(refused[0]["reason"], "cold");
        assert!(refused[0]["retry_after_ms"].as_u64() > Some(0), "{refused:?}");
    }
}

/// Guards against requests to a replica that says with its answers that it is cold, while its entry
/// says nothing of it.
#[tokio::test]
async fn a_replica_that_says_with_an_answer_that_it_is_cold_is_passed_over() {
    let fleet = fleet(1).await;
    let archive = &fleet.archives[0];
    archive.set_behaviour(|req| {
        Script::response(req, 200, "a verse").with_header("x-cold-start-ms: 60000")
    });
    wait_until("the replica has answered", async || {
        call(fleet.routers[0].callers_address(), &lookup_or_chat(false)).await.unwrap();
        !archive.received_requests().is_empty()
    })
    .await
    .unwrap();
    fleet.routers[0].wait_for_events("upstream_cold", 1).await.unwrap();
    let before = archive.received_requests().len();
    assert!(load(&fleet, false).await.iter().all(|status| *status == 200));
    assert_eq!(archive.received_requests().len(), before);
}
