//! Parts of prompts that crash each engine which begins to write an answer on them.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::crashes::restart_replicas;
use common::request;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::links::Partition;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream, chunk, stream_head};

/// Number of engines.
const ENGINES: usize = 8;
/// Time after the fifth crash from which at most [`MAX_LATE_REQUESTS`] may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of crashes after which the bound counts.
const COUNTED_CRASHES: usize = 5;
/// Requests with a crashing part that may reach engines beyond the bound.
const MAX_LATE_REQUESTS: usize = 3;
/// Time between two requests with a crashing part, and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
const SOUND_INTERVAL: Duration = Duration::from_millis(25);

/// A part that crashes engines, in the place of the first or of the second part of a prompt.
#[derive(Clone, Copy)]
enum Place {
    First,
    Second,
}

/// Returns a prompt of three parts; `crashing` tells where the crashing one is.
fn prompt(number: usize, crashing: Option<Place>) -> String {
    let (first, second) = match crashing {
        None => ("a".to_owned(), format!("{:x}", 0x100 + number % 16)),
        Some(Place::First) => ("bad".to_owned(), format!("{:x}", 0x100 + number % 16)),
        Some(Place::Second) => ("a".to_owned(), "bad".to_owned()),
    };
    format!("{first}:100,{second}:800,{:x}:100", 0x10_0000 + number)
}

fn build_call(target: &str, id: &str, number: usize, crashing: Option<Place>) -> Call {
    request("POST", target, id)
        .with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1000,50")
        .with_header("X-Prompt-Prefix", &prompt(number, crashing))
        .with_body("Which verse is older?")
}

/// Crashes on the part `bad`; else streams five events within some 200 ms.
fn engine(req: &ReceivedRequest) -> Script {
    let prompt = req.head.header("x-prompt-prefix").unwrap_or_default();
    let mut steps = vec![Step::Write(stream_head(req.id()))];
    if prompt.contains("bad:") {
        steps.extend([Step::Pause(Duration::from_millis(30)), Step::Crash]);
        return Script::new(steps);
    }
    let last: u32 =
        req.head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default();
    for number in last + 1..6 {
        steps.push(Step::Pause(Duration::from_millis(40)));
        steps.push(Step::Write(chunk(&format!("id: {number}\ndata: x\n\n"))));
    }
    steps.push(Step::Write(b"0\r\n\r\n".to_vec()));
    Script::new(steps)
}

