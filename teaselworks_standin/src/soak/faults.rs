//! Faults from outside the processes, in overlapping series: through proxies, signals, the store,
//! replicas and the operator.

use std::collections::HashSet;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::fleet::{DRAINING, Mood, REPLICA_COUNT, STOP_GRACE, SoakFleet};
use super::record::{Plant, Record};
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};
use crate::store::Mode;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Longest pause between the starts of two faults.
const PAUSE_MAX_MS: u64 = 900;
/// Length of a time with planned work alone, and of one with every fault.
const CALM: Duration = Duration::from_secs(9);
const STORM: Duration = Duration::from_secs(12);
/// Time for which stalled connections may be taken to work.
const STALL_FELT: Duration = Duration::from_secs(5);
/// Time in which a killed process is down at the most.
const DOWN_MAX_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
enum Path {
    Store(usize),
    Replica(usize),
}

/// One fault, planned or not.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Stop(usize),
    Reload(usize),
    Publish,
    Replace(usize),
    Kill(usize),
    Pause(usize),
    Away(Mode),
    Compact,
    Overwrite(usize),
    Restart(usize),
    Ill(usize, Mood),
    Freeze(Path, bool, bool),
    Delay(Path, u64),
    Refuse(Path),
    Cut(Path),
    Stall(Path),
}

impl Fault {
    fn planned(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..4) {
            0 => Fault::Stop(router),
            1 => Fault::Reload(router),
            2 => Fault::Publish,
            _ => Fault::Replace(random.random_range(0..REPLICA_COUNT)),
        }
    }

    fn any(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        let replica = random.random_range(0..REPLICA_COUNT);
        let path = if random.random() { Path::Store(router) } else { Path::Replica(replica) };
        let mode = if random.random() { Mode::Busy } else { Mode::Silent };
        match random.random_range(0..16) {
            0..3 => Self::planned(fleet, random),
            3 => Fault::Kill(router),
            4 => Fault::Pause(router),
            5 => Fault::Away(mode),
            6 => Fault::Compact,
            7 => Fault::Overwrite(replica),
            8 => Fault::Restart(replica),
            9 | 10 => Fault::Ill(replica, Mood::ILL[random.random_range(0..Mood::ILL.len())]),
            11 => Fault::Freeze(path, random.random(), random.random()),
            12 => Fault::Delay(path, random.random_range(20..300)),
            13 => Fault::Refuse(path),
            14 => Fault::Cut(path),
            _ => Fault::Stall(path),
        }
    }

    fn is_planned(self) -> bool {
        matches!(self, Fault::Stop(_) | Fault::Reload(_) | Fault::Publish | Fault::Replace(_))
    }

    /// Returns what only one fault at a time may act on.
    fn target(self) -> String {
        match self {
            Fault::Stop(router)
            | Fault::Reload(router)
            | Fault::Kill(router)
            | Fault::Pause(router) => router_target(router),
            Fault::Replace(replica)
            | Fault::Overwrite(replica)
            | Fault::Restart(replica)
            | Fault::Ill(replica, _) => format!("replica-{replica}"),
            Fault::Publish | Fault::Compact => "operator".to_owned(),
            Fault::Away(_) => "store".to_owned(),
            Fault::Freeze(path, ..)
            | Fault::Delay(path, _)
            | Fault::Refuse(path)
            | Fault::Cut(path)
            | Fault::Stall(path) => format!("{path:?}"),
        }
    }

    fn length(self, random: &mut Pcg32) -> Duration {
        match self {
            Fault::Stop(_) => STOP_GRACE,
            Fault::Replace(_) => DRAINING + Duration::from_millis(1_500),
            Fault::Reload(_) | Fault::Publish | Fault::Compact | Fault::Cut(_) => TICK,
            Fault::Overwrite(_) => Duration::from_millis(1_200),
            Fault::Restart(_) => Duration::from_millis(300),
            Fault::Stall(_) => STALL_FELT,
            Fault::Kill(_) => Duration::from_millis(random.random_range(100..DOWN_MAX_MS)),
            _ => Duration::from_millis(random.random_range(300..4_000)),
        }
    }
}

fn router_target(router: usize) -> String {
    format!("router-{router}")
}

struct Active {
    fault: Fault,
    until: Duration,
    span: usize,
}

