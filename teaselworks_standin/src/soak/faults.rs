//! Injects overlapping faults from outside the router processes: through the proxies, signals, the
//! store, the replicas and the operator. Planned operations, such as the stop of a router or a new
//! configuration, are injected in the same way.

use std::collections::HashSet;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::fleet::{DRAINING_BOUND, REPLICA_COUNT, REST, ReplicaMode, STOP_GRACE, SoakFleet};
use super::record::{Bug, PartitionSpan, Recorder};
use crate::links::Partition;
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};
use crate::store::Mode;

/// Interval at which the loop of [`inject`] begins and ends faults that are due. It is also the
/// recorded duration of faults that take effect at once, and the time given to a new process to
/// install its signal handlers.
const LOOP_INTERVAL: Duration = Duration::from_millis(50);
/// Longest pause between the starts of two faults.
const MAX_FAULT_PAUSE_MS: u64 = 900;
/// Length of a phase in which routers are cut off from all replicas and nothing else fails. It is
/// followed by [`PLANNED_ONLY_PHASE`] and [`ALL_FAULTS_PHASE`], and then begins again.
const CUTS_PHASE: Duration = Duration::from_secs(9);
/// Length of a phase with planned operations only.
const PLANNED_ONLY_PHASE: Duration = Duration::from_secs(12);
/// Limit on the time for which routers are cut off from all replicas.
const MAX_CUT_MS: u64 = 7_000;
/// Length of a phase with every kind of fault.
const ALL_FAULTS_PHASE: Duration = Duration::from_secs(12);
/// Recorded duration of a stall: the time for which routers may still use stalled connections
/// because they take them for working ones.
const STALL_DURATION: Duration = Duration::from_secs(5);
/// Limit on the time from the kill of a router to its restart.
const MAX_DOWN_MS: u64 = 1_500;

/// Part of a soak, by the faults that it may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Cuts,
    PlannedOnly,
    AllFaults,
}

impl Phase {
    /// Returns the phase at a time since the start of the soak.
    fn at(elapsed: Duration) -> Self {
        let round_ms = (PLANNED_ONLY_PHASE + CUTS_PHASE + ALL_FAULTS_PHASE).as_millis();
        let in_round = Duration::from_millis((elapsed.as_millis() % round_ms) as u64);
        if in_round < CUTS_PHASE {
            Phase::Cuts
        } else if in_round < CUTS_PHASE + PLANNED_ONLY_PHASE {
            Phase::PlannedOnly
        } else {
            Phase::AllFaults
        }
    }
}

/// Returns the part of the first round that is skipped: a simulated bug other than that of the
/// first phase is violated, and reported, in the phase after it.
fn skipped_time(simulated_bug: Option<Bug>) -> Duration {
    match simulated_bug {
        None | Some(Bug::RefusalsByCutRouter) => Duration::ZERO,
        Some(_) => CUTS_PHASE,
    }
}

/// A connection path that leads through a proxy.
#[derive(Clone, Copy, Debug)]
enum Link {
    /// From the router with this index to the store.
    Store(usize),
    /// From all routers to the replica with this index.
    Replica(usize),
}

/// A fault or a planned operation. The `usize` values are indexes of routers or replicas in the
/// fleet.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Planned: stops a router with SIGTERM and starts it again after the stop's grace period.
    StopRouter(usize),
    /// Planned: tells a router with SIGHUP to reload its settings.
    ReloadSettings(usize),
    /// Planned: publishes a new version of the configuration.
    PublishConfiguration,
    /// Planned: adds a replica, lets another leave, and removes that one later. The boolean tells
    /// whether the one that leaves is listed as draining, or says so with its responses only.
    ReplaceReplica(usize, bool),
    /// Planned: a replica rejects some requests and asks for rest.
    RestReplica(usize),
    /// Cuts some routers, the given number from the given index on, off from all replicas.
    CutFromReplicas(usize, usize, Partition),
    /// Kills a router with SIGKILL and starts it again later.
    KillRouter(usize),
    /// Suspends a router with SIGSTOP and resumes it later with SIGCONT.
    SuspendRouter(usize),
    /// Sets a mode in which the store answers no call, or every call with 503.
    DisruptStore(Mode),
    /// Discards the history of the store.
    CompactStore,
    /// Overwrites a replica's entry in the store with malformed JSON.
    CorruptEntry(usize),
    /// Crashes a replica and starts it again at once. Its entry is updated later.
    RestartReplica(usize),
    /// Switches a replica to a faulty mode until the fault ends.
    DegradeReplica(usize, ReplicaMode),
    /// Holds back all bytes of a link until the fault ends. The booleans tell whether the forward
    /// and the backward direction are frozen; if both are false, the backward direction is.
    FreezeLink(Link, bool, bool),
    /// Delays both directions of a link by a number of milliseconds.
    DelayLink(Link, u64),
    /// Refuses new connections over a link.
    RefuseConnects(Link),
    /// Closes the open connections of a link.
    CutConnections(Link),
    /// Stalls the open connections of a link: until they are closed they carry no more data, also
    /// after the fault has ended. New connections work.
    StallConnections(Link),
}

