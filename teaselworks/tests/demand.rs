//! Which attempts count in the histogram of actual to estimated slot time.

mod common;

use std::time::Duration;

use common::{chat, fleet, program, request};
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::router::Router;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step};

/// Pause between the events of a stream.
const PAUSE: Duration = Duration::from_millis(1);

/// Returns the number of slot times that a router has recorded.
async fn recorded(router: &Router) -> u32 {
    let metrics = router.metrics().await.unwrap();
    let is_count = |line: &&str| line.starts_with("teaselworks_demand_error_ratio_count");
    let line = metrics.lines().find(is_count).unwrap_or("0");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

async fn send(router: &Router, sent: Call) -> Reply {
    call(router.callers_address(), &sent).await.unwrap()
}

/// Guards against slot times that are not recorded, and against those of failed, rejected, broken
/// and resumed attempts, which took only a part of what the request takes.
#[tokio::test]
async fn only_complete_answers_of_one_replica_are_recorded() {
    let fleet = fleet(1).await;
    let router = &fleet.routers[0];
    assert_eq!(send(router, request("GET", "/read/a", "r1")).await.status(), 200);
    assert_eq!(recorded(router).await, 1);
    assert!(send(router, chat("/chat/a", "c1", 1)).await.body.is_whole);
    assert_eq!(recorded(router).await, 2);

    type Behaviour = fn(&ReceivedRequest) -> Script;
    let failures: [Behaviour; 3] = [
        |req| Script::response(req, 500, "out of ink"),
        |req| Script::rejected(req),
        |_| Script::new(vec![Step::Close]),
    ];
    for (number, failure) in failures.into_iter().enumerate() {
        for archive in &fleet.archives {
            archive.set_behaviour(failure);
        }
        let reply = send(router, request("POST", "/write/a", &format!("w{number}"))).await;
        assert!(reply.status() >= 500, "{number}");
    }
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..3, PAUSE, false).then(Step::Close));
    }
    assert!(!send(router, chat("/chat/a", "c2", 1)).await.body.is_whole);
    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            let last = req.head.header("last-event-id").and_then(|id| id.parse::<u32>().ok());
            match last {
                None => Script::stream(req, 1..3, PAUSE, false).then(Step::Close),
                Some(last) => Script::stream(req, last + 1..6, PAUSE, true),
            }
        });
    }
    let resumed = send(router, chat("/gloss/a", "g1", 1)).await;
    assert_eq!((resumed.events(), resumed.body.is_whole), (vec![1, 2, 3, 4, 5], true));
    assert_eq!(recorded(router).await, 2);
}

/// Guards against a slot time that is recorded twice, or of the way through another router: only the
/// router that sends the request to the replica records it.
#[tokio::test]
async fn answers_of_other_routers_are_not_recorded() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    fleet.links[0].partition(Partition::Resetting);
    let [cut, other] = &fleet.routers[..] else { panic!("the fleet has two routers") };
    let is_served = async |id: &str| {
        let stream = send(cut, chat("/chat/a", id, 1)).await;
        let answer = send(cut, request("GET", "/read/a", id)).await;
        stream.body.is_whole && stream.status() == 200 && answer.status() == 200
    };
    wait_until("requests are forwarded", async || is_served("early").await).await.unwrap();
    let before = [recorded(cut).await, recorded(other).await];
    assert!(is_served("late").await);
    assert_eq!([recorded(cut).await, recorded(other).await], [before[0], before[1] + 2]);
}