/// Plays faults for a time; returns those that were started.
pub(super) async fn play(
    fleet: &mut SoakFleet,
    record: &Arc<Record>,
    length: Duration,
    random: &mut Pcg32,
) -> Result<Vec<(Duration, String)>, Box<dyn Error>> {
    let began = record.now();
    let mut started = Vec::new();
    let mut active: Vec<Active> = Vec::new();
    let mut next_at = Duration::ZERO;
    loop {
        let now = record.now();
        let elapsed = now - began;
        let is_over = elapsed >= length;
        let (due, rest) = active.into_iter().partition(|one| is_over || one.until <= now);
        active = rest;
        for one in Vec::<Active>::into_iter(due) {
            if let Fault::Stop(_) = one.fault {
                // A planned stop has its whole grace period, also at the end.
                tokio::time::sleep(one.until.saturating_sub(record.now())).await;
            }
            end(fleet, one.fault).await?;
            record.close(one.span);
        }
        if is_over {
            return Ok(started);
        }
        restart_ended(fleet, record, &active).await?;
        if record.plant == Some(Plant::EndsByItself) && started.len() == 3 {
            fleet.routers[0].process.signal(Signal::SIGKILL)?;
        }
        if elapsed >= next_at {
            next_at = elapsed + Duration::from_millis(random.random_range(50..PAUSE_MAX_MS));
            let is_calm = elapsed.as_secs_f64() % (CALM + STORM).as_secs_f64() < CALM.as_secs_f64();
            let fault =
                if is_calm { Fault::planned(fleet, random) } else { Fault::any(fleet, random) };
            let until = now + fault.length(random);
            let busy: HashSet<String> = active.iter().map(|one| one.fault.target()).collect();
            if !busy.contains(&fault.target()) && is_allowed(fault, &active) {
                let stops = if let Fault::Stop(router) = fault { Some(router) } else { None };
                let span = record.open(stops, fault.is_planned());
                begin(fleet, record, fault).await?;
                started.push((elapsed, format!("{fault:?}")));
                active.push(Active { fault, until, span });
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Notes routers that ended by themselves, and starts them again as the platform does.
async fn restart_ended(
    fleet: &mut SoakFleet,
    record: &Record,
    active: &[Active],
) -> Result<(), Box<dyn Error>> {
    for (number, router) in fleet.routers.iter_mut().enumerate() {
        let target = router_target(number);
        let is_expected = active.iter().any(|one| one.fault.target() == target);
        if is_expected || !router.process.has_ended()? {
            continue;
        }
        record.seen().ended.push((number, record.now()));
        router.process.ended().await?;
        router.starts.fetch_add(1, Ordering::Relaxed);
        router.process.spawn()?;
        tokio::time::sleep(TICK).await;
    }
    Ok(())
}

/// Replicas are replaced one at a time, so that their numbers hold.
fn is_allowed(fault: Fault, active: &[Active]) -> bool {
    let is_replaced = active.iter().any(|one| matches!(one.fault, Fault::Replace(_)));
    !(is_replaced && matches!(fault, Fault::Replace(_)))
}

fn proxy(fleet: &SoakFleet, path: Path) -> &Proxy {
    match path {
        Path::Store(router) => &fleet.routers[router].store,
        Path::Replica(replica) => &fleet.replicas[replica].proxy,
    }
}

async fn begin(fleet: &mut SoakFleet, record: &Record, fault: Fault) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::Stop(router) => fleet.routers[router].process.signal(Signal::SIGTERM)?,
        Fault::Reload(router) => fleet.routers[router].process.signal(Signal::SIGHUP)?,
        Fault::Kill(router) => fleet.routers[router].process.signal(Signal::SIGKILL)?,
        Fault::Pause(router) => fleet.routers[router].process.signal(Signal::SIGSTOP)?,
        Fault::Publish => fleet.publish(),
        Fault::Replace(number) => {
            let service = fleet.replicas[number].service;
            fleet.add_replica(service)?;
            let replica = &fleet.replicas[number];
            fleet.list(replica, "draining");
            let is_planted = record.plant == Some(Plant::LateDrain);
            let early = if is_planted { 2 * DRAINING } else { Duration::ZERO };
            let at = record.now().saturating_sub(early);
            record.seen().drained.push((replica.upstream.id.clone(), at));
        }
        Fault::Away(mode) => fleet.store.set_mode(mode),
        Fault::Compact => fleet.store.compact(),
        Fault::Overwrite(replica) => {
            let key = format!("servers/{}", fleet.replicas[replica].upstream.id);
            fleet.store.put(&key, b"{\"service\": 7");
        }
        Fault::Restart(replica) => fleet.replicas[replica].upstream.restart().await?,
        Fault::Ill(replica, mood) => fleet.replicas[replica].set_mood(mood),
        Fault::Freeze(path, forward, backward) => proxy(fleet, path).set_faults(|faults| {
            faults.forward.frozen = forward;
            // One direction at least stands still.
            faults.backward.frozen = backward || !forward;
        }),
        Fault::Delay(path, delay_ms) => proxy(fleet, path).set_faults(|faults| {
            let delay = Duration::from_millis(delay_ms);
            faults.forward = DirectionFaults { delay, ..DirectionFaults::default() };
            faults.backward = faults.forward.clone();
        }),
        Fault::Refuse(path) => proxy(fleet, path).set_faults(|faults| faults.refuse = true),
        Fault::Cut(path) => proxy(fleet, path).cut(),
        Fault::Stall(path) => proxy(fleet, path).stall(),
    }
    Ok(())
}

async fn end(fleet: &mut SoakFleet, fault: Fault) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::Stop(router) | Fault::Kill(router) => {
            let router = &mut fleet.routers[router];
            // What is left after its grace period is killed, as the platform does.
            router.process.signal(Signal::SIGKILL)?;
            router.process.ended().await?;
            router.starts.fetch_add(1, Ordering::Relaxed);
            router.process.spawn()?;
            // Until it runs code of its own, a process is ended by any signal.
            tokio::time::sleep(TICK).await;
        }
        Fault::Pause(router) => fleet.routers[router].process.signal(Signal::SIGCONT)?,
        Fault::Replace(number) => {
            // The new replica takes its place, so that numbers of replicas hold.
            let gone = fleet.replicas.swap_remove(number);
            fleet.unlist(&gone.upstream.id);
        }
        Fault::Away(_) => fleet.store.set_mode(Mode::Serving),
        Fault::Overwrite(replica) | Fault::Restart(replica) => {
            fleet.list(&fleet.replicas[replica], "ready");
        }
        Fault::Ill(replica, _) => fleet.replicas[replica].set_mood(Mood::Well),
        Fault::Freeze(path, ..) | Fault::Delay(path, _) | Fault::Refuse(path) => {
            proxy(fleet, path).set_faults(|faults| *faults = ProxyFaults::default());
        }
        Fault::Reload(_) | Fault::Publish | Fault::Compact | Fault::Cut(_) | Fault::Stall(_) => {}
    }
    Ok(())
}
