//! Replicas that say with their answers that they are leaving, before or without their entry.

mod common;

use std::time::Duration;

use common::{fleet, program, request};
use teaselworks_standin::caller::call;
use teaselworks_standin::configuration::ARCHIVE_SERVICE;
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{Script, Upstream};

/// Requests that are sent after a replica has stated that it is leaving.
const LATER_REQUESTS: usize = 40;

/// Makes a replica say that it is leaving with each answer, also with those that reject a request.
fn leave(replica: &Upstream, is_rejecting: bool) {
    replica.set_behaviour(move |req| {
        let script = if is_rejecting {
            Script::rejected(req)
        } else {
            Script::response(req, 200, "a verse")
        };
        script.with_header("server-leaving: 1")
    });
}

/// Sends requests to a router until one reaches the replica, and then more. Returns how many of
/// these reached it, while its entry says again and again that it is ready.
async fn count_later_requests(fleet: &Fleet, router: usize, replica: &Upstream) -> usize {
    let address = fleet.routers[router].callers_address();
    let send = async |id: &str| call(address, &request("GET", "/read/a", id)).await.unwrap();
    wait_until("a request reached the replica", async || {
        send("before").await;
        !replica.received_requests().is_empty()
    })
    .await
    .unwrap();
    let received = replica.received_requests().len();
    for number in 0..LATER_REQUESTS {
        if number % 10 == 0 {
            fleet.put_entry(replica, ARCHIVE_SERVICE, "ready");
        }
        assert_eq!(send(&format!("later-{number}")).await.status(), 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    replica.received_requests().len() - received
}

/// Guards against requests to a replica that has said it is leaving while its entry still lists it
/// as ready.
#[tokio::test]
async fn a_replica_that_says_it_is_leaving_gets_no_new_requests() {
    for is_rejecting in [false, true] {
        let fleet = fleet(1).await;
        leave(&fleet.archives[0], is_rejecting);
        assert_eq!(count_later_requests(&fleet, 0, &fleet.archives[0]).await, 0);
    }
}

/// Guards against a router that learns from nobody that a replica is leaving, since the answer that
/// states so came through another router.
#[tokio::test]
async fn a_router_learns_through_another_one_that_a_replica_is_leaving() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    let address = fleet.routers[0].callers_address();
    wait_until("requests are forwarded", async || {
        let reply = call(address, &request("GET", "/read/a", "first")).await.unwrap();
        reply.status() == 200
    })
    .await
    .unwrap();
    let replica = &fleet.archives[0];
    leave(replica, false);
    wait_until("the replica has said that it is leaving", async || {
        call(address, &request("GET", "/read/a", "leaving")).await.unwrap();
        replica.run_count("leaving") > 0
    })
    .await
    .unwrap();
    fleet.links[0].heal();
    fleet.routers[0].wait_for_events("link_restored", 1).await.unwrap();
    let replica = &fleet.archives[0];
    let received = replica.received_requests().len();
    for number in 0..LATER_REQUESTS {
        let id = format!("direct-{number}");
        assert_eq!(call(address, &request("GET", "/read/a", &id)).await.unwrap().status(), 200);
    }
    assert_eq!(replica.received_requests().len(), received);
}
