//! Kinds of faults and planned operations of a soak, and which of them each of its phases may have.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

use super::bounds::{DRAINING_BOUND, EVACUATION_BOUND, REST, STOP_GRACE};
use super::bug::Bug;
use super::fleet::{REPLICA_COUNT, ROUTED_REPLICA_COUNT, SERVICES, SoakFleet, ZONES};
use super::record::RequestKind;
use super::replica::{Listing, ReplicaMode};
use crate::links::Partition;
use crate::store::Mode;

/// Interval at which the loop that injects faults begins and ends faults that are due. It is also the
/// recorded duration of faults that take effect at once, and the time given to a new process to
/// install its signal handlers.
pub(super) const LOOP_INTERVAL: Duration = Duration::from_millis(50);
/// Phases of a soak in turn, in seconds; the first one follows the last.
const PHASES: [(Phase, u64); 8] = [
    (Phase::Cuts, 9),
    (Phase::PlannedOnly, 12),
    (Phase::Releases, 12),
    (Phase::AllFaults, 12),
    (Phase::Retries, 9),
    (Phase::Calm, 13),
    (Phase::Crashes, 7),
    (Phase::Pauses, 14),
];
/// Limit on the time for which routers are cut off from all replicas.
const MAX_CUT_MS: u64 = 7_000;
/// Time for which replicas reject half of the requests.
const REJECTS_DURATION: Duration = Duration::from_secs(9);
/// Time for which requests with a crashing part come.
const CRASHES_DURATION: Duration = Duration::from_millis(6_800);
/// Time for which a replica pauses in the answers to what arrives.
const PAUSES_DURATION: Duration = Duration::from_secs(3);
/// Time for which most new connections reach one router.
const FUNNEL_DURATION: Duration = Duration::from_secs(3);
/// Recorded duration of a stall: the time for which routers may still use stalled connections
/// because they take them for working ones.
const STALL_DURATION: Duration = Duration::from_secs(5);
/// Limit on the time from the kill of a router to its restart.
const MAX_DOWN_MS: u64 = 1_500;
/// Limit on that time for a router that starts late.
const MAX_LATE_MS: u64 = 5_000;

/// Part of a soak, by the faults that it may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Routers are cut off from all replicas, and nothing else fails.
    Cuts,
    /// Nothing but planned operations.
    PlannedOnly,
    /// Releases replace the software of all replicas of a service, the configuration splits and moves
    /// the resumable route, and routers are killed, stop and start late.
    Releases,
    /// Every kind of fault.
    AllFaults,
    /// Replicas reject half of the requests while routers are killed and forgotten.
    Retries,
    /// Nothing fails, and most callers reach one router.
    Calm,
    /// A part of prompts or a request crashes replicas, and nothing else fails.
    Crashes,
    /// Long streams come, replicas pause, and nothing but planned operations happens.
    Pauses,
}

impl Phase {
    /// Returns the phase at a time since the start of the soak.
    pub(super) fn at(elapsed: Duration) -> Self {
        let round_s: u64 = PHASES.iter().map(|(_, length_s)| length_s).sum();
        let in_round_s = elapsed.as_secs() % round_s;
        let has_begun = |phase: &&(Phase, u64)| phase.0.start().as_secs() <= in_round_s;
        PHASES.iter().rfind(has_begun).map_or(Phase::Cuts, |(phase, _)| *phase)
    }

    /// Returns when the phase begins in each round.
    fn start(self) -> Duration {
        let earlier = PHASES.iter().take_while(|(phase, _)| *phase != self);
        Duration::from_secs(earlier.map(|(_, length_s)| length_s).sum())
    }
}

/// Returns the part of the first round that is skipped: a simulated bug other than that of the
/// first phase is violated, and reported, in the phase after it.
pub(super) fn skipped_time(simulated_bug: Option<Bug>) -> Duration {
    let first_phase = match simulated_bug {
        None | Some(Bug::RefusalsByCutRouter) => Phase::Cuts,
        Some(Bug::BudgetOfEachRouter | Bug::RequestsGoOn) => Phase::Retries,
        Some(Bug::CrashesGoOn) => Phase::Crashes,
        Some(Bug::LateStreamCutByStop | Bug::SignalDelayIgnored | Bug::CutByPause) => Phase::Pauses,
        Some(_) => Phase::PlannedOnly,
    };
    first_phase.start()
}

/// A connection path that leads through a proxy.
#[derive(Clone, Copy, Debug)]
pub(super) enum Link {
    /// From the router with this index to the store.
    Store(usize),
    /// From all routers to the replica with this index.
    Replica(usize),
}

