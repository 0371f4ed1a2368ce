//! Requests that crash each replica which runs them, and that callers repeat under new identifiers.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::crashes::restart_replicas;
use common::request;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{ARCHIVE_SERVICE, CHAT_SERVICE, TestConfiguration};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::links::Partition;
use teaselworks_standin::router::Router;
use teaselworks_standin::store::Mode;
use teaselworks_standin::upstream::{ReceivedRequest, Script, Step, Upstream, chunk, stream_head};

/// Number of replicas of each service.
const REPLICAS: usize = 8;
/// Number of replicas that may end under one request.
const MAX_ENDED_REPLICAS: usize = 3;
/// Time between two tries of the request that crashes replicas, and between two sound requests.
const TRY_INTERVAL: Duration = Duration::from_millis(150);
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// Time after the last crash that a request may cause from which it reaches no replica.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of tries, and of sound requests beside them.
const TRIES: usize = 60;
const SOUND_REQUESTS: usize = 360;
/// Time from the beginning of an answer until the replica crashes.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Kind of request that crashes replicas.
#[derive(Clone, Copy)]
enum Load {
    /// A chat that may run once; the last part of its prompt is its own.
    Chat,
    /// A stream that may be resumed, of which more than half a second is written before the crash.
    LongGloss,
    /// A stream that its caller resumes, each time after another event.
    ResumedGloss,
    /// A request without a prompt that may run more than once.
    Read,
    /// A request without a prompt that may run once.
    Write,
}

impl Load {
    fn service(self) -> &'static str {
        match self {
            Load::Chat | Load::LongGloss | Load::ResumedGloss => CHAT_SERVICE,
            Load::Read | Load::Write => ARCHIVE_SERVICE,
        }
    }

    fn replicas(self, fleet: &Fleet) -> &[Upstream] {
        match self {
            Load::Chat | Load::LongGloss | Load::ResumedGloss => &fleet.engines,
            Load::Read | Load::Write => &fleet.archives,
        }
    }

    /// Returns one try of the request that crashes replicas.
    fn crashing(self, id: &str) -> Call {
        match self {
            Load::Chat => prompted("/chat/a", id, "a:100,101:800,bad:100"),
            Load::LongGloss => prompted("/gloss/a", id, "a:100,101:800,bad:100"),
            Load::ResumedGloss => prompted("/gloss/a", id, "a:100,101:800,bad:100")
                .with_header("Last-Event-Id", &id.len().to_string()),
            Load::Read => request("GET", "/read/bad?page=2", id),
            Load::Write => request("POST", "/write/a", id).with_body("bad"),
        }
    }

    /// Returns a sound request with the same route, workspace and key, and the same parts but the last.
    fn sound(self, id: &str, number: usize) -> Call {
        let prompt = format!("a:100,101:800,{:x}:100", 0x10_0000 + number);
        match self {
            Load::Chat => prompted("/chat/a", id, &prompt),
            Load::LongGloss | Load::ResumedGloss => prompted("/gloss/a", id, &prompt),
            Load::Read => request("GET", &format!("/read/{number}?page=2"), id),
            Load::Write => request("POST", "/write/a", id).with_body(&number.to_string()),
        }
    }
}

fn prompted(target: &str, id: &str, prompt: &str) -> Call {
    request("POST", target, id)
        .with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1000,50")
        .with_header("X-Prompt-Prefix", prompt)
        .with_body("Which verse is older?")
}

/// Returns whether a request crashes the replica that runs it.
fn is_crashing(req: &ReceivedRequest) -> bool {
    let prompt = req.head.header("x-prompt-prefix").unwrap_or_default();
    prompt.contains("bad:") || req.target().1.contains("/bad") || req.body.bytes == b"bad"
}

/// Crashes on some requests after it has written `events` events, 40 ms apart; streams five otherwise.
fn engine(req: &ReceivedRequest, events: u32) -> Script {
    let mut steps = vec![Step::Write(stream_head(req.id()))];
    let last: u32 =
        req.head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default();
    let end = if is_crashing(req) { last + events } else { 5 };
    for number in last + 1..=end {
        steps.push(Step::Pause(Duration::from_millis(40)));
        steps.push(Step::Write(chunk(&format!("id: {number}\ndata: x\n\n"))));
    }
    if is_crashing(req) {
        steps.extend([Step::Pause(CRASH_DELAY), Step::Crash]);
    } else {
        steps.push(Step::Write(b"0\r\n\r\n".to_vec()));
    }
    Script::new(steps)
}

