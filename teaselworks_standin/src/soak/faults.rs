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

use super::fleet::{DRAINING_BOUND, REPLICA_COUNT, ReplicaMode, STOP_GRACE, SoakFleet};
use super::record::{Bug, Recorder};
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};
use crate::store::Mode;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Longest pause between the starts of two faults.
const MAX_FAULT_PAUSE_MS: u64 = 900;
/// Length of a time with planned work alone, and of one with every fault.
const PLANNED_ONLY_PHASE: Duration = Duration::from_secs(9);
const ALL_FAULTS_PHASE: Duration = Duration::from_secs(12);
/// Time for which stalled connections may be taken to work.
const STALL_EFFECT: Duration = Duration::from_secs(5);
/// Time in which a killed process is down at the most.
const MAX_DOWN_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
enum Link {
    Store(usize),
    Replica(usize),
}

/// One fault, planned or not.
#[derive(Clone, Copy, Debug)]
enum Fault {
    StopRouter(usize),
    ReloadSettings(usize),
    PublishConfiguration,
    ReplaceReplica(usize),
    KillRouter(usize),
    SuspendRouter(usize),
    DisruptStore(Mode),
    CompactStore,
    CorruptEntry(usize),
    RestartReplica(usize),
    DegradeReplica(usize, ReplicaMode),
    FreezeLink(Link, bool, bool),
    DelayLink(Link, u64),
    RefuseConnects(Link),
    CutConnections(Link),
    StallConnections(Link),
}

impl Fault {
    fn random_planned(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..4) {
            0 => Fault::StopRouter(router),
            1 => Fault::ReloadSettings(router),
            2 => Fault::PublishConfiguration,
            _ => Fault::ReplaceReplica(random.random_range(0..REPLICA_COUNT)),
        }
    }

    fn random_any(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        let replica = random.random_range(0..REPLICA_COUNT);
        let link = if random.random() { Link::Store(router) } else { Link::Replica(replica) };
        let mode = if random.random() { Mode::Busy } else { Mode::Silent };
        match random.random_range(0..16) {
            0..3 => Self::random_planned(fleet, random),
            3 => Fault::KillRouter(router),
            4 => Fault::SuspendRouter(router),
            5 => Fault::DisruptStore(mode),
            6 => Fault::CompactStore,
            7 => Fault::CorruptEntry(replica),
            8 => Fault::RestartReplica(replica),
            9 | 10 => Fault::DegradeReplica(
                replica,
                ReplicaMode::FAULTY[random.random_range(0..ReplicaMode::FAULTY.len())],
            ),
            11 => Fault::FreezeLink(link, random.random(), random.random()),
            12 => Fault::DelayLink(link, random.random_range(20..300)),
            13 => Fault::RefuseConnects(link),
            14 => Fault::CutConnections(link),
            _ => Fault::StallConnections(link),
        }
    }

    fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopRouter(_)
                | Fault::ReloadSettings(_)
                | Fault::PublishConfiguration
                | Fault::ReplaceReplica(_)
        )
    }

    /// Returns what only one fault at a time may act on.
    fn target(self) -> String {
        match self {
            Fault::StopRouter(router)
            | Fault::ReloadSettings(router)
            | Fault::KillRouter(router)
            | Fault::SuspendRouter(router) => router_target(router),
            Fault::ReplaceReplica(replica)
            | Fault::CorruptEntry(replica)
            | Fault::RestartReplica(replica)
            | Fault::DegradeReplica(replica, _) => format!("replica-{replica}"),
            Fault::PublishConfiguration | Fault::CompactStore => "operator".to_owned(),
            Fault::DisruptStore(_) => "store".to_owned(),
            Fault::FreezeLink(link, ..)
            | Fault::DelayLink(link, _)
            | Fault::RefuseConnects(link)
            | Fault::CutConnections(link)
            | Fault::StallConnections(link) => format!("{link:?}"),
        }
    }

    fn duration(self, random: &mut Pcg32) -> Duration {
        match self {
            Fault::StopRouter(_) => STOP_GRACE,
            Fault::ReplaceReplica(_) => DRAINING_BOUND + Duration::from_millis(1_500),
            Fault::ReloadSettings(_)
            | Fault::PublishConfiguration
            | Fault::CompactStore
            | Fault::CutConnections(_) => TICK,
            Fault::CorruptEntry(_) => Duration::from_millis(1_200),
            Fault::RestartReplica(_) => Duration::from_millis(300),
            Fault::StallConnections(_) => STALL_EFFECT,
            Fault::KillRouter(_) => Duration::from_millis(random.random_range(100..MAX_DOWN_MS)),
            _ => Duration::from_millis(random.random_range(300..4_000)),
        }
    }
}

