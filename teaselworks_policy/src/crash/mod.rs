//! Parts of prompts that crash the replicas which begin to write an answer on them, and that are
//! therefore blocked.
//!
//! A crash breaks many requests, and each may be the cause. A crashing part differs from the others
//! in that no request with it is ever answered, while sound parts are. A single router sees too few
//! crashes for that, so that routers report them to a few others, the holders of the part, which
//! decide.

mod answered;
mod blocked;
mod fingerprint;
mod proof;
mod requests;
mod suspicion;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

pub use self::blocked::{BLOCK_TIME, BlockedParts};
pub use self::fingerprint::{RequestContent, body_hash};
use self::proof::ProvenParts;
pub use self::requests::{
    ACKNOWLEDGEMENT_TIME, ANNOUNCED_ENDS, BlockedRequest, MAX_ENDED_REPLICAS, REQUEST_MEMORY,
    ReplicaEnd, RequestLedger,
};
use self::suspicion::Suspicion;

/// Time for which an answer must have been written to speak for the parts of its prompt. A replica that
/// crashes on one of them does so as soon as it begins to write.
pub const WRITING_TIME: Duration = Duration::from_millis(500);
/// Maximum number of parts under suspicion; further ones are not recorded until some are discarded.
const MAX_SUSPICIONS: usize = 1_024;
/// Maximum number of parts of which other routers are to be notified if an answer is written on
/// them.
const MAX_WATCHED: usize = 256;
/// Maximum number of reports, and of other actions, that wait for the next [`CrashLedger::tick`].
const MAX_PENDING: usize = 1_024;
/// Time for which a crash counts among the recent ones, and the maximum number of these.
const RECENT_TIME: Duration = Duration::from_secs(10);
const MAX_RECENT_CRASHES: usize = 1_024;
/// Time for which a part is watched after another router suspected it.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// One request whose replica broke off, as seen from one part of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Identifier of the part.
    pub part: u64,
    /// Hash of the replica's incarnation.
    pub incarnation: u64,
    /// Clock reading at which the request was sent.
    pub sent_at: Duration,
    /// Clock reading at which its replica broke off.
    pub crashed_at: Duration,
    /// Whether an answer was recently written on the part.
    pub is_proven: bool,
}

/// What a router has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashAction {
    /// Send reports to the holders of their parts.
    Report(Vec<CrashReport>),
    /// Ask all routers whether an answer was written on a part, recently or since `first_at`.
    Suspect {
        /// Identifier of the part.
        part: u64,
        /// Clock reading of the first crash.
        first_at: Duration,
    },
    /// Tell the holders of a part that an answer was written on it.
    Prove {
        /// Identifier of the part.
        part: u64,
        /// Clock reading at which the answer began.
        began_at: Duration,
    },
    /// Tell all routers that a part is blocked, and write it to the store.
    Block {
        /// Identifier of the part.
        part: u64,
        /// Hashes of the incarnations that crashed on it.
        crashes: Vec<u64>,
        /// Clock reading of the first crash.
        first_at: Duration,
    },
    /// Tell all routers that a part is no longer blocked, and remove it from the store: an answer was
    /// written on it.
    Release {
        /// Identifier of the part.
        part: u64,
    },
}

/// One router's record of parts that may crash replicas.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Parts that get no requests.
    pub blocked: BlockedParts,
    /// Requests under which replicas ended.
    pub requests: RequestLedger,
    suspicions: HashMap<u64, Suspicion>,
    proven: ProvenParts,
    /// Parts that another router suspects, with the clock readings of the first crash and of the
    /// question.
    watched: HashMap<u64, (Duration, Duration)>,
    /// Incarnations that crashed lately, by the time of the last report, without those that a blocked
    /// part explains.
    recent_crashes: HashMap<u64, Duration>,
    /// Incarnations whose crashes a refused request explains, by the time at which that was found. Reports of what else they ran may arrive later.
    explained_crashes: HashMap<u64, Duration>,
    /// Clock reading at which an answer last began that was written for a while, on any prompt.
    last_proof_at: Option<Duration>,
    /// What is to be done at the next [`CrashLedger::tick`].
    pending: Vec<CrashAction>,
    /// Reports to be sent at the next tick.
    pending_reports: Vec<CrashReport>,
}

impl CrashLedger {
    /// Records that a replica broke off a request of this router before it had written an answer for
    /// a while. `parts` are those that other requests may share.
    pub fn on_crashed(
        &mut self,
        now: Duration,
        parts: &[u64],
        incarnation: u64,
        sent_at: Duration,
    ) {
        // A blocked part explains the crash.
        let is_blocked = parts.iter().any(|part| self.blocked.contains(now, *part));
        if is_blocked || self.explained_crashes.contains_key(&incarnation) {
            return;
        }
        for part in parts {
            let is_proven = self.proven.contains(now, *part);
            let part = *part;
            let report = CrashReport { part, incarnation, sent_at, crashed_at: now, is_proven };
            self.on_report(now, &report);
            let has_room = self.pending_reports.len() < MAX_PENDING;
            if has_room && self.suspicions.contains_key(&part) {
                self.pending_reports.push(report);
            }
        }
    }