/// Crashes on some requests; answers the others.
fn archive(req: &ReceivedRequest) -> Script {
    if is_crashing(req) {
        return Script::new(vec![Step::Pause(CRASH_DELAY), Step::Crash]);
    }
    let mut script = Script::response(req, 200, "found");
    script.steps.insert(0, Step::Pause(Duration::from_millis(60)));
    script
}

async fn start_fleet(routers: usize, load: Load) -> Fleet {
    let bounds = serde_json::json!({ "retry_ratio": 10.0, "retry_slack": 1_000.0 });
    let mut fleet = common::fleet_with(routers, TestConfiguration::default(), &bounds).await;
    for number in 3..=REPLICAS {
        fleet.engines.push(Upstream::start(&format!("engine-{number}"), archive).unwrap());
        fleet.archives.push(Upstream::start(&format!("archive-{number}"), archive).unwrap());
    }
    let events = if matches!(load, Load::LongGloss) { 18 } else { 0 };
    for replica in &fleet.engines {
        replica.set_behaviour(move |req| engine(req, events));
        fleet.put_entry(replica, CHAT_SERVICE, "ready");
    }
    for replica in &fleet.archives {
        replica.set_behaviour(archive);
        fleet.put_entry(replica, ARCHIVE_SERVICE, "ready");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// What became of a request.
#[derive(Debug)]
struct Outcome {
    id: String,
    status: u16,
    is_whole: bool,
}

/// Sends `count` requests, `interval` apart, to each router in turn.
async fn send(
    routers: &[SocketAddr],
    prefix: &str,
    count: usize,
    interval: Duration,
    build: impl Fn(&str, usize) -> Call,
) -> Vec<Outcome> {
    let build = &build;
    let sent = (0..count).map(async |number| {
        tokio::time::sleep(interval * number as u32).await;
        let router = routers[number % routers.len()];
        let id = format!("{prefix}{number}");
        let reply = call(router, &build(&id, number)).await.unwrap_or_default();
        Outcome { id, status: reply.status(), is_whole: reply.body.is_whole }
    });
    join_all(sent).await
}

/// Returns how often replicas ran one of the requests to its end. A router that reads that a replica has
/// restarted closes its connections, upon which the replica drops what it runs.
fn count_runs(load: Load, fleet: &Fleet, sent: &[Outcome]) -> usize {
    let runs = |outcome: &Outcome| -> usize {
        let at = |replica: &Upstream| {
            let dropped = replica.aborted_requests().iter().filter(|id| **id == outcome.id).count();
            replica.run_count(&outcome.id).saturating_sub(dropped)
        };
        load.replicas(fleet).iter().map(at).sum()
    };
    sent.iter().map(runs).sum()
}

/// Returns how often a request that crashes replicas reached one later than at `since`.
fn count_runs_since(load: Load, fleet: &Fleet, since: Instant) -> usize {
    let received = load.replicas(fleet).iter().flat_map(Upstream::received_requests);
    received.filter(|req| is_crashing(req) && req.received_at > since).count()
}

/// Returns the number of requests with this prefix that routers refused for a reason that has to do
/// with crashes.
fn count_refused(fleet: &Fleet, prefix: char) -> usize {
    let is_refused = |line: &serde_json::Value| {
        let reason = line["reason"].as_str().unwrap_or_default();
        let request = line["request"].as_str().unwrap_or_default();
        request.starts_with(prefix) && ["blocked_part", "blocked_request"].contains(&reason)
    };
    let refused = |router: &Router| {
        router.events("request_refused").iter().filter(|line| is_refused(line)).count()
    };
    fleet.routers.iter().map(refused).sum()
}

/// Returns how often replicas broke off requests with this prefix, by what routers attributed that to.
fn attributions(fleet: &Fleet, prefix: char) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in fleet.routers.iter().flat_map(|router| router.events("attempt_broken")) {
        if line["request"].as_str().is_some_and(|id| id.starts_with(prefix)) {
            let attribution = line["attribution"].as_str().unwrap_or_default();
            *counts.entry(attribution.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Repeats a request that crashes replicas beside sound ones while `disturb` runs, and checks that it
/// ends `max_ended` at most and that no sound one is refused for it.
async fn check_disturbed(
    fleet: &mut Fleet,
    load: Load,
    max_ended: usize,
    disturb: impl AsyncFnOnce(&mut [Router]),
) {
    let is_over = AtomicBool::new(false);
    let mut routers = std::mem::take(&mut fleet.routers);
    let addresses: Vec<SocketAddr> = routers.iter().map(Router::callers_address).collect();
    let sending = async {
        let sent = tokio::join!(
            send(&addresses, "c", TRIES, TRY_INTERVAL, |id, _| load.crashing(id)),
            send(&addresses, "s", SOUND_REQUESTS, SOUND_INTERVAL, |id, number| {
                load.sound(id, number)
            }),
        );
        is_over.store(true, Ordering::Relaxed);
        sent
    };
    let restarting = restart_replicas(fleet, load.replicas(fleet), load.service(), &is_over);
    let ((tries, sound), crashes, ()): (_, Vec<Instant>, ()) =
        tokio::join!(sending, restarting, disturb(&mut routers));
    fleet.routers = routers;
    let runs = count_runs(load, fleet, &tries);
    let served = sound.iter().filter(|sent| sent.status == 200 && sent.is_whole).count();
    let (refused, sound_refused) = (count_refused(fleet, 'c'), count_refused(fleet, 's'));
    println!(
        "{runs} runs, {} crashes, {refused} refused; sound: {served} served, {sound_refused} refused",
        crashes.len()
    );
    let broken = (attributions(fleet, 'c'), attributions(fleet, 's'));
    println!("broken off: {:?}; sound: {:?}", broken.0, broken.1);
    assert!(!crashes.is_empty(), "the request crashes replicas");
    let settled = crashes.get(max_ended - 1).map(|last| *last + SETTLING_TIME);
    let further = settled.map_or(0, |settled| count_runs_since(load, fleet, settled));
    assert_eq!(further, 0, "{} crashes", crashes.len());
    // Several tries of a long stream are in progress when the first replica crashes.
    let is_sequential = !matches!(load, Load::LongGloss);
    assert!(!is_sequential || runs <= max_ended, "{runs} runs");
    assert_eq!(sound_refused, 0);
    let is_refused = |sent: &&Outcome| sent.status == 503;
    assert!(tries[TRIES / 2..].iter().filter(is_refused).count() >= TRIES / 3, "{tries:?}");
}

async fn check_repeated(routers: usize, load: Load) {
    let mut fleet = start_fleet(routers, load).await;
    check_disturbed(&mut fleet, load, MAX_ENDED_REPLICAS, async |_| {}).await;
}

async fn kill_and_restart(router: &mut Router) {
    router.signal(Signal::SIGKILL).unwrap();
    router.wait_for_exit().await.unwrap();
    router.spawn().unwrap();
}

/// Guards against a request that crashes one engine after the other: only the last part of its prompt,
/// which no other request has, is the cause.
#[tokio::test]
async fn a_chat_that_crashes_engines_is_refused() {
    check_repeated(4, Load::Chat).await;
}

/// Guards against an engine that is taken for sound since it wrote for a while before it crashed, and
/// against a router that resumes such a stream.
#[tokio::test]
async fn a_resumable_stream_that_crashes_engines_late_is_refused() {
    check_repeated(4, Load::LongGloss).await;
}

/// Guards against callers that resume a stream, whose tries differ in the event to resume after.
#[tokio::test]
async fn a_stream_that_its_caller_resumes_is_refused() {
    check_repeated(4, Load::ResumedGloss).await;
}

/// Guards against requests without a prompt that crash one replica after the other.
#[tokio::test]
async fn a_safe_request_that_crashes_replicas_is_refused() {
    check_repeated(4, Load::Read).await;
}

/// Guards against the same with requests that may run once, which callers repeat by themselves.
#[tokio::test]
async fn an_unsafe_request_that_crashes_replicas_is_refused() {
    check_repeated(4, Load::Write).await;
}

/// Guards against routers that are killed one after the other and forget what they saw.
#[tokio::test]
async fn the_limit_holds_while_routers_are_killed_in_series() {
    let mut fleet = start_fleet(4, Load::Chat).await;
    check_disturbed(&mut fleet, Load::Chat, MAX_ENDED_REPLICAS, async |routers| {
        for number in 0..10 {
            tokio::time::sleep(Duration::from_millis(350)).await;
            kill_and_restart(&mut routers[number % 4]).await;
        }
    })
    .await;
}

/// Guards against a fleet of which every process is killed at once, twice.
#[tokio::test]
async fn the_limit_holds_while_all_routers_are_killed_at_once() {
    let mut fleet = start_fleet(4, Load::Read).await;
    check_disturbed(&mut fleet, Load::Read, MAX_ENDED_REPLICAS, async |routers| {
        for pause_ms in [250, 1_500] {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            join_all(routers.iter_mut().map(kill_and_restart)).await;
        }
    })
    .await;
}

/// Guards against a router that starts while the store does not answer, and learns of nothing.
#[tokio::test]
async fn the_limit_holds_while_the_store_is_away() {
    let mut fleet = start_fleet(4, Load::Write).await;
    let seeds: Vec<SocketAddr> = fleet.routers.iter().map(Router::peers_address).collect();
    for router in &mut fleet.routers {
        router.change_settings(|settings| settings["seeds"] = serde_json::json!(seeds)).unwrap();
    }
    fleet.store.set_mode(Mode::Silent);
    check_disturbed(&mut fleet, Load::Write, MAX_ENDED_REPLICAS, async |routers| {
        for router in routers {
            tokio::time::sleep(Duration::from_millis(900)).await;
            kill_and_restart(router).await;
        }
    })
    .await;
}

/// Guards against a router that counts only its own ends although no other one responds.
#[tokio::test]
async fn a_router_that_is_out_of_touch_assumes_further_ends() {
    let mut fleet = start_fleet(4, Load::Chat).await;
    fleet.store.set_mode(Mode::Silent);
    fleet.routers[1..].iter().for_each(|router| router.signal(Signal::SIGSTOP).unwrap());
    let suspended = fleet.routers.split_off(1);
    check_disturbed(&mut fleet, Load::Chat, 1, async |_| {}).await;
    suspended.iter().for_each(|router| router.signal(Signal::SIGCONT).unwrap());
}

/// Guards against routers that take themselves for the only ones, since their registrations have lapsed.
#[tokio::test]
async fn the_limit_holds_while_the_list_of_routers_lapses() {
    let mut fleet = start_fleet(4, Load::Read).await;
    fleet.store.end_leases();
    // Watches see the end of the leases; renewals do not.
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.store.set_mode(Mode::Unavailable);
    check_disturbed(&mut fleet, Load::Read, MAX_ENDED_REPLICAS, async |_| {}).await;
}

/// Guards against a router that reaches no replica and hands such a request to others.
#[tokio::test]
async fn a_request_that_is_handed_to_other_routers_is_refused() {
    let mut fleet = Fleet::start_with_links(common::program(), 3).await.unwrap();
    fleet.engines.iter().for_each(|replica| replica.set_behaviour(|req| engine(req, 0)));
    fleet.links[0].partition(Partition::Resetting);
    let others = fleet.routers.split_off(1);
    check_disturbed(&mut fleet, Load::Chat, MAX_ENDED_REPLICAS, async |_| {}).await;
    drop(others);
}

/// Guards against sound requests that are refused since replicas crash for a reason that has nothing to
/// do with requests, although their callers send them once more.
#[tokio::test]
async fn crashes_for_another_reason_refuse_no_request() {
    let fleet = start_fleet(4, Load::Read).await;
    let addresses: Vec<SocketAddr> = fleet.routers.iter().map(Router::callers_address).collect();
    let is_over = AtomicBool::new(false);
    let crash_replicas = async {
        for number in 0..36 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            fleet.archives[number % REPLICAS].stop();
        }
    };
    let sending = async {
        let send = |prefix| {
            send(&addresses, prefix, SOUND_REQUESTS, SOUND_INTERVAL, |id, number| {
                Load::Read.sound(id, number)
            })
        };
        let (first, again, ()) = tokio::join!(send("s"), send("t"), crash_replicas);
        is_over.store(true, Ordering::Relaxed);
        (first, again)
    };
    let restarting = restart_replicas(&fleet, &fleet.archives, ARCHIVE_SERVICE, &is_over);
    let ((first, again), crashes) = tokio::join!(sending, restarting);
    assert!(crashes.len() >= 30, "{}", crashes.len());
    assert_eq!(count_refused(&fleet, 's') + count_refused(&fleet, 't'), 0);
    let served = first.iter().chain(&again).filter(|sent| sent.status == 200).count();
    println!("{} crashes, {served} of {} served", crashes.len(), 2 * SOUND_REQUESTS);
}