fn router_target(router: usize) -> String {
    format!("router-{router}")
}

struct ActiveFault {
    fault: Fault,
    until: Duration,
    span: usize,
}

/// Plays faults for a time; returns those that were started.
pub(super) async fn inject(
    fleet: &mut SoakFleet,
    recorder: &Arc<Recorder>,
    duration: Duration,
    random: &mut Pcg32,
) -> Result<Vec<(Duration, String)>, Box<dyn Error>> {
    let started_at = recorder.now();
    let mut injected = Vec::new();
    let mut active_faults: Vec<ActiveFault> = Vec::new();
    let mut next_at = Duration::ZERO;
    loop {
        let now = recorder.now();
        let elapsed = now - started_at;
        let is_over = elapsed >= duration;
        let (due, remaining) =
            active_faults.into_iter().partition(|active| is_over || active.until <= now);
        active_faults = remaining;
        for active in Vec::<ActiveFault>::into_iter(due) {
            if let Fault::StopRouter(_) = active.fault {
                // A planned stop has its whole grace period, also at the end.
                tokio::time::sleep(active.until.saturating_sub(recorder.now())).await;
            }
            end(fleet, active.fault).await?;
            recorder.end_span(active.span);
        }
        if is_over {
            return Ok(injected);
        }
        restart_exited_routers(fleet, recorder, &active_faults).await?;
        if recorder.simulated_bug == Some(Bug::UnexpectedExit) && injected.len() == 3 {
            fleet.routers[0].process.signal(Signal::SIGKILL)?;
        }
        if elapsed >= next_at {
            next_at = elapsed + Duration::from_millis(random.random_range(50..MAX_FAULT_PAUSE_MS));
            let is_planned_only = elapsed.as_secs_f64()
                % (PLANNED_ONLY_PHASE + ALL_FAULTS_PHASE).as_secs_f64()
                < PLANNED_ONLY_PHASE.as_secs_f64();
            let fault = if is_planned_only {
                Fault::random_planned(fleet, random)
            } else {
                Fault::random_any(fleet, random)
            };
            let until = now + fault.duration(random);
            let busy_targets: HashSet<String> =
                active_faults.iter().map(|active| active.fault.target()).collect();
            if !busy_targets.contains(&fault.target()) && is_allowed(fault, &active_faults) {
                let stopped_router =
                    if let Fault::StopRouter(router) = fault { Some(router) } else { None };
                let span = recorder.begin_span(stopped_router, fault.is_planned());
                begin(fleet, recorder, fault).await?;
                injected.push((elapsed, format!("{fault:?}")));
                active_faults.push(ActiveFault { fault, until, span });
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Notes routers that ended by themselves, and starts them again as the platform does.
async fn restart_exited_routers(
    fleet: &mut SoakFleet,
    recorder: &Recorder,
    active_faults: &[ActiveFault],
) -> Result<(), Box<dyn Error>> {
    for (number, router) in fleet.routers.iter_mut().enumerate() {
        let target = router_target(number);
        let is_expected = active_faults.iter().any(|active| active.fault.target() == target);
        if is_expected || !router.process.has_ended()? {
            continue;
        }
        recorder.observations().unexpected_exits.push((number, recorder.now()));
        router.process.ended().await?;
        router.restart_count.fetch_add(1, Ordering::Relaxed);
        router.process.spawn()?;
        tokio::time::sleep(TICK).await;
    }
    Ok(())
}

/// Replicas are replaced one at a time, so that their numbers hold.
fn is_allowed(fault: Fault, active_faults: &[ActiveFault]) -> bool {
    let is_replacing =
        active_faults.iter().any(|active| matches!(active.fault, Fault::ReplaceReplica(_)));
    !(is_replacing && matches!(fault, Fault::ReplaceReplica(_)))
}

fn proxy(fleet: &SoakFleet, link: Link) -> &Proxy {
    match link {
        Link::Store(router) => &fleet.routers[router].store_proxy,
        Link::Replica(replica) => &fleet.replicas[replica].proxy,
    }
}

async fn begin(
    fleet: &mut SoakFleet,
    recorder: &Recorder,
    fault: Fault,
) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::StopRouter(router) => fleet.routers[router].process.signal(Signal::SIGTERM)?,
        Fault::ReloadSettings(router) => fleet.routers[router].process.signal(Signal::SIGHUP)?,
        Fault::KillRouter(router) => fleet.routers[router].process.signal(Signal::SIGKILL)?,
        Fault::SuspendRouter(router) => fleet.routers[router].process.signal(Signal::SIGSTOP)?,
        Fault::PublishConfiguration => fleet.publish_next_version(),
        Fault::ReplaceReplica(number) => {
            let service = fleet.replicas[number].service;
            fleet.add_replica(service)?;
            let replica = &fleet.replicas[number];
            fleet.list(replica, "draining");
            let is_falsified = recorder.simulated_bug == Some(Bug::RequestsAfterDrain);
            let backdating = if is_falsified { 2 * DRAINING_BOUND } else { Duration::ZERO };
            let at = recorder.now().saturating_sub(backdating);
            recorder.observations().drained.push((replica.upstream.id.clone(), at));
        }
        Fault::DisruptStore(mode) => fleet.store.set_mode(mode),
        Fault::CompactStore => fleet.store.compact(),
        Fault::CorruptEntry(replica) => {
            let key = format!("servers/{}", fleet.replicas[replica].upstream.id);
            fleet.store.put(&key, b"{\"service\": 7");
        }
        Fault::RestartReplica(replica) => fleet.replicas[replica].upstream.restart().await?,
        Fault::DegradeReplica(replica, mode) => fleet.replicas[replica].set_mode(mode),
        Fault::FreezeLink(link, forward, backward) => proxy(fleet, link).set_faults(|faults| {
            faults.forward.frozen = forward;
            // One direction at least stands still.
            faults.backward.frozen = backward || !forward;
        }),
        Fault::DelayLink(link, delay_ms) => proxy(fleet, link).set_faults(|faults| {
            let delay = Duration::from_millis(delay_ms);
            faults.forward = DirectionFaults { delay, ..DirectionFaults::default() };
            faults.backward = faults.forward.clone();
        }),
        Fault::RefuseConnects(link) => proxy(fleet, link).set_faults(|faults| faults.refuse = true),
        Fault::CutConnections(link) => proxy(fleet, link).cut(),
        Fault::StallConnections(link) => proxy(fleet, link).stall(),
    }
    Ok(())
}

async fn end(fleet: &mut SoakFleet, fault: Fault) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::StopRouter(router) | Fault::KillRouter(router) => {
            let router = &mut fleet.routers[router];
            // What is left after its grace period is killed, as the platform does.
            router.process.signal(Signal::SIGKILL)?;
            router.process.ended().await?;
            router.restart_count.fetch_add(1, Ordering::Relaxed);
            router.process.spawn()?;
            // Until it runs code of its own, a process is ended by any signal.
            tokio::time::sleep(TICK).await;
        }
        Fault::SuspendRouter(router) => fleet.routers[router].process.signal(Signal::SIGCONT)?,
        Fault::ReplaceReplica(number) => {
            // The new replica takes its place, so that numbers of replicas hold.
            let removed = fleet.replicas.swap_remove(number);
            fleet.unlist(&removed.upstream.id);
        }
        Fault::DisruptStore(_) => fleet.store.set_mode(Mode::Serving),
        Fault::CorruptEntry(replica) | Fault::RestartReplica(replica) => {
            fleet.list(&fleet.replicas[replica], "ready");
        }
        Fault::DegradeReplica(replica, _) => fleet.replicas[replica].set_mode(ReplicaMode::Healthy),
        Fault::FreezeLink(link, ..) | Fault::DelayLink(link, _) | Fault::RefuseConnects(link) => {
            proxy(fleet, link).set_faults(|faults| *faults = ProxyFaults::default());
        }
        Fault::ReloadSettings(_)
        | Fault::PublishConfiguration
        | Fault::CompactStore
        | Fault::CutConnections(_)
        | Fault::StallConnections(_) => {}
    }
    Ok(())
}