impl Fault {
    /// Draws a planned operation.
    fn random_planned(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..5) {
            0 => Fault::StopRouter(router),
            1 => Fault::ReloadSettings(router),
            2 => Fault::PublishConfiguration,
            3 => Fault::RestReplica(random.random_range(0..REPLICA_COUNT)),
            _ => Fault::ReplaceReplica(random.random_range(0..REPLICA_COUNT), random.random()),
        }
    }

    /// Draws a cut of at least one router, and not of all, from all replicas, or a change that
    /// does not end a router.
    fn random_cut(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let routers = fleet.routers.len();
        let router = random.random_range(0..routers);
        match random.random_range(0..8) {
            0 => Fault::ReloadSettings(router),
            1 => Fault::PublishConfiguration,
            _ => {
                let count = random.random_range(1..routers.max(2));
                let partition = Partition::ALL[random.random_range(0..Partition::ALL.len())];
                Fault::CutFromReplicas(router, count, partition)
            }
        }
    }

    /// Draws a fault or a planned operation.
    fn random_any(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        let replica = random.random_range(0..REPLICA_COUNT);
        let link = if random.random() { Link::Store(router) } else { Link::Replica(replica) };
        let mode = if random.random() { Mode::Unavailable } else { Mode::Silent };
        match random.random_range(0..17) {
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
            15 => Self::random_cut(fleet, random),
            _ => Fault::StallConnections(link),
        }
    }

    fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopRouter(_)
                | Fault::ReloadSettings(_)
                | Fault::PublishConfiguration
                | Fault::ReplaceReplica(..)
                | Fault::RestReplica(_)
        )
    }

    /// Returns the name of the target on which the fault acts; only one fault at a time is active
    /// for a target. A new configuration and a compaction of the store share the target `operator`.
    fn target(self) -> String {
        match self {
            Fault::StopRouter(router)
            | Fault::ReloadSettings(router)
            | Fault::KillRouter(router)
            | Fault::SuspendRouter(router) => router_target(router),
            Fault::ReplaceReplica(replica, _)
            | Fault::RestReplica(replica)
            | Fault::CorruptEntry(replica)
            | Fault::RestartReplica(replica)
            | Fault::DegradeReplica(replica, _) => format!("replica-{replica}"),
            Fault::PublishConfiguration | Fault::CompactStore => "operator".to_owned(),
            Fault::DisruptStore(_) => "store".to_owned(),
            Fault::CutFromReplicas(..) => "links".to_owned(),
            Fault::FreezeLink(link, ..)
            | Fault::DelayLink(link, _)
            | Fault::RefuseConnects(link)
            | Fault::CutConnections(link)
            | Fault::StallConnections(link) => format!("{link:?}"),
        }
    }

    /// Returns how long the fault lasts, drawn at random for some faults.
    fn duration(self, random: &mut Pcg32) -> Duration {
        match self {
            Fault::StopRouter(_) => STOP_GRACE,
            Fault::ReplaceReplica(..) => DRAINING_BOUND + Duration::from_millis(1_500),
            Fault::RestReplica(_) => 2 * REST,
            Fault::CutFromReplicas(..) => {
                Duration::from_millis(random.random_range(5_000..MAX_CUT_MS))
            }
            Fault::ReloadSettings(_)
            | Fault::PublishConfiguration
            | Fault::CompactStore
            | Fault::CutConnections(_) => LOOP_INTERVAL,
            Fault::CorruptEntry(_) => Duration::from_millis(1_200),
            Fault::RestartReplica(_) => Duration::from_millis(300),
            Fault::StallConnections(_) => STALL_DURATION,
            Fault::KillRouter(_) => Duration::from_millis(random.random_range(100..MAX_DOWN_MS)),
            _ => Duration::from_millis(random.random_range(300..4_000)),
        }
    }
}

