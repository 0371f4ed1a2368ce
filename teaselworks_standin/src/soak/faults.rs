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

use super::bounds::SIGNAL_DELAY;
use super::bug::Bug;
use super::fault::{Fault, LOOP_INTERVAL, Link, Phase, router_target, skipped_time};
use super::fleet::{SoakFleet, ZONES};
use super::record::{FunnelSpan, PartitionSpan, PauseSpan, Recorder};
use super::replica::{FIRST_CRASHING_PART, Listing, Replica, ReplicaMode};
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};
use crate::store::Mode;

/// Time for which a replica is down after a request crashed it.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(500);
/// Longest pause between the starts of two faults.
const MAX_FAULT_PAUSE_MS: u64 = 900;

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
            if active.fault.stopped_router().is_some() {
                // A router that was signalled to stop keeps its whole grace period, also when the
                // injection of faults is over.
                tokio::time::sleep(active.until.saturating_sub(recorder.now())).await;
            }
            end(fleet, recorder, active.fault).await?;
            recorder.end_span(active.span);
        }
        if is_over {
            return Ok(injected);
        }
        let phase = Phase::at(elapsed + skipped_time(recorder.simulated_bug));
        recorder.traffic().has_long_streams = phase == Phase::Pauses;
        restart_exited_routers(fleet, recorder, &active_faults).await?;
        restart_crashed_replicas(fleet, recorder).await?;
        // To simulate the bug, kills router 0 after the third fault until an exit was noticed.
        if recorder.simulated_bug == Some(Bug::UnexpectedExit)
            && injected.len() >= 3
            && recorder.observations().unexpected_exits.is_empty()
        {
            fleet.routers[0].process.signal(Signal::SIGKILL)?;
        }
        if elapsed >= next_at {
            next_at = elapsed + Duration::from_millis(random.random_range(50..MAX_FAULT_PAUSE_MS));
            let fault = match phase {
                Phase::PlannedOnly => recorder
                    .simulated_bug
                    .filter(|_| random.random())
                    .and_then(|bug| Fault::random_for_bug(bug, random))
                    .unwrap_or_else(|| Fault::random_planned(fleet, random)),
                Phase::Cuts => Fault::random_cut(fleet, random),
                Phase::Releases => Fault::random_for_streams(fleet, random),
                Phase::AllFaults => Fault::random_any(fleet, random),
                Phase::Retries if recorder.simulated_bug == Some(Bug::RequestsGoOn) => {
                    Fault::random_crashing_request(random)
                }
                Phase::Retries => Fault::random_with_retries(fleet, random),
                Phase::Crashes if recorder.simulated_bug.is_some() => Fault::CrashingPart,
                Phase::Crashes => Fault::random_crash(random),
                Phase::Pauses => Fault::random_with_pauses(fleet, random),
                Phase::Calm => Fault::FunnelCallers(random.random_range(0..fleet.routers.len())),
            };
            // The ends of other faults may have taken a while.
            let now = recorder.now();
            let until = now + fault.duration(random);
            let busy_targets: HashSet<String> =
                active_faults.iter().map(|active| active.fault.target()).collect();
            if !busy_targets.contains(&fault.target())
                && can_begin(fault, &active_faults, recorder.simulated_bug)
            {
                let span = recorder.begin_span(fault.stopped_router(), fault.is_planned());
                begin(fleet, recorder, fault).await?;
                if let Fault::CutFromReplicas(first, count, _) = fault {
                    let routers = cut_routers(fleet, first, count);
                    let partition = PartitionSpan { routers, from: now, to: until, span };
                    recorder.observations().partitions.push(partition);
                }
                if let Fault::PauseReplica(_) = fault {
                    recorder.observations().pauses.push(PauseSpan { from: now, to: until });
                }
                if let Fault::FunnelCallers(router) = fault {
                    let funnel = FunnelSpan { router, from: now, to: until };
                    recorder.observations().funnels.push(funnel);
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

/// Starts replicas again that a request crashed some time ago.
async fn restart_crashed_replicas(
    fleet: &SoakFleet,
    recorder: &Recorder,
) -> Result<(), Box<dyn Error>> {
    let now = recorder.now();
    for replica in &fleet.replicas {
        if replica.upstream.is_running() {
            continue;
        }
        let Some(crashed_at) = replica.crashed_at.get() else {
            if !recorder.traffic().are_crashes_ignored {
                recorder.observations().crashes.push(now);
            }
            replica.crashed_at.set(Some(now));
            continue;
        };
        if now - crashed_at >= CRASH_DOWN_TIME {
            replica.upstream.restart().await?;
            replica.crashed_at.set(None);
            fleet.put_entry(replica);
        }
    }
    Ok(())
}

/// Returns whether a fault may begin while others are active. Only one replica is replaced, or one
/// service released, at a time: the end of a replacement moves the last replica in the list to the
/// index of the removed one. With a single replacement, the last replica is the new one, and all
/// others keep their index. Some zone is never evacuated.
///
/// While a bug is simulated, no fault begins that could hide it: a replica that rests or whose zone
/// is evacuated gets no requests, a check of single routers leaves out those that stop, and an exit of a router on which a fault acts is expected.
fn can_begin(fault: Fault, active_faults: &[ActiveFault], simulated_bug: Option<Bug>) -> bool {
    let is_hiding = match simulated_bug {
        None => false,
        Some(Bug::RequestsInRest) => {
            matches!(fault, Fault::EvacuateZone(_) | Fault::StopRouter(_))
        }
        Some(Bug::RequestsWhileLeaving) => {
            matches!(fault, Fault::RestReplica(_) | Fault::EvacuateZone(_) | Fault::StopRouter(_))
        }
        Some(Bug::UnexpectedExit | Bug::RefusalsInFunnel) => fault.target() == router_target(0),
        Some(Bug::RequestsAfterEvacuation | Bug::ColdOverload) => {
            matches!(fault, Fault::RestReplica(_))
        }
        // Crashed replicas make fewer retries than the simulated budgets allow.
        Some(Bug::BudgetOfEachRouter) => matches!(fault, Fault::CrashingRequest(_)),
        Some(_) => matches!(fault, Fault::RestReplica(_) | Fault::EvacuateZone(_)),
    };
    if is_hiding {
        return false;
    }
    let replaces = |fault: Fault| matches!(fault, Fault::ReplaceReplica(..) | Fault::Release(..));
    let is_replacing = active_faults.iter().any(|active| replaces(active.fault));
    let is_evacuation = |fault: Fault| matches!(fault, Fault::EvacuateZone(_));
    let evacuated = active_faults.iter().filter(|active| is_evacuation(active.fault)).count();
    let would_evacuate_all = is_evacuation(fault) && evacuated + 1 == ZONES.len();
    let would_replace_two = is_replacing && replaces(fault);
    !would_evacuate_all && !would_replace_two
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
        Fault::StopSuspendedRouter(router) => {
            let process = &fleet.routers[router].process;
            process.signal(Signal::SIGSTOP)?;
            process.signal(Signal::SIGTERM)?;
            tokio::time::sleep(SIGNAL_DELAY).await;
            process.signal(Signal::SIGCONT)?;
        }
        Fault::ReloadSettings(router) => fleet.routers[router].process.signal(Signal::SIGHUP)?,
        Fault::KillRouter(router) | Fault::StartLate(router) => {
            fleet.routers[router].process.signal(Signal::SIGKILL)?;
        }
        Fault::SuspendRouter(router) => fleet.routers[router].process.signal(Signal::SIGSTOP)?,
        Fault::PublishConfiguration => fleet.publish_next_version(),
        Fault::SplitRoute(canary_percent) => fleet.split_route(canary_percent),
        Fault::Release(service, listing) => fleet.begin_release(service, listing)?,
        Fault::EvacuateZone(zone) => fleet.evacuate_zone(ZONES[zone], recorder),
        Fault::RestReplica(replica) => {
            fleet.replicas[replica].set_mode(ReplicaMode::AsksForRest);
        }
        Fault::PauseReplica(replica) => fleet.replicas[replica].set_mode(ReplicaMode::Pauses),
        Fault::CutFromReplicas(first, count, partition) => {
            for router in cut_routers(fleet, first, count) {
                fleet.routers[router].links.partition(partition);
            }
        }
        Fault::ReplaceReplica(number, is_listed) => {
            let Replica { service, version, .. } = &fleet.replicas[number];
            let (service, version) = (*service, version.clone());
            fleet.add_replica(service, &version)?;
            let replica = &fleet.replicas[number];
            if is_listed {
                fleet.let_leave(replica, Listing::Draining);
            } else {
                replica.set_mode(ReplicaMode::IsLeaving);
                let (id, now) = (replica.upstream.id.clone(), recorder.now());
                recorder.observations().end_serving(&id, now);
                recorder.observations().leaving_since.push((id, now));
            }
        }
        Fault::FunnelCallers(router) => recorder.traffic().funnel = Some(router),
        Fault::CrashingPart => {
            // Each series has a part of its own, which is not blocked yet.
            let series = recorder.now().as_millis() as u64;
            recorder.traffic().crashing_part = Some(FIRST_CRASHING_PART + series);
        }
        Fault::CrashingRequest(kind) => {
            let number = recorder.now().as_millis() as u64;
            let mut traffic = recorder.traffic();
            traffic.crashing_request = Some((kind, number));
            traffic.are_crashes_ignored = true;
        }
        Fault::RejectRequests => {
            for replica in &fleet.replicas {
                replica.set_mode(ReplicaMode::RejectsHalf);
            }
        }
        Fault::EndLeases => fleet.store.end_leases(),
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
async fn end(
    fleet: &mut SoakFleet,
    recorder: &Recorder,
    fault: Fault,
) -> Result<(), Box<dyn Error>> {
    match fault {
        Fault::StopRouter(router)
        | Fault::StopSuspendedRouter(router)
        | Fault::KillRouter(router)
        | Fault::StartLate(router) => {
            let router = &mut fleet.routers[router];
            // Like the platform, kills a router that still runs after its grace period.
            router.process.signal(Signal::SIGKILL)?;
            router.process.wait_for_exit().await?;
            router.restart_count.fetch_add(1, Ordering::Relaxed);
            router.process.spawn()?;
            recorder.observations().router_starts.push(recorder.now());
            // Until the new process has installed its signal handlers, any signal terminates it.
            tokio::time::sleep(LOOP_INTERVAL).await;
        }
        Fault::EvacuateZone(zone) => fleet.take_zone_back(ZONES[zone], recorder),
        Fault::SuspendRouter(router) => fleet.routers[router].process.signal(Signal::SIGCONT)?,
        Fault::RestReplica(replica) | Fault::PauseReplica(replica) => {
            fleet.replicas[replica].set_mode(ReplicaMode::Healthy);
        }
        Fault::CutFromReplicas(first, count, _) => {
            for router in cut_routers(fleet, first, count) {
                fleet.routers[router].links.heal();
            }
        }
        Fault::ReplaceReplica(number, _) => fleet.remove_replica(number),
        Fault::Release(service, _) => fleet.end_release(service),
        Fault::FunnelCallers(_) => recorder.traffic().funnel = None,
        Fault::CrashingPart | Fault::CrashingRequest(_) => {
            recorder.traffic().crashing_part = None;
            recorder.traffic().crashing_request = None;
            // Requests in progress may still crash replicas.
            tokio::time::sleep(2 * LOOP_INTERVAL).await;
            restart_crashed_replicas(fleet, recorder).await?;
            tokio::time::sleep(CRASH_DOWN_TIME).await;
            restart_crashed_replicas(fleet, recorder).await?;
            recorder.traffic().are_crashes_ignored = false;
        }
        Fault::RejectRequests => {
            for replica in &fleet.replicas {
                replica.set_mode(ReplicaMode::Healthy);
            }
        }
        Fault::DisruptStore(_) => fleet.store.set_mode(Mode::Serving),
        Fault::CorruptEntry(replica) | Fault::RestartReplica(replica) => {
            fleet.put_entry(&fleet.replicas[replica]);
        }
        Fault::DegradeReplica(replica, _) => fleet.replicas[replica].set_mode(ReplicaMode::Healthy),
        Fault::FreezeLink(link, ..) | Fault::DelayLink(link, _) | Fault::RefuseConnects(link) => {
            proxy(fleet, link).set_faults(|faults| *faults = ProxyFaults::default());
        }
        Fault::ReloadSettings(_)
        | Fault::PublishConfiguration
        | Fault::SplitRoute(_)
        | Fault::CompactStore
        | Fault::EndLeases
        | Fault::CutConnections(_)
        | Fault::StallConnections(_) => {}
    }
    Ok(())
}
