//! Routers that are cut off from all replicas while callers, the store and other routers reach them.

mod common;

use std::time::Duration;

use common::{chat, program, request};
use futures_util::future::join_all;
use teaselworks_standin::caller::{Call, Connection, Reply, call};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{Script, Step, chunk, event, raw_response, stream_head};

/// Time after which a router that is cut off must serve its callers again.
const DETECTION_BOUND: Duration = Duration::from_secs(3);
/// Requests to each router whose results are compared.
const COMPARED_REQUESTS: usize = 80;
/// Time between two requests to one router.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Returns a request of each kind in turn.
fn numbered_request(id: &str, number: usize) -> Call {
    match number % 4 {
        0 => request("GET", "/read/a", id),
        1 => request("POST", "/write/a", id),
        2 => chat("/chat/a", id, number as u64),
        _ => chat("/gloss/a", id, number as u64),
    }
}

fn is_served(reply: &Reply) -> bool {
    let is_stream = reply.head.header("content-type") == Some("text/event-stream");
    let is_complete = reply.body.is_whole && (!is_stream || reply.events() == [1, 2, 3, 4, 5]);
    reply.status() == 200 && reply.head.header("x-server-stamp").is_some() && is_complete
}

/// Sends `count` requests to a router, each on a connection of its own, and returns the replies.
async fn send_requests(fleet: &Fleet, router: usize, prefix: &str, count: usize) -> Vec<Reply> {
    let address = fleet.routers[router].callers_address();
    let requests = (0..count).map(async |number| {
        tokio::time::sleep(REQUEST_INTERVAL * number as u32).await;
        let id = format!("{prefix}-{router}-{number}");
        call(address, &numbered_request(&id, number)).await.unwrap_or_default()
    });
    join_all(requests).await
}

/// Sends requests to every router at the same time; returns for each how many were served.
async fn count_served(fleet: &Fleet, prefix: &str, count: usize) -> Vec<usize> {
    let replies =
        (0..fleet.routers.len()).map(|router| send_requests(fleet, router, prefix, count));
    let replies = join_all(replies).await;
    replies.iter().map(|replies| replies.iter().filter(|reply| is_served(reply)).count()).collect()
}

/// Makes requests last so long that a router needs more connections than it has open.
fn make_requests_overlap(fleet: &Fleet) {
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..6, REQUEST_INTERVAL, true));
    }
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            let respond = Step::Write(raw_response(req.id(), 200, "a verse"));
            Script::new(vec![Step::Pause(3 * REQUEST_INTERVAL), respond])
        });
    }
}

/// Returns how many times replicas ran a request.
fn count_runs(fleet: &Fleet, id: &str) -> usize {
    fleet.archives.iter().chain(&fleet.engines).map(|upstream| upstream.run_count(id)).sum()
}