fn router_target(router: usize) -> String {
    format!("router-{router}")
}

/// A fault that has begun and not ended.
struct ActiveFault {
    fault: Fault,
    /// When the fault is due to end, by the clock of the [`Recorder`].
    until: Duration,
    /// Index of the fault's [`FaultSpan`](super::record::FaultSpan) in the observations.
    span: usize,
}

/// Injects random faults for `duration` and ends them. Returns the faults with the time at which
/// each began, counted from the start of this call.
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
                // A router that was told to stop keeps its whole grace period, also when the
                // injection of faults is over.
                tokio::time::sleep(active.until.saturating_sub(recorder.now())).await;
            }
            end(fleet, active.fault).await?;
            recorder.end_span(active.span);
        }
        if is_over {
            return Ok(injected);
        }
        restart_exited_routers(fleet, recorder, &active_faults).await?;
        // To simulate the bug, kills router 0 after the third fault until an exit was noticed.
        if recorder.simulated_bug == Some(Bug::UnexpectedExit)
            && injected.len() >= 3
            && recorder.observations().unexpected_exits.is_empty()
        {
            fleet.routers[0].process.signal(Signal::SIGKILL)?;
        }
        if elapsed >= next_at {
            next_at = elapsed + Duration::from_millis(random.random_range(50..MAX_FAULT_PAUSE_MS));
            let fault = match Phase::at(elapsed + skipped_time(recorder.simulated_bug)) {
                Phase::PlannedOnly => Fault::random_planned(fleet, random),
                Phase::Cuts => Fault::random_cut(fleet, random),
                Phase::AllFaults => Fault::random_any(fleet, random),
            };
            let until = now + fault.duration(random);
            let busy_targets: HashSet<String> =
                active_faults.iter().map(|active| active.fault.target()).collect();
            if !busy_targets.contains(&fault.target())
                && can_begin(fault, &active_faults, recorder.simulated_bug)
            {
                let stopped_router =
                    if let Fault::StopRouter(router) = fault { Some(router) } else { None };
                let span = recorder.begin_span(stopped_router, fault.is_planned());
                begin(fleet, recorder, fault).await?;
                if let Fault::CutFromReplicas(first, count, _) = fault {
                    let routers = cut_routers(fleet, first, count);
                    let partition = PartitionSpan { routers, from: now, to: until, span };
                    recorder.observations().partitions.push(partition);
                }
                injected.push((elapsed, format!("{fault:?}")));
                active_faults.push(ActiveFault { fault, until, span });
            }
        }
        tokio::time::sleep(LOOP_INTERVAL).await;
    }
}

/// Records routers whose process exited although no fault acts on them, and starts them again as
/// the platform does.
async fn restart_exited_routers(
    fleet: &mut SoakFleet,
    recorder: &Recorder,
    active_faults: &[ActiveFault],
) -> Result<(), Box<dyn Error>> {
    for (number, router) in fleet.routers.iter_mut().enumerate() {
        let target = router_target(number);
        let is_expected = active_faults.iter().any(|active| active.fault.target() == target);
        if is_expected || !router.process.has_exited()? {
            continue;
        }
        recorder.observations().unexpected_exits.push((number, recorder.now()));
        router.process.wait_for_exit().await?;
        router.restart_count.fetch_add(1, Ordering::Relaxed);
        router.process.spawn()?;
        // Until the new process has installed its signal handlers, any signal terminates it.
        tokio::time::sleep(LOOP_INTERVAL).await;
    }
    Ok(())
}

/// Returns whether a fault may begin while others are active. Only one replica is replaced at a
/// time: the end of a replacement moves the last replica in the list to the index of the removed
/// one. With a single replacement, the last replica is the new one, and all others keep their
/// index.
///
/// While a bug is simulated, no fault begins that could hide it: a replica that rests gets no
/// requests, and an exit of a router on which a fault acts is expected.
fn can_begin(fault: Fault, active_faults: &[ActiveFault], simulated_bug: Option<Bug>) -> bool {
    let is_hiding = match simulated_bug {
        None | Some(Bug::RequestsInRest) => false,
        Some(Bug::UnexpectedExit) => fault.target() == router_target(0),
        Some(_) => matches!(fault, Fault::RestReplica(_)),
    };
    if is_hiding {
        return false;
    }
    let is_replacing =
        active_faults.iter().any(|active| matches!(active.fault, Fault::ReplaceReplica(..)));
    !(is_replacing && matches!(fault, Fault::ReplaceReplica(..)))
}