    /// Records a report of this or another router.
    pub fn on_report(&mut self, now: Duration, report: &CrashReport) {
        let is_explained = self.explained_crashes.contains_key(&report.incarnation);
        if is_explained || self.blocked.contains(now, report.part) {
            return;
        }
        self.note_crash(now, report.incarnation);
        let is_known = self.suspicions.contains_key(&report.part);
        if !is_known && self.suspicions.len() >= MAX_SUSPICIONS {
            return;
        }
        let is_proven = report.is_proven || self.proven.contains(now, report.part);
        let suspicion =
            self.suspicions.entry(report.part).or_insert_with(|| Suspicion::new(report));
        suspicion.add(now, report, is_proven);
    }

    /// Records that an answer which began at `began_at` has been written for a while on a prompt with
    /// these parts, or is complete. It shows that none of them crashes replicas.
    pub fn on_written(&mut self, now: Duration, parts: &[u64], began_at: Duration) {
        self.last_proof_at = self.last_proof_at.max(Some(began_at));
        for part in parts {
            self.proven.insert(now, *part, began_at);
            if self.blocked.is_refuted(*part, began_at) {
                self.blocked.release(*part);
                self.push(CrashAction::Release { part: *part });
            }
            if self.suspicions.is_empty() && self.watched.is_empty() {
                continue;
            }
            let first_at = self.watched.get(part).map(|(first_at, _)| *first_at);
            let first_at = first_at.or(self.suspicions.get(part).map(Suspicion::first_at));
            if first_at.is_some_and(|first_at| began_at >= first_at) {
                self.clear(*part, began_at);
                self.watched.remove(part);
                self.push(CrashAction::Prove { part: *part, began_at });
            }
        }
    }

    /// Records that another router suspects a part since the crash at `first_at`.
    pub fn on_suspected(&mut self, now: Duration, part: u64, first_at: Duration) {
        self.watched.retain(|_, (_, asked_at)| now.saturating_sub(*asked_at) < WATCH_TIME);
        if self.watched.len() < MAX_WATCHED {
            self.watched.insert(part, (first_at, now));
        }
        if let Some(began_at) = self.proven.find(now, part) {
            self.push(CrashAction::Prove { part, began_at });
        }
    }

    /// Records that another router had an answer written on a part that began at `began_at`.
    pub fn on_proven(&mut self, now: Duration, part: u64, began_at: Duration) {
        if let Some(suspicion) = self.suspicions.get_mut(&part) {
            suspicion.set_proven();
        }
        self.proven.insert(now, part, began_at);
        self.clear(part, began_at);
    }

    /// Records that a part crashes replicas, as this or another router found out: the incarnations
    /// `crashes` crashed on it, the first one at `first_at`.
    pub fn on_blocked(&mut self, now: Duration, part: u64, crashes: &[u64], first_at: Duration) {
        self.blocked.insert(now, part, first_at);
        self.suspicions.remove(&part);
        self.watched.remove(&part);
        self.explain(crashes);
        self.requests.explain(&crashes.iter().copied().collect());
    }

    /// Records that replicas ended under a request of this router. Returns whether it is refused from
    /// now on.
    pub fn on_ended(
        &mut self,
        now: Duration,
        fingerprint: u64,
        end: ReplicaEnd,
        has_peers: bool,
    ) -> bool {
        if self.is_explained(fingerprint, &end) {
            return false;
        }
        let was_blocked = self.requests.has_reached_limit(fingerprint);
        self.requests.on_ended(now, fingerprint, end, has_peers);
        self.explain_if_blocked(now, fingerprint, was_blocked)
    }

    /// Adds ends from the record of another router. Returns whether the request is refused from now on.
    pub fn merge_ends(
        &mut self,
        now: Duration,
        fingerprint: u64,
        ends: &[ReplicaEnd],
        was_answered: bool,
    ) -> bool {
        let was_blocked = self.requests.has_reached_limit(fingerprint);
        let is_counted = |end: &&ReplicaEnd| !self.is_explained(fingerprint, end);
        let ends: Vec<ReplicaEnd> = ends.iter().filter(is_counted).copied().collect();
        self.requests.merge(now, fingerprint, &ends);
        if was_answered {
            self.requests.set_answered_before(fingerprint);
        }
        self.explain_if_blocked(now, fingerprint, was_blocked)
    }

    /// Adds ends that the store lists. Returns whether the request is refused from now on.
    pub fn on_listed_ends(
        &mut self,
        now: Duration,
        fingerprint: u64,
        ends: &[u64],
        was_answered: bool,
    ) -> bool {
        let was_blocked = self.requests.has_reached_limit(fingerprint);
        self.requests.on_listed(now, fingerprint, ends);
        if was_answered {
            self.requests.set_answered_before(fingerprint);
        }
        self.explain_if_blocked(now, fingerprint, was_blocked)
    }

