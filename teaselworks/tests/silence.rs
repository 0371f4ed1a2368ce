//! Sound replicas that fall silent for a second and go on.

mod common;

use std::time::Duration;

use common::{chat, program, request};
use futures_util::future::join_all;
use teaselworks_standin::caller::call;
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{Script, Step, raw_response};

/// Time for which the replicas are silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Number of requests of each kind that are in progress when the silence begins.
const REQUESTS: u64 = 8;

/// Guards against requests that fail, and replicas that stay unused, because all replicas are
/// silent for a second.
#[tokio::test]
async fn requests_outlive_a_second_of_silence_of_all_replicas() {
    let mut fleet = Fleet::start_with_links(program(), 2).await.unwrap();
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            let respond = Step::Write(raw_response(req.id(), 200, "a verse"));
            Script::new(vec![Step::Pause(Duration::from_millis(400)), respond])
        });
    }
    for engine in &fleet.engines {
        engine.set_behaviour(|req| Script::stream(req, 1..6, Duration::from_millis(100), true));
    }
    let address = fleet.routers[0].callers_address();
    let requests = (0..REQUESTS).flat_map(|number| {
        [
            request("POST", "/write/a", &format!("w{number}")),
            chat("/chat/a", &format!("c{number}"), number),
        ]
    });
    let in_progress = tokio::spawn(join_all(
        requests.map(move |sent| async move { call(address, &sent).await.unwrap() }),
    ));
    wait_until("all requests reached a replica", async || {
        let replicas = fleet.archives.iter().chain(&fleet.engines);
        replicas.map(|replica| replica.received_requests().len()).sum::<usize>()
            == 2 * REQUESTS as usize
    })
    .await
    .unwrap();
    for links in &mut fleet.links {
        links.partition(Partition::Hanging);
    }
    tokio::time::sleep(SILENCE).await;
    for links in &mut fleet.links {
        links.heal();
    }

    for reply in in_progress.await.unwrap() {
        assert_eq!((reply.status(), reply.body.is_whole), (200, true));
    }
    wait_until("served again", async || {
        let sent = request("GET", "/read/a", "again");
        call(address, &sent).await.unwrap().status() == 200
    })
    .await
    .unwrap();
    for number in 0..REQUESTS {
        let sent = request("POST", "/write/a", &format!("after{number}"));
        assert_eq!(call(address, &sent).await.unwrap().status(), 200);
    }
}
