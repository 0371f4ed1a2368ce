//! Callers that keep their connections until the process behind them is gone, and those that look
//! which configuration is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::checks::Finding;
use super::fleet::{SoakFleet, body_of, event_count, route_of};
use super::record::{Got, Kind, Look, Outcome, Plant, Record};
use crate::caller::{Call, Connection, Reply};
use crate::configuration::{HOST, KEY};

/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after it in which an answer may still arrive.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Longest pause of a caller between two requests.
const PAUSE_MAX_MS: u64 = 60;
/// Part of requests whose caller leaves soon, one in so many.
const LEAVES_ONE_IN: u32 = 25;
/// Pause between looks for the newest route.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Requests of each kind that must be answered at each router at the end.
const LAST_REQUESTS: usize = 5;

/// Running callers.
pub(super) struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub(super) async fn stop(self) {
        self.stop.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

#[derive(Clone)]
struct Caller {
    number: usize,
    routers: Vec<SocketAddr>,
    starts: Vec<Arc<AtomicU64>>,
    version: Arc<AtomicU64>,
    record: Arc<Record>,
    random: Pcg32,
    count: u32,
}

/// Starts callers of every kind of request, and one that looks for configurations at each router.
pub(super) fn start(fleet: &SoakFleet, record: &Arc<Record>, callers: usize, seed: u64) -> Callers {
    let stop = CancellationToken::new();
    let caller = |number: usize| Caller {
        number,
        routers: fleet.routers.iter().map(|router| router.process.callers()).collect(),
        starts: fleet.routers.iter().map(|router| router.starts.clone()).collect(),
        version: fleet.version.clone(),
        record: record.clone(),
        random: Pcg32::seed_from_u64(seed + number as u64 + 1),
        count: 0,
    };
    let mut tasks = Vec::new();
    for number in 0..callers {
        tasks.push(tokio::spawn(caller(number).ask(stop.clone())));
    }
    for router in 0..fleet.routers.len() {
        tasks.push(tokio::spawn(caller(callers + router).look(router, stop.clone())));
    }
    Callers { stop, tasks }
}

impl Caller {
    /// Asks until the soak ends. A connection is used for as long as it is open.
    async fn ask(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let router = self.random.random_range(0..self.routers.len());
            let Ok(mut connection) = Connection::open(self.routers[router]).await else {
                tokio::time::sleep(LOOK_PAUSE).await;
                continue;
            };
            let most = self.random.random_range(1..40);
            for _ in 0..most {
                if stop.is_cancelled() || !self.request(&mut connection, router).await {
                    break;
                }
                let pause = self.random.random_range(0..PAUSE_MAX_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Makes one request; false where the connection cannot be used any more.
    async fn request(&mut self, connection: &mut Connection, router: usize) -> bool {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        self.count += 1;
        let id = format!("c{}n{}", self.number, self.count);
        let call = call_of(kind, &id, self.random.random_range(0..30));
        let leaves = self.random.random_range(0..LEAVES_ONE_IN) == 0;
        let patience = if leaves { DEADLINE / 30 } else { DEADLINE + PATIENCE };
        let sent_at = self.record.now();
        let replied = tokio::time::timeout(patience, connection.call(&call)).await;
        let got = match replied {
            Err(_) => Got::Left,
            Ok(Ok(Some(reply))) => self.judge(&reply, kind, &id),
            Ok(Ok(None) | Err(_)) => Got::Nothing,
        };
        let goes_on = matches!(got, Got::Answer { is_whole: true, .. });
        let ended_at = self.record.now();
        self.record.end(Outcome { id, kind, router, sent_at, ended_at, got });
        goes_on
    }

    fn judge(&self, reply: &Reply, kind: Kind, id: &str) -> Got {
        let status = reply.status();
        let mut is_own = status != 200 || is_own(reply, kind, id);
        let mut text = reply.text();
        match self.record.plant {
            Some(Plant::ForeignAnswer) => is_own &= !self.count.is_multiple_of(50),
            Some(Plant::HalfAnswer) if status == 200 => text.truncate(text.len() / 2),
            _ => {}
        }
        let is_told_whole = reply.body.is_whole;
        if status == 200 && !kind.is_stream() && is_told_whole {
            is_own &= text == body_of(id);
        }
        Got::Answer { status, is_own, is_whole: is_told_whole, events: events(&text) }
    }

    /// Looks for the route of the newest version at one router, again and again.
    async fn look(mut self, router: usize, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(LOOK_PAUSE).await;
            let version = self.version.load(Ordering::Relaxed);
            let start = self.starts[router].load(Ordering::Relaxed) as u32;
            let Ok(mut connection) = Connection::open(self.routers[router]).await else { continue };
            self.count += 1;
            let id = format!("l{}n{}", self.number, self.count);
            let call = Call::new("GET", HOST, &format!("{}look", route_of(version)), &id)
                .key(KEY)
                .with("X-Deadline-Ms", "1000");
            let sent_at = self.record.now();
            let replied = tokio::time::timeout(DEADLINE, connection.call(&call)).await;
            let Ok(Ok(Some(reply))) = replied else { continue };
            // A router that knows no configuration yet says 503.
            let is_known = match reply.status() {
                404 => false,
                200 => true,
                _ => continue,
            };
            let is_planted = self.record.plant == Some(Plant::OlderConfiguration)
                && self.count.is_multiple_of(20);
            let is_known = is_known && !is_planted;
            let ended_at = self.record.now();
            let look = Look { router, start, version, is_known, sent_at, ended_at };
            self.record.seen().looks.push(look);
        }
    }
}

fn call_of(kind: Kind, id: &str, chat: u32) -> Call {
    let method = if kind == Kind::Read { "GET" } else { "POST" };
    let call = Call::new(method, HOST, &format!("{}a", kind.prefix()), id)
        .key(KEY)
        .with("X-Deadline-Ms", &DEADLINE.as_millis().to_string());
    if !kind.is_stream() {
        return call;
    }
    call.with("X-Model", "m")
        .with("X-Token-Usage", "1000,50")
        .with("X-Prompt-Prefix", &format!("a:100,{:x}:800,{:x}:100", chat + 16, chat + 4_096))
        .body("Which verse is older?")
}

fn is_own(reply: &Reply, kind: Kind, id: &str) -> bool {
    let stamp = format!("stamp-{id}");
    let text = reply.text();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut foreign = data.filter(|data| !data.starts_with(&format!("{id}-")));
    reply.head.header("x-request-id") == Some(id)
        && reply.head.header("x-server-stamp") == Some(&stamp)
        && (!kind.is_stream() || foreign.next().is_none())
}

fn events(text: &str) -> Vec<u32> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Checks that every router serves every kind of request once all faults are over, by the newest
/// configuration.
pub(super) async fn check_recovery(fleet: &SoakFleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (number, router) in fleet.routers.iter().enumerate() {
        for (count, kind) in Kind::ALL.into_iter().cycle().take(4 * LAST_REQUESTS).enumerate() {
            let id = format!("last{number}n{count}");
            let call = call_of(kind, &id, count as u32);
            let reply = crate::caller::call(router.process.callers(), &call).await;
            let is_served = reply.is_ok_and(|reply| {
                let is_whole =
                    !kind.is_stream() || events(&reply.text()).len() == event_count(&id) as usize;
                reply.status() == 200 && reply.body.is_whole && is_whole
            });
            if !is_served {
                let what = format!("router-{number} did not serve {id} ({kind:?})");
                findings.push(Finding::new("recovery", what));
            }
        }
        let newest = fleet.version.load(Ordering::Relaxed);
        let call = Call::new("GET", HOST, &format!("{}last", route_of(newest)), "newest").key(KEY);
        let reply = crate::caller::call(router.process.callers(), &call).await;
        if !reply.is_ok_and(|reply| reply.status() == 200) {
            let what = format!("router-{number} does not know version {newest}");
            findings.push(Finding::new("recovery", what));
        }
    }
    findings
}