async fn start_fleet(routers: usize) -> Fleet {
    let configuration = TestConfiguration::default();
    let bounds = serde_json::json!({ "retry_ratio": 10.0, "retry_slack": 1_000.0 });
    let mut fleet = common::fleet_with(routers, configuration, &bounds).await;
    for number in 3..=ENGINES {
        fleet.engines.push(Upstream::start(&format!("engine-{number}"), engine).unwrap());
    }
    for engine in &fleet.engines {
        engine.set_behaviour(self::engine);
        fleet.put_entry(engine, CHAT_SERVICE, "ready");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Starts crashed engines again until `is_over`. Returns the times of all crashes.
async fn restart_engines(fleet: &Fleet, is_over: &AtomicBool) -> Vec<Instant> {
    restart_replicas(fleet, &fleet.engines, CHAT_SERVICE, is_over).await
}

/// Result of requests of one kind: when each was sent, and its status (0: none).
type Sent = Vec<(Instant, u16, bool)>;

/// Sends `count` requests, one after the other in `interval`, to each router in turn.
async fn send(
    fleet: &Fleet,
    target: &str,
    prefix: &str,
    count: usize,
    interval: Duration,
    crashing: Option<Place>,
) -> Sent {
    let sent = (0..count).map(async |number| {
        tokio::time::sleep(interval * number as u32).await;
        let router = &fleet.routers[number % fleet.routers.len()];
        let call_again = build_call(target, &format!("{prefix}{number}"), number, crashing);
        let at = Instant::now();
        let reply = call(router.callers_address(), &call_again).await.unwrap_or_default();
        (at, reply.status(), reply.body.is_whole)
    });
    join_all(sent).await
}

/// Returns how many of the requests were served whole.
fn served(sent: &[&(Instant, u16, bool)]) -> f64 {
    sent.iter().filter(|(_, status, is_whole)| *status == 200 && *is_whole).count() as f64
}

/// Sends requests with a crashing part for nine seconds beside sound ones, and checks that few of the
/// former reach engines once five have crashed, and that the latter are served.
async fn check_crashing_part(routers: usize, target: &str, crashing: Place) {
    let fleet = start_fleet(routers).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let before = send(&fleet, target, "before", 40, SOUND_INTERVAL, None).await;
    let seconds = Duration::from_secs(9);
    let sending = async {
        let count = |interval: Duration| (seconds.as_millis() / interval.as_millis()) as usize;
        let crashing_count = count(CRASHING_INTERVAL);
        let results = tokio::join!(
            send(&fleet, target, "c", crashing_count, CRASHING_INTERVAL, Some(crashing)),
            send(&fleet, target, "s", count(SOUND_INTERVAL), SOUND_INTERVAL, None),
        );
        is_over.store(true, Ordering::Relaxed);
        results
    };
    let ((crashing_sent, sound_sent), crashes) =
        tokio::join!(sending, restart_engines(&fleet, &is_over));
    assert!(crashes.len() >= 3, "the part crashes engines");
    let bound = crashes.get(COUNTED_CRASHES - 1).map(|fifth| *fifth + CONTACT);
    let late: Vec<usize> = (0..crashing_sent.len())
        .filter(|number| bound.is_some_and(|bound| crashing_sent[*number].0 > bound))
        .filter(|number| fleet.engines.iter().any(|e| e.run_count(&format!("c{number}")) > 0))
        .collect();
    assert!(late.len() <= MAX_LATE_REQUESTS, "{} crashes, then {late:?}", crashes.len());
    assert!(crashes.len() <= 20, "{} crashes", crashes.len());
    let last = crashes.get(COUNTED_CRASHES - 1).or(crashes.last()).unwrap();
    let after: Vec<_> = sound_sent.iter().filter(|sent| sent.0 > *last + 2 * CONTACT).collect();
    let before: Vec<_> = before.iter().collect();
    let (share_after, share_before) =
        (served(&after) / after.len() as f64, served(&before) / before.len() as f64);
    assert!(after.len() >= 20 && share_after * 2.0 >= share_before, "{share_after} {share_before}");
    for router in &fleet.routers {
        let blocked = router.events("request_refused");
        let mut blocked = blocked.iter().filter(|line| line["reason"] == "blocked_part");
        let is_crashing = |id: &str| id.starts_with('c');
        assert!(blocked.all(|line| line["request"].as_str().is_some_and(is_crashing)));
    }
}

/// Guards against requests that crash one engine after the other: the second part of their prompts
/// does, and sound requests share the first.
#[tokio::test]
async fn a_part_that_crashes_engines_is_blocked() {
    check_crashing_part(4, "/chat/a", Place::Second).await;
}

/// Guards against the same where the first part does, and sound requests share the second one and the
/// key.
#[tokio::test]
async fn a_first_part_that_crashes_engines_is_blocked() {
    check_crashing_part(3, "/chat/a", Place::First).await;
}

/// Guards against routers that send such a request to a second engine themselves.
#[tokio::test]
async fn a_part_that_crashes_engines_is_not_retried_for_long() {
    check_crashing_part(3, "/gloss/a", Place::Second).await;
}

/// Guards against a fleet in which most routers do not read the store, and each sees one crash.
#[tokio::test]
async fn a_part_that_crashes_engines_is_blocked_by_many_routers() {
    check_crashing_part(14, "/chat/a", Place::Second).await;
}

/// Guards against a router that starts with nothing known and lets the crashes begin again.
#[tokio::test]
async fn a_router_that_starts_knows_blocked_parts() {
    let mut fleet = start_fleet(3).await;
    let is_over = AtomicBool::new(false);
    let sending = async {
        let sound = send(&fleet, "/chat/a", "s", 160, SOUND_INTERVAL, None);
        let crashing = send(&fleet, "/chat/a", "c", 25, CRASHING_INTERVAL, Some(Place::Second));
        let sent = tokio::join!(crashing, sound);
        is_over.store(true, Ordering::Relaxed);
        sent
    };
    let ((crashing, _), _) = tokio::join!(sending, restart_engines(&fleet, &is_over));
    assert_eq!(crashing.last().unwrap().1, 503);
    fleet.routers[0].signal(Signal::SIGKILL).unwrap();
    fleet.routers[0].wait_for_exit().await.unwrap();
    fleet.routers[0].spawn().unwrap();
    fleet.routers[0].wait_until_ready().await.unwrap();
    let sent = build_call("/chat/a", "again", 7, Some(Place::Second));
    let reply = call(fleet.routers[0].callers_address(), &sent).await.unwrap();
    assert_eq!(reply.status(), 503);
    assert_eq!(fleet.engines.iter().map(|engine| engine.run_count("again")).sum::<usize>(), 0);
}

/// Guards against parts of sound requests that are blocked because engines crash for a reason that has
/// nothing to do with requests.
#[tokio::test]
async fn crashes_for_another_reason_block_no_part() {
    let fleet = start_fleet(3).await;
    let is_over = AtomicBool::new(false);
    let crash_engines = async {
        for number in 0..24 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            fleet.engines[number % ENGINES].stop();
        }
    };
    let sending = async {
        let (sound, ()) =
            tokio::join!(send(&fleet, "/chat/a", "s", 260, SOUND_INTERVAL, None), crash_engines);
        is_over.store(true, Ordering::Relaxed);
        sound
    };
    let (_, crashes) = tokio::join!(sending, restart_engines(&fleet, &is_over));
    assert!(crashes.len() >= 20, "{}", crashes.len());
    for router in &fleet.routers {
        assert!(router.events("part_blocked").is_empty(), "{:?}", router.events("part_blocked"));
    }
}

/// Guards against a blocked part that crashes engines all the same, since the router that the caller
/// reaches has lost its link to them and another one forwards the request.
#[tokio::test]
async fn a_router_that_forwards_a_request_refuses_a_blocked_part() {
    let mut fleet = Fleet::start_with_links(common::program(), 3).await.unwrap();
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(self::engine));
    let part = 0xbad;
    fleet.store.put(&format!("blocked-parts/{part:x}"), b"{}");
    for router in &fleet.routers {
        router.wait_for_events("part_blocked", 1).await.unwrap();
    }
    fleet.links[0].partition(Partition::Resetting);
    let address = fleet.routers[0].callers_address();
    let mut number = 0;
    wait_until("the router lost its link", async || {
        number += 1;
        let _ = call(address, &build_call("/chat/a", &format!("s{number}"), number, None)).await;
        !fleet.routers[0].events("link_lost").is_empty()
    })
    .await
    .unwrap();
    for number in 0..8 {
        let id = format!("c{number}");
        let sent = build_call("/chat/a", &id, number, Some(Place::Second));
        let reply = call(address, &sent).await.unwrap();
        assert_eq!(reply.status(), 503, "{id}");
        assert!(fleet.engines.iter().all(|engine| engine.run_count(&id) == 0), "{id}");
    }
}
