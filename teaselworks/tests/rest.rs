//! Replicas that ask a router for rest when they reject a request.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use common::{chat, fleet, request};
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::upstream::{ReceivedRequest, Script, Upstream};

/// Rest that the replicas request.
const REST_S: u32 = 4;
/// Time after which a replica that asked for rest may count requests that reach it.
const GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may reach a replica from one router within its rest.
const ALLOWED_REQUESTS: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the request with a number.
type MakeCall = fn(u64) -> Call;

/// Makes a replica request rest once and answer every other request.
fn ask_for_rest_once(replica: &Upstream) {
    let has_asked = AtomicBool::new(false);
    replica.set_behaviour(move |req| {
        if !has_asked.swap(true, Ordering::Relaxed) {
            return Script::asking_for_rest(req, REST_S);
        }
        let is_stream = req.target().1.starts_with("/chat/");
        if is_stream { Script::stream(req, 1..6, Duration::ZERO, true) } else { answer(req) }
    });
}

fn answer(req: &ReceivedRequest) -> Script {
    Script::response(req, 200, "a verse")
}

/// Sends requests to the first router one after the other, with identifiers and chats of their own,
/// and returns the replies.
async fn send(fleet: &Fleet, count: usize, make: MakeCall) -> Vec<Reply> {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let mut replies = Vec::new();
    for _ in 0..count {
        let sent = make(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
        replies.push(call(fleet.routers[0].callers_address(), &sent).await.unwrap());
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    replies
}

/// Sends requests until one more has reached the replica.
async fn reach(fleet: &Fleet, replica: &Upstream, make: MakeCall) {
    let received = replica.received_requests().len();
    wait_until("a request reached the replica", async || {
        send(fleet, 1, make).await;
        replica.received_requests().len() > received
    })
    .await
    .unwrap();
}

fn write(number: u64) -> Call {
    request("POST", "/write/a", &format!("w{number}"))
}

fn read(number: u64) -> Call {
    request("GET", "/read/a", &format!("r{number}"))
}

fn chat_of_its_own(number: u64) -> Call {
    chat("/chat/a", &format!("c{number}"), number)
}

/// Guards against requests to a replica that has asked this router for rest.
#[tokio::test]
async fn a_replica_that_asks_for_rest_gets_none_until_it_is_over() {
    let fleet = fleet(1).await;
    let cases: [(&Upstream, MakeCall); 3] = [
        (&fleet.archives[0], write),
        (&fleet.archives[1], read),
        (&fleet.engines[0], chat_of_its_own),
    ];
    for (replica, make) in cases {
        ask_for_rest_once(replica);
        reach(&fleet, replica, make).await;
        tokio::time::sleep(GRACE).await;
        let before = replica.received_requests().len();
        let replies = send(&fleet, 40, make).await;
        let received = replica.received_requests().len() - before;
        assert!(received <= ALLOWED_REQUESTS, "{received} requests reached a resting replica");
        assert!(replies.iter().all(|reply| reply.status() == 200), "the other replica serves all");
        reach(&fleet, replica, make).await;
    }
}

/// Guards against callers that are kept waiting, or sent to resting replicas, when every replica of
/// a service rests.
#[tokio::test]
async fn requests_are_refused_until_a_replica_has_rested() {
    let fleet = fleet(1).await;
    fleet.archives.iter().for_each(ask_for_rest_once);
    send(&fleet, 4, read).await;
    let received =
        || fleet.archives.iter().map(|archive| archive.received_requests().len()).sum::<usize>();
    let before = received();
    for reply in send(&fleet, 20, read).await {
        assert_eq!(reply.status(), 503);
        let retry_after: f64 = reply.head.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= f64::from(REST_S), "{retry_after}");
    }
    assert_eq!(received(), before);
    wait_until("served after the rest", async || send(&fleet, 1, read).await[0].status() == 200)
        .await
        .unwrap();
}

/// Guards against a brittle replica that falls over because it has to reject one request after the
/// other, although it requests no rest.
#[tokio::test]
async fn a_brittle_replica_that_rejects_a_request_gets_none_for_a_while() {
    let fleet = fleet(1).await;
    let replica = &fleet.archives[0];
    let has_rejected = AtomicBool::new(false);
    replica.set_behaviour(move |req| {
        let is_first = !has_rejected.swap(true, Ordering::Relaxed);
        let script = if is_first { Script::rejected(req) } else { answer(req) };
        script.with_header("server-brittle: 8")
    });
    reach(&fleet, replica, read).await;
    let received = replica.received_requests().len();
    for number in 0..12 {
        let sent = request("GET", "/read/a", &format!("later-{number}"));
        assert_eq!(call(fleet.routers[0].callers_address(), &sent).await.unwrap().status(), 200);
    }
    assert_eq!(replica.received_requests().len(), received);
    reach(&fleet, replica, read).await;
    let logged = fleet.routers[0].wait_for_events("service_brittle", 1).await.unwrap();
    assert_eq!(logged[0]["max_rejections"], 8);
}
