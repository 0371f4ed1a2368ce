//! Replicas that restart and register again under the same identifier.

mod common;

use std::time::{Duration, Instant};

use common::{chat, fleet, request};
use teaselworks_standin::caller::{Connection, call};
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::proxy::Proxy;
use teaselworks_standin::upstream::{Script, Step, chunk, event, stream_head};

/// Limit for what must happen at once: far shorter than a caller's deadline, and longer than a
/// response takes.
const PROMPT_LIMIT: Duration = Duration::from_secs(3);

/// Leaves one engine in use, behind the returned proxy, which sends the first event of each stream
/// and nothing more.
async fn silent_engine(fleet: &Fleet) -> Proxy {
    let proxy = Proxy::start(fleet.engines[0].address()).unwrap();
    fleet.put_entry(&fleet.engines[1], CHAT_SERVICE, "draining");
    fleet.put_entry_at(&fleet.engines[0], proxy.address(), CHAT_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    fleet.engines[0].set_behaviour(|req| {
        let first = [stream_head(req.id()), chunk(&event(1))].concat();
        Script::new(vec![Step::Write(first), Step::Silence])
    });
    proxy
}

/// Stalls the open connections to the engine and restarts it, so that the router learns of the
/// restart only from the engine's new entry.
async fn restart_behind_stalled_proxy(fleet: &Fleet, proxy: &Proxy) {
    proxy.stall();
    fleet.engines[0].set_behaviour(|req| Script::stream(req, 1..4, Duration::ZERO, true));
    fleet.engines[0].restart().await.unwrap();
    fleet.put_entry_at(&fleet.engines[0], proxy.address(), CHAT_SERVICE, "ready");
}

/// Guards against a stream that stays open until its deadline, or ends as if it were complete,
/// after its replica has restarted and the old connection carries nothing any more.
#[tokio::test]
async fn a_stream_of_an_earlier_start_ends_at_once_as_broken() {
    let fleet = fleet(1).await;
    let proxy = silent_engine(&fleet).await;
    let mut caller = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    caller.send(&chat("/chat/a", "c1", 1)).await.unwrap();
    assert!(caller.read_head().await.unwrap().is_some());

    restart_behind_stalled_proxy(&fleet, &proxy).await;
    let since = Instant::now();
    let broken = fleet.routers[0].wait_for_events("answer_broken", 1).await.unwrap();
    assert!(since.elapsed() < PROMPT_LIMIT, "{:?}", since.elapsed());
    assert_eq!(broken[0]["request"], "c1");
    assert_eq!(fleet.engines[0].run_count("c1"), 1);

    let reply = call(fleet.routers[0].callers_address(), &chat("/chat/a", "c2", 1)).await.unwrap();
    assert_eq!((reply.status(), reply.events()), (200, vec![1, 2, 3]));
}

/// Guards against a resumable stream that waits for a replica which lost the request when it
/// restarted.
#[tokio::test]
async fn a_resumable_stream_of_an_earlier_start_resumes_at_another_replica_at_once() {
    let fleet = fleet(1).await;
    let proxy = silent_engine(&fleet).await;
    let address = fleet.routers[0].callers_address();
    let streaming = tokio::spawn(async move { call(address, &chat("/gloss/a", "g1", 1)).await });
    while fleet.engines[0].run_count("g1") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.engines[1].set_behaviour(|req| Script::stream(req, 2..6, Duration::ZERO, true));
    fleet.put_entry(&fleet.engines[1], CHAT_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_serving", 6).await.unwrap();
    restart_behind_stalled_proxy(&fleet, &proxy).await;
    let reply = streaming.await.unwrap().unwrap();
    assert_eq!((reply.status(), reply.events()), (200, vec![1, 2, 3, 4, 5]));
    let retried = fleet.routers[0].wait_for_events("attempt_retried", 1).await.unwrap();
    assert_eq!((retried.len(), retried[0]["reason"].as_str()), (1, Some("resumed")));
    assert_eq!(fleet.engines[1].received_requests()[0].head.header("last-event-id"), Some("1"));
}

/// Guards against a response that says a request has not run, or against its repetition, because
/// the restarted replica of the same identifier does not know the request.
#[tokio::test]
async fn a_request_that_reached_an_earlier_start_may_have_run() {
    let fleet = fleet(1).await;
    let proxy = Proxy::start(fleet.archives[0].address()).unwrap();
    fleet.put_entry(&fleet.archives[1], ARCHIVE_SERVICE, "draining");
    fleet.put_entry_at(&fleet.archives[0], proxy.address(), ARCHIVE_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    fleet.archives[0].set_behaviour(|_| Script::new(vec![Step::Silence]));
    let address = fleet.routers[0].callers_address();
    let waiting =
        tokio::spawn(async move { call(address, &request("POST", "/write/a", "w1")).await });
    fleet.routers[0].wait_for_events("request_placed", 1).await.unwrap();
    while fleet.archives[0].run_count("w1") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    proxy.stall();
    fleet.archives[0].set_behaviour(|req| Script::response(req, 200, "a verse"));
    fleet.archives[0].restart().await.unwrap();
    fleet.put_entry_at(&fleet.archives[0], proxy.address(), ARCHIVE_SERVICE, "ready");
    let since = Instant::now();
    assert_eq!(waiting.await.unwrap().unwrap().status(), 502);
    assert!(since.elapsed() < PROMPT_LIMIT, "{:?}", since.elapsed());
    assert_eq!(fleet.archives[0].run_count("w1"), 1);
}

/// Guards against a request that is sent on an idle connection to an earlier start of the replica,
/// where it gets no response.
#[tokio::test]
async fn idle_connections_to_an_earlier_start_are_closed() {
    let fleet = fleet(1).await;
    let proxy = Proxy::start(fleet.archives[0].address()).unwrap();
    fleet.put_entry(&fleet.archives[1], ARCHIVE_SERVICE, "draining");
    fleet.put_entry_at(&fleet.archives[0], proxy.address(), ARCHIVE_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    let address = fleet.routers[0].callers_address();
    assert_eq!(call(address, &request("POST", "/write/a", "w1")).await.unwrap().status(), 200);

    proxy.stall();
    fleet.archives[0].restart().await.unwrap();
    fleet.put_entry_at(&fleet.archives[0], proxy.address(), ARCHIVE_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_restarted", 1).await.unwrap();
    let reply = call(address, &request("POST", "/write/a", "w2")).await.unwrap();
    assert_eq!((reply.status(), fleet.archives[0].run_count("w2")), (200, 1));
}

/// Guards against an entry of an earlier start that arrives late, from a slow router, and replaces
/// the entry of the restarted replica.
#[tokio::test]
async fn an_older_entry_of_a_restarted_replica_is_ignored() {
    let fleet = fleet(1).await;
    let earlier = teaselworks_standin::configuration::upstream_entry(
        &fleet.archives[0],
        ([127, 0, 0, 1], 9).into(),
        ARCHIVE_SERVICE,
        "ready",
    );
    fleet.archives[0].restart().await.unwrap();
    fleet.put_entry(&fleet.archives[0], ARCHIVE_SERVICE, "ready");
    fleet.routers[0].wait_for_events("upstream_restarted", 1).await.unwrap();
    fleet.store.put_json("servers/service-1", &earlier);
    fleet.routers[0].wait_for_events("upstream_stale", 1).await.unwrap();
    fleet.put_entry(&fleet.archives[1], ARCHIVE_SERVICE, "draining");
    fleet.routers[0].wait_for_events("upstream_draining", 1).await.unwrap();
    let reply =
        call(fleet.routers[0].callers_address(), &request("GET", "/read/a", "1")).await.unwrap();
    assert_eq!((reply.status(), fleet.archives[0].received_requests().len()), (200, 1));
}
