//! The fleet of a soak: a store, replicas and router processes, each reached through a proxy.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::record::{Plant, Record};
use crate::configuration::{ARCHIVE, CHAT, Plan, entry};
use crate::proxy::{Proxy, ProxyFaults};
use crate::router::{Program, Router};
use crate::store::{Mode, Store};
use crate::upstream::{Script, Seen, Step, Upstream, answer, chunk, stream_head};

/// Replicas of each service.
const REPLICAS: usize = 3;
/// Replicas beside those that are being replaced.
pub(super) const REPLICA_COUNT: usize = 2 * REPLICAS;
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Bound on repeats that the routers are given: ratio, slack and window.
pub(super) const RETRY_RATIO: f64 = 0.2;
pub(super) const RETRY_SLACK: u32 = 12;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time within which a draining replica gets nothing new.
pub(super) const DRAINING: Duration = Duration::from_secs(2);
/// Time for which a stopping router may go on.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(8);

/// How a replica answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Mood {
    /// As it should.
    #[default]
    Well,
    /// It runs requests and resets their connections.
    LosesAnswers,
    /// It runs requests and says nothing.
    Mute,
    /// It turns requests away.
    Sheds,
    /// It sends a second answer after each.
    AnswersTwice,
    /// It breaks streams off, and ends answers early.
    BreaksOff,
}

impl Mood {
    pub(super) const ILL: [Mood; 5] =
        [Mood::LosesAnswers, Mood::Mute, Mood::Sheds, Mood::AnswersTwice, Mood::BreaksOff];
}

/// A replica and the way to it.
pub(super) struct Replica {
    pub(super) upstream: Upstream,
    pub(super) proxy: Proxy,
    pub(super) service: &'static str,
    mood: Arc<Mutex<Mood>>,
}

impl Replica {
    fn start(id: &str, service: &'static str, record: &Arc<Record>) -> std::io::Result<Self> {
        let mood = Arc::new(Mutex::new(Mood::default()));
        let (now, record, name) = (mood.clone(), record.clone(), id.to_owned());
        let upstream = Upstream::start(id, move |seen| {
            let mood = *now.lock().expect("the lock is never poisoned");
            let script = script(seen, service, mood, record.plant);
            record.arrive(seen.id(), &name, script.runs);
            script
        })?;
        let proxy = Proxy::start(upstream.address())?;
        Ok(Self { upstream, proxy, service, mood })
    }

    pub(super) fn set_mood(&self, mood: Mood) {
        *self.mood.lock().expect("the lock is never poisoned") = mood;
    }
}

/// Returns the number of events of a request's stream.
pub(super) fn event_count(id: &str) -> u32 {
    3 + id.bytes().map(u32::from).sum::<u32>() % 12
}

/// Returns the body of a request's answer.
pub(super) fn body_of(id: &str) -> String {
    format!("a verse for {id}")
}

fn event_of(id: &str, number: u32) -> Vec<u8> {
    chunk(&format!("id: {number}\ndata: {id}-{number}\n\n"))
}

fn script(seen: &Seen, service: &str, mood: Mood, plant: Option<Plant>) -> Script {
    let id = seen.id();
    let is_shed = plant == Some(Plant::RunsRefused) && event_count(id) == 3;
    if mood == Mood::Sheds || is_shed {
        return Script::rejected(seen);
    }
    let mut steps = Vec::new();
    if service == ARCHIVE {
        steps.push(Step::Pause(EVENT_GAP));
        steps.push(Step::Write(answer(id, 200, &body_of(id))));
    } else {
        let last = seen.head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        steps.push(Step::Write(stream_head(id)));
        for number in last + 1..=event_count(id) {
            if plant == Some(Plant::MissingEvent) && number == 2 {
                continue;
            }
            steps.push(Step::Pause(EVENT_GAP));
            steps.push(Step::Write(event_of(id, number)));
        }
        steps.push(Step::Write(b"0\r\n\r\n".to_vec()));
    }
    match mood {
        Mood::Well | Mood::Sheds => {}
        Mood::LosesAnswers => steps = vec![Step::Pause(EVENT_GAP), Step::Reset],
        Mood::Mute => steps = vec![Step::Silence],
        Mood::AnswersTwice => steps.push(Step::Write(answer(id, 200, &body_of(id)))),
        Mood::BreaksOff => {
            steps.truncate(3);
            if let Some(Step::Write(bytes)) = steps.last_mut() {
                bytes.truncate(bytes.len() / 2);
            }
            steps.push(Step::Reset);
        }
    }
    Script::of(steps)
}