    /// Returns whether another request that is refused explains an end under a request that was answered
    /// before.
    fn is_explained(&self, fingerprint: u64, end: &ReplicaEnd) -> bool {
        self.explained_crashes.contains_key(&end.incarnation)
            && self.requests.is_answered(fingerprint)
    }

    /// A request that is refused explains the ends of its replicas, so that neither the parts of its
    /// prompt nor what ran beside it are blamed for them.
    fn explain_if_blocked(&mut self, now: Duration, fingerprint: u64, was_blocked: bool) -> bool {
        if was_blocked || !self.requests.has_reached_limit(fingerprint) {
            return false;
        }
        // Its ends may well have another cause.
        if self.requests.was_answered(fingerprint) {
            return true;
        }
        let ends = self.requests.ends(fingerprint);
        let incarnations: Vec<u64> = ends.iter().map(|end| end.incarnation).collect();
        self.explained_crashes.retain(|_, at| now.saturating_sub(*at) < RECENT_TIME);
        if self.explained_crashes.len() < MAX_RECENT_CRASHES {
            self.explained_crashes.extend(incarnations.iter().map(|crash| (*crash, now)));
        }
        self.explain(&incarnations);
        self.requests.explain(&incarnations.iter().copied().collect());
        true
    }

    /// Returns whether [`CrashLedger::tick`] has something to do now or soon.
    pub fn is_active(&self) -> bool {
        let has_pending = !self.pending.is_empty() || !self.pending_reports.is_empty();
        has_pending || !self.suspicions.is_empty()
    }

    /// Returns what to do now, some tenths of a second after the last call.
    pub fn tick(&mut self, now: Duration) -> Vec<CrashAction> {
        self.suspicions.retain(|_, suspicion| !suspicion.is_over(now));
        let mut actions = std::mem::take(&mut self.pending);
        let mut reports = std::mem::take(&mut self.pending_reports);
        // What an answer was written on meanwhile needs no report.
        reports.retain(|report| self.suspicions.contains_key(&report.part));
        if !reports.is_empty() {
            actions.push(CrashAction::Report(reports));
        }
        for (part, suspicion) in &mut self.suspicions {
            if suspicion.is_to_be_announced(now) {
                let first_at = suspicion.first_at();
                actions.push(CrashAction::Suspect { part: *part, first_at });
            }
        }
        while let Some((part, crashes, first_at)) = self.next_verdict(now) {
            self.on_blocked(now, part, &crashes, first_at);
            actions.push(CrashAction::Block { part, crashes, first_at });
        }
        actions
    }

    /// Returns a part that crashes replicas for certain enough, with the incarnations that crashed.
    ///
    /// An answer on another prompt must have been written since the first crash: where all requests
    /// fail, no part is to blame.
    fn next_verdict(&self, now: Duration) -> Option<(u64, Vec<u64>, Duration)> {
        let mut ripe = self.suspicions.iter().filter(|(part, suspicion)| {
            let has_sound = self.last_proof_at.is_some_and(|at| at >= suspicion.first_at());
            let was_blocked = self.blocked.was_released(now, **part);
            let others = self.count_other_crashes(now, suspicion);
            let is_certain =
                suspicion.is_ripe(now, others) || was_blocked && suspicion.is_announced();
            has_sound && is_certain
        });
        let (part, suspicion) = ripe.next()?;
        Some((*part, suspicion.crashes().to_vec(), suspicion.first_at()))
    }

    fn push(&mut self, action: CrashAction) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push(action);
        }
    }

    /// Records that an incarnation crashed.
    fn note_crash(&mut self, now: Duration, incarnation: u64) {
        if self.recent_crashes.len() >= MAX_RECENT_CRASHES {
            self.recent_crashes.retain(|_, at| now.saturating_sub(*at) < RECENT_TIME);
        }
        if self.recent_crashes.len() < MAX_RECENT_CRASHES {
            self.recent_crashes.insert(incarnation, now);
        }
    }

    /// Returns how many incarnations crashed recently without a request that contains the part.
    fn count_other_crashes(&self, now: Duration, suspicion: &Suspicion) -> usize {
        let is_other = |(crash, at): &(&u64, &Duration)| {
            now.saturating_sub(**at) < RECENT_TIME && !suspicion.crashes().contains(crash)
        };
        self.recent_crashes.iter().filter(is_other).count()
    }

    /// Ends the suspicion of a part, unless its first crash is later than the answer.
    fn clear(&mut self, part: u64, began_at: Duration) {
        if self.suspicions.get(&part).is_some_and(|known| began_at >= known.first_at()) {
            self.suspicions.remove(&part);
        }
    }

    /// Takes crashes that a blocked part caused from the suspicions of the other parts.
    fn explain(&mut self, crashes: &[u64]) {
        let crashes: HashSet<u64> = crashes.iter().copied().collect();
        self.recent_crashes.retain(|crash, _| !crashes.contains(crash));
        self.suspicions.retain(|_, suspicion| suspicion.remove_crashes(&crashes));
    }
}

/// Identifiers of a prompt's parts that other requests may share.
pub type SharedParts = Arc<[u64]>;