/// A fault or a planned operation. The `usize` values are indexes of routers or replicas in the
/// fleet.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Planned: stops a router with SIGTERM and starts it again after the stop's grace period.
    StopRouter(usize),
    /// Planned: stops a router as [`Fault::StopRouter`] does while it does not run for a moment.
    StopSuspendedRouter(usize),
    /// Planned: makes a router reload with SIGHUP its settings.
    ReloadSettings(usize),
    /// Planned: publishes a new version of the configuration.
    PublishConfiguration,
    /// Planned: adds a replica, lets another leave, and removes that one later. The boolean is
    /// whether the one that leaves is listed as draining, or states so with its responses only.
    ReplaceReplica(usize, bool),
    /// Planned: sends a share of the resumable route, in percent, to the second service.
    SplitRoute(u32),
    /// Planned: replaces all replicas of a service by those of a new software version.
    Release(&'static str, Listing),
    /// Planned: a replica rejects some requests and requests rest.
    RestReplica(usize),
    /// Planned: a replica pauses in its answers, and goes on.
    PauseReplica(usize),
    /// Planned: evacuates the zone with this index, whose replicas are cold when it is taken back.
    EvacuateZone(usize),
    /// Cuts some routers, the given number from the given index on, off from all replicas.
    CutFromReplicas(usize, usize, Partition),
    /// Planned: most new connections reach the router with this index.
    FunnelCallers(usize),
    /// Sends requests with a part that crashes replicas to all routers, until the fault ends.
    CrashingPart,
    /// Sends a request that crashes replicas to all routers, again and again, until the fault ends.
    CrashingRequest(RequestKind),
    /// Makes all replicas reject half of the requests.
    RejectRequests,
    /// Ends all leases of the store.
    EndLeases,
    /// Kills a router with SIGKILL and starts it again later.
    KillRouter(usize),
    /// Kills a router with SIGKILL and starts it again much later.
    StartLate(usize),
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
    /// Holds back all bytes of a link until the fault ends. The booleans state whether the forward
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
    pub(super) fn random_planned(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..6) {
            0 => Fault::StopRouter(router),
            1 => Fault::ReloadSettings(router),
            2 => Fault::PublishConfiguration,
            3 => Fault::RestReplica(random.random_range(0..REPLICA_COUNT)),
            4 => Fault::EvacuateZone(random.random_range(0..ZONES.len())),
            _ => Fault::ReplaceReplica(random.random_range(0..REPLICA_COUNT), random.random()),
        }
    }

    /// Draws the planned operation in which a simulated bug shows; `None` if that does not depend on
    /// one.
    pub(super) fn random_for_bug(bug: Bug, random: &mut Pcg32) -> Option<Self> {
        let replica = random.random_range(0..ROUTED_REPLICA_COUNT);
        match bug {
            Bug::RequestsAfterDrain => Some(Fault::ReplaceReplica(replica, true)),
            Bug::RequestsWhileLeaving => Some(Fault::ReplaceReplica(replica, false)),
            Bug::RequestsInRest => Some(Fault::RestReplica(replica)),
            Bug::RefusalsInFunnel => Some(Fault::FunnelCallers(0)),
            Bug::RequestsAfterEvacuation | Bug::ColdOverload => {
                Some(Fault::EvacuateZone(random.random_range(0..ZONES.len())))
            }
            _ => None,
        }
    }

    /// Draws a cut of at least one router, and not of all, from all replicas, or a change that
    /// does not end a router.
    pub(super) fn random_cut(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
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
    pub(super) fn random_any(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        let replica = random.random_range(0..REPLICA_COUNT);
        let link = if random.random() { Link::Store(router) } else { Link::Replica(replica) };
        let mode = if random.random() { Mode::Unavailable } else { Mode::Silent };
        match random.random_range(0..18) {
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
            16 => Self::random_for_streams(fleet, random),
            _ => Fault::StallConnections(link),
        }
    }

    /// Draws a release, a move of the resumable route, or the end and start of a router.
    pub(super) fn random_for_streams(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..9) {
            0..3 => {
                let listing = if random.random() { Listing::Draining } else { Listing::Removed };
                Fault::Release(SERVICES[random.random_range(1..SERVICES.len())], listing)
            }
            3 | 4 => Fault::SplitRoute(10 * random.random_range(0..=10)),
            5 | 6 => Fault::StartLate(router),
            7 => Fault::KillRouter(router),
            _ => Fault::StopRouter(router),
        }
    }

    /// Draws a fault that makes replicas reject requests, or that routers which retry them may not
    /// notice of each other.
    pub(super) fn random_with_retries(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let router = random.random_range(0..fleet.routers.len());
        match random.random_range(0..8) {
            6 | 7 => Self::random_crashing_request(random),
            0 | 1 => Fault::RejectRequests,
            2 => Fault::EndLeases,
            3 => Fault::DisruptStore(Mode::Silent),
            _ => Fault::KillRouter(router),
        }
    }

    /// Draws the stop of a router, the pause of a replica, or what leaves paused streams no other one.
    pub(super) fn random_with_pauses(fleet: &SoakFleet, random: &mut Pcg32) -> Self {
        let replica = random.random_range(0..REPLICA_COUNT);
        match random.random_range(0..9) {
            0 => Fault::StopSuspendedRouter(random.random_range(0..fleet.routers.len())),
            1 | 2 => Fault::StopRouter(random.random_range(0..fleet.routers.len())),
            3..7 => Fault::PauseReplica(replica),
            7 => Fault::ReplaceReplica(replica, true),
            _ => Fault::RestReplica(replica),
        }
    }

    /// Draws a kind of request that crashes replicas.
    pub(super) fn random_crashing_request(random: &mut Pcg32) -> Self {
        let kind = random.random_range(0..RequestKind::ALL.len());
        Fault::CrashingRequest(RequestKind::ALL[kind])
    }

    /// Draws a fault by which requests crash replicas.
    pub(super) fn random_crash(random: &mut Pcg32) -> Self {
        if random.random() { Fault::CrashingPart } else { Self::random_crashing_request(random) }
    }

    /// Returns the router that a planned stop ends.
    pub(super) fn stopped_router(self) -> Option<usize> {
        match self {
            Fault::StopRouter(router) | Fault::StopSuspendedRouter(router) => Some(router),
            _ => None,
        }
    }

    pub(super) fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopRouter(_)
                | Fault::StopSuspendedRouter(_)
                | Fault::ReloadSettings(_)
                | Fault::PublishConfiguration
                | Fault::SplitRoute(_)
                | Fault::Release(..)
                | Fault::ReplaceReplica(..)
                | Fault::RestReplica(_)
                | Fault::PauseReplica(_)
                | Fault::EvacuateZone(_)
                | Fault::FunnelCallers(_)
        )
    }

    /// Returns the name of the target on which the fault acts; only one fault at a time is active
    /// for a target. A new configuration and a compaction of the store share the target `operator`.
    pub(super) fn target(self) -> String {
        match self {
            Fault::StopRouter(router)
            | Fault::StopSuspendedRouter(router)
            | Fault::ReloadSettings(router)
            | Fault::KillRouter(router)
            | Fault::StartLate(router)
            | Fault::SuspendRouter(router) => router_target(router),
            Fault::ReplaceReplica(replica, _)
            | Fault::RestReplica(replica)
            | Fault::PauseReplica(replica)
            | Fault::CorruptEntry(replica)
            | Fault::RestartReplica(replica)
            | Fault::DegradeReplica(replica, _) => format!("replica-{replica}"),
            Fault::EvacuateZone(zone) => format!("zone-{}", ZONES[zone]),
            Fault::PublishConfiguration | Fault::SplitRoute(_) | Fault::CompactStore => {
                "operator".to_owned()
            }
            Fault::Release(..) => "release".to_owned(),
            Fault::RejectRequests => "replicas".to_owned(),
            Fault::EndLeases => "leases".to_owned(),
            Fault::DisruptStore(_) => "store".to_owned(),
            Fault::CutFromReplicas(..) => "links".to_owned(),
            Fault::CrashingPart | Fault::CrashingRequest(_) | Fault::FunnelCallers(_) => {
                "callers".to_owned()
            }
            Fault::FreezeLink(link, ..)
            | Fault::DelayLink(link, _)
            | Fault::RefuseConnects(link)
            | Fault::CutConnections(link)
            | Fault::StallConnections(link) => format!("{link:?}"),
        }
    }

    /// Returns how long the fault lasts, drawn at random for some faults.
    pub(super) fn duration(self, random: &mut Pcg32) -> Duration {
        match self {
            Fault::StopRouter(_) | Fault::StopSuspendedRouter(_) => STOP_GRACE,
            Fault::ReplaceReplica(..) => DRAINING_BOUND + Duration::from_millis(1_500),
            Fault::Release(..) => {
                DRAINING_BOUND + Duration::from_millis(random.random_range(200..1_500))
            }
            Fault::StartLate(_) => {
                Duration::from_millis(random.random_range(MAX_DOWN_MS..MAX_LATE_MS))
            }
            Fault::RestReplica(_) => 2 * REST,
            Fault::PauseReplica(_) => PAUSES_DURATION,
            Fault::EvacuateZone(_) => {
                EVACUATION_BOUND + Duration::from_millis(random.random_range(500..2_500))
            }
            Fault::CrashingPart | Fault::CrashingRequest(_) => CRASHES_DURATION,
            Fault::RejectRequests => REJECTS_DURATION,
            Fault::FunnelCallers(_) => FUNNEL_DURATION,
            Fault::CutFromReplicas(..) => {
                Duration::from_millis(random.random_range(5_000..MAX_CUT_MS))
            }
            Fault::ReloadSettings(_)
            | Fault::PublishConfiguration
            | Fault::SplitRoute(_)
            | Fault::CompactStore
            | Fault::EndLeases
            | Fault::CutConnections(_) => LOOP_INTERVAL,
            Fault::CorruptEntry(_) => Duration::from_millis(1_200),
            Fault::RestartReplica(_) => Duration::from_millis(300),
            Fault::StallConnections(_) => STALL_DURATION,
            Fault::KillRouter(_) => Duration::from_millis(random.random_range(100..MAX_DOWN_MS)),
            _ => Duration::from_millis(random.random_range(300..4_000)),
        }
    }
}

pub(super) fn router_target(router: usize) -> String {
    format!("router-{router}")
}