/// Returns the indexes of `count` routers from `first` on, in a circle.
fn cut_routers(fleet: &SoakFleet, first: usize, count: usize) -> Vec<usize> {
    (first..first + count).map(|router| router % fleet.routers.len()).collect()
}

fn proxy(fleet: &SoakFleet, link: Link) -> &Proxy {
    match link {
        Link::Store(router) => &fleet.routers[router].store_proxy,
        Link::Replica(replica) => &fleet.replicas[replica].proxy,
    }
}

/// Begins a fault.
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
        Fault::RestReplica(replica) => {
            fleet.replicas[replica].set_mode(ReplicaMode::AsksForRest);
        }
        Fault::CutFromReplicas(first, count, partition) => {
            for router in cut_routers(fleet, first, count) {
                fleet.routers[router].links.partition(partition);
            }
        }
        Fault::ReplaceReplica(number, false) => {
            fleet.add_replica(fleet.replicas[number].service)?;
            let replica = &fleet.replicas[number];
            replica.set_mode(ReplicaMode::IsLeaving);
            let id = replica.upstream.id.clone();
            recorder.observations().leaving_since.push((id, recorder.now()));
        }
        Fault::ReplaceReplica(number, true) => {
            let service = fleet.replicas[number].service;
            fleet.add_replica(service)?;
            let replica = &fleet.replicas[number];
            fleet.put_entry(replica, "draining");
            // To simulate the bug, the record says that draining began earlier than it did.
            let is_falsified = recorder.simulated_bug == Some(Bug::RequestsAfterDrain);
            let backdating = if is_falsified { 2 * DRAINING_BOUND } else { Duration::ZERO };
            let at = recorder.now().saturating_sub(backdating);
            recorder.observations().draining_since.push((replica.upstream.id.clone(), at));
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
            faults.forward.is_frozen = forward;
            // At least one direction is frozen.
            faults.backward.is_frozen = backward || !forward;
        }),
        Fault::DelayLink(link, delay_ms) => proxy(fleet, link).set_faults(|faults| {
            let delay = Duration::from_millis(delay_ms);
            faults.forward = DirectionFaults { delay, ..DirectionFaults::default() };
            faults.backward = faults.forward.clone();
        }),
        Fault::RefuseConnects(link) => proxy(fleet, link).set_faults(|new| new.is_refusing = true),
        Fault::CutConnections(link) => proxy(fleet, link).cut(),
        Fault::StallConnections(link) => proxy(fleet, link).stall(),
    }
    Ok(())
}

/// Ends a fault and restores what it disturbed.
async fn end(fleet: &mut SoakFleet, fault: Fault) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::StopRouter(router) | Fault::KillRouter(router) => {
            let router = &mut fleet.routers[router];
            // Like the platform, kills a router that still runs after its grace period.
            router.process.signal(Signal::SIGKILL)?;
            router.process.wait_for_exit().await?;
            router.restart_count.fetch_add(1, Ordering::Relaxed);
            router.process.spawn()?;
            // Until the new process has installed its signal handlers, any signal terminates it.
            tokio::time::sleep(LOOP_INTERVAL).await;
        }
        Fault::SuspendRouter(router) => fleet.routers[router].process.signal(Signal::SIGCONT)?,
        Fault::RestReplica(replica) => fleet.replicas[replica].set_mode(ReplicaMode::Healthy),
        Fault::CutFromReplicas(first, count, _) => {
            for router in cut_routers(fleet, first, count) {
                fleet.routers[router].links.heal();
            }
        }
        Fault::ReplaceReplica(number, _) => {
            // The new replica, the last of the list, takes the index of the removed one, so that
            // the indexes of all other replicas stay.
            let removed = fleet.replicas.swap_remove(number);
            fleet.remove_entry(&removed.upstream.id);
        }
        Fault::DisruptStore(_) => fleet.store.set_mode(Mode::Serving),
        Fault::CorruptEntry(replica) | Fault::RestartReplica(replica) => {
            fleet.put_entry(&fleet.replicas[replica], "ready");
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