/// Cuts `cut` of four routers off from all replicas and checks that their callers are served.
async fn check_partition(partition: Partition, cut: usize) {
    let mut fleet = Fleet::start_with_links(program(), 4).await.unwrap();
    make_requests_overlap(&fleet);
    assert_eq!(count_served(&fleet, "before", 8).await, [8; 4], "{partition:?}");
    for links in &mut fleet.links[..cut] {
        links.partition(partition);
    }
    let requests = (DETECTION_BOUND.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    count_served(&fleet, "early", requests).await;

    let served = count_served(&fleet, "late", COMPARED_REQUESTS).await;
    let others = served[cut..].iter().sum::<usize>() as f64 / (4 - cut) as f64;
    for router in 0..cut {
        assert!(
            served[router] as f64 >= others * 2.0 / 3.0,
            "{partition:?}, {cut} of 4 cut: served {served:?}; log:\n{}",
            fleet.routers[router].log().join("\n")
        );
        for number in (0..COMPARED_REQUESTS).filter(|number| number % 4 == 1) {
            let id = format!("late-{router}-{number}");
            assert!(count_runs(&fleet, &id) <= 1, "{id} ran more than once");
        }
    }

    for links in &mut fleet.links {
        links.heal();
    }
    wait_until("every link restored", async || {
        fleet
            .routers
            .iter()
            .all(|router| router.events("link_lost").len() == router.events("link_restored").len())
    })
    .await
    .unwrap();
    let served = count_served(&fleet, "after", COMPARED_REQUESTS).await;
    assert!(served.iter().all(|served| *served >= COMPARED_REQUESTS * 9 / 10), "{served:?}");
}

/// Guards against a router that refuses its callers because it reaches no replica, although other
/// routers do.
#[tokio::test]
async fn a_router_cut_off_from_all_replicas_serves_its_callers_through_another_router() {
    join_all(Partition::ALL.map(|partition| check_partition(partition, 1))).await;
}

/// Guards against requests that wander between cut routers without reaching the one that is not.
#[tokio::test]
async fn callers_are_served_if_one_router_reaches_the_replicas() {
    join_all(Partition::ALL.map(|partition| check_partition(partition, 3))).await;
}

/// Guards against requests that are held until their deadline when no router reaches a replica.
#[tokio::test]
async fn requests_are_refused_at_once_if_no_router_reaches_a_replica() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    assert_eq!(count_served(&fleet, "before", 8).await, [8; 2]);
    for links in &mut fleet.links {
        links.partition(Partition::Hanging);
    }
    let requests = (DETECTION_BOUND.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    count_served(&fleet, "early", requests).await;
    for router in 0..2 {
        for reply in send_requests(&fleet, router, "late", 20).await {
            assert_eq!(reply.status(), 503);
            assert!(reply.head.header("retry-after").is_some());
        }
    }
    let refused = fleet.routers[0].wait_for_events("request_refused", 20).await.unwrap();
    let late = refused.iter().filter(|fields| {
        fields["request"].as_str().is_some_and(|id| id.starts_with("late"))
            && fields["attempts"] != 0
    });
    assert_eq!(late.count(), 0, "requests are tried at replicas that cannot be reached");
}

/// Guards against a request that goes on at a replica after its caller has left the router that
/// cannot reach the replica itself.
#[tokio::test]
async fn a_caller_that_leaves_a_cut_router_ends_its_request_at_the_replica() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    fleet.routers[0].wait_for_events("upstream_serving", 4).await.unwrap();
    let requests = (DETECTION_BOUND.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    count_served(&fleet, "early", requests).await;
    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            let first = [stream_head(req.id()), chunk(&event(1))].concat();
            Script::new(vec![Step::Write(first), Step::Silence])
        });
    }
    let mut caller = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
    caller.send(&chat("/chat/a", "left", 1)).await.unwrap();
    assert!(caller.read_head().await.unwrap().is_some());
    drop(caller);
    wait_until("request ended at the replica", async || {
        fleet.engines.iter().any(|engine| engine.aborted_requests().contains(&"left".to_owned()))
    })
    .await
    .unwrap();
}

/// Guards against a request that runs more often than its route allows, because the router that its
/// caller sent it to and the one that forwards it both retry it.
#[tokio::test]
async fn a_forwarded_request_runs_at_most_as_often_as_its_route_allows() {
    let mut fleet = Fleet::start_with_links(program(), 3).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    let requests = (DETECTION_BOUND.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    count_served(&fleet, "early", requests).await;
    for archive in &fleet.archives {
        archive.set_behaviour(|req| Script::response(req, 500, "out of ink"));
    }
    for number in 0..8 {
        let id = format!("failing-{number}");
        let sent = request("GET", "/read/a", &id);
        let reply = call(fleet.routers[0].callers_address(), &sent).await.unwrap();
        assert_eq!((reply.status(), reply.text().as_str()), (500, "out of ink"));
        assert_eq!(count_runs(&fleet, &id), 2, "the route allows two runs");
    }
}