/// A router process and the way from it to the store.
pub(super) struct SoakRouter {
    pub(super) process: Router,
    pub(super) store: Proxy,
    pub(super) starts: Arc<AtomicU64>,
}

/// The fleet.
pub(super) struct SoakFleet {
    pub(super) store: Store,
    pub(super) replicas: Vec<Replica>,
    pub(super) routers: Vec<SoakRouter>,
    pub(super) plan: Plan,
    /// The version that was published last, for those that look for its route.
    pub(super) version: Arc<AtomicU64>,
    record: Arc<Record>,
    next_replica: usize,
}

impl SoakFleet {
    pub(super) async fn start(
        program: Program,
        routers: usize,
        record: &Arc<Record>,
    ) -> Result<Self, Box<dyn Error>> {
        let mut fleet = Self {
            store: Store::start()?,
            replicas: Vec::new(),
            routers: Vec::new(),
            plan: Plan::default(),
            version: Arc::new(AtomicU64::new(1)),
            record: record.clone(),
            next_replica: 0,
        };
        fleet.publish();
        for service in [ARCHIVE, CHAT] {
            for _ in 0..REPLICAS {
                fleet.add_replica(service)?;
            }
        }
        let bounds = json!({
            "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK,
            "retry_window_s": RETRY_WINDOW.as_secs(), "draining_ms": DRAINING.as_millis() as u64,
            "stop_grace_s": STOP_GRACE.as_secs(),
        });
        for number in 0..routers {
            let store = Proxy::start(fleet.store.address())?;
            let seeds: Vec<SocketAddr> =
                fleet.routers.iter().map(|router| router.process.peers()).collect();
            let name = format!("router-{number}");
            let address = store.address();
            let process = Router::start(program.clone(), &name, address, &seeds, &bounds)?;
            fleet.routers.push(SoakRouter { process, store, starts: Arc::default() });
        }
        for router in &fleet.routers {
            router.process.ready().await?;
        }
        Ok(fleet)
    }

    /// Publishes a configuration with a route of its own version.
    pub(super) fn publish(&mut self) {
        self.plan.next_version();
        let version = self.plan.value["version"].as_u64().unwrap_or_default();
        self.plan.route(&route_of(version), "safe", ARCHIVE, 2);
        self.store.put_json("op/config", &self.plan.value);
        self.version.store(version, Ordering::Relaxed);
    }

    pub(super) fn add_replica(&mut self, service: &'static str) -> std::io::Result<()> {
        self.next_replica += 1;
        let id = format!("{service}-{}", self.next_replica);
        let replica = Replica::start(&id, service, &self.record)?;
        self.list(&replica, "ready");
        self.replicas.push(replica);
        Ok(())
    }

    /// Writes the entry of a replica.
    pub(super) fn list(&self, replica: &Replica, state: &str) {
        let entry = entry(&replica.upstream, replica.proxy.address(), replica.service, state);
        self.store.put_json(&format!("servers/{}", replica.upstream.id), &entry);
    }

    /// Removes the entry of a replica.
    pub(super) fn unlist(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Ends every fault that lasts, and starts what was killed.
    pub(super) async fn mend(&mut self) -> Result<(), Box<dyn Error>> {
        self.store.set_mode(Mode::Serving);
        for replica in &self.replicas {
            replica.proxy.set_faults(|faults| *faults = ProxyFaults::default());
            replica.proxy.cut();
            replica.set_mood(Mood::Well);
            self.list(replica, "ready");
        }
        for router in &mut self.routers {
            router.store.set_faults(|faults| *faults = ProxyFaults::default());
            router.store.cut();
            router.process.signal(Signal::SIGCONT)?;
        }
        for router in &self.routers {
            router.process.ready().await?;
        }
        Ok(())
    }
}

/// Returns the prefix of the route that came with a version.
pub(super) fn route_of(version: u64) -> String {
    format!("/version-{version}/")
}
