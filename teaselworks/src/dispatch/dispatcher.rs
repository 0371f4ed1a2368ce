//! Carries a request through its attempts to one final outcome.

use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, SystemTime};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_config::configuration::{NumberedConfiguration, UpstreamKind};
use teaselworks_policy::admission::limits;
use teaselworks_policy::attempt::Fault;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{Affinity, ReplicaIndex, Search};
use teaselworks_policy::retry::budget::BudgetSettings;
use teaselworks_policy::retry::{RetryPolicy, RetrySettings};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::message::ReplyFinish;
use tokio::sync::mpsc;

use super::affinity::AffinitySeal;
use super::answer::{Answer, AnswerPart};
use super::attempt::{self, Asked, Ended};
use super::entry::{Entry, Work};
use super::placement::{Placement, chat_key};
use super::progress::InProgress;
use super::recovery::Recovery;
use super::request::Request;
use super::retry::Failed;
use super::routing::Routing;
use super::{once, refusal};
use crate::daemon::FleetView;
use crate::limits::{HeldPermit, LimitsService};
use crate::link::Links;
use crate::metrics::Metrics;
use crate::once::{Claim, Once};
use crate::owner::Owner;
use crate::usage::{Reservation, UsageService};

/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 16;
/// Attempts at one request, the first included and redirects left out.
const ATTEMPTS: u32 = 4;
/// Retries allowed to all workspaces together at once, as a multiple of one workspace's.
const OVERALL_BURST: f64 = 10.0;
/// Time to hand the last part to a caller that does not read.
const LAST_PART: Duration = Duration::from_secs(1);

/// Services that the dispatcher works with.
pub struct DispatcherParts {
    /// Name of this router.
    pub router: Name,
    /// The fleet as this router sees it.
    pub fleet: FleetView,
    /// Links to other routers.
    pub links: Arc<Links>,
    /// This router's own replicas.
    pub owner: Arc<Owner>,
    /// Replicas and their loads.
    pub placement: Arc<Placement>,
    /// Records of calls that run at most once.
    pub once: Arc<Once>,
    /// Use and budgets.
    pub usage: Arc<UsageService>,
    /// Limits of workspaces.
    pub limits: Arc<LimitsService>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Secret shared by all routers, from which the key of affinity tokens is derived.
    pub secret: String,
    /// Seed of the random numbers that spread retries and return times.
    pub seed: u64,
}

/// Carries requests through their attempts.
pub struct Dispatcher {
    pub(super) parts: DispatcherParts,
    affinity: AffinitySeal,
    routing: RwLock<Arc<Routing>>,
    in_progress: InProgress,
    decisions: Mutex<Decisions>,
}

pub(super) struct Decisions {
    pub(super) retries: RetryPolicy,
    pub(super) random: Pcg64,
}

impl Dispatcher {
    /// Makes a dispatcher without a configuration.
    pub fn new(parts: DispatcherParts) -> Arc<Self> {
        let routing = Routing::new(Arc::new(NumberedConfiguration::default()));
        let decisions = Decisions {
            retries: RetryPolicy::new(retry_settings(&routing)),
            random: Pcg64::seed_from_u64(parts.seed),
        };
        Arc::new(Self {
            affinity: AffinitySeal::new(&parts.secret),
            in_progress: InProgress::new(parts.metrics.clone()),
            parts,
            routing: RwLock::new(Arc::new(routing)),
            decisions: Mutex::new(decisions),
        })
    }

    /// Puts a configuration in force for requests that come from now on.
    pub fn apply(&self, numbered: Arc<NumberedConfiguration>) {
        let routing = self.routing().following(numbered);
        self.parts.placement.apply(&routing.numbered.configuration);
        self.decisions().retries.set_settings(retry_settings(&routing));
        *self.routing.write().expect("routing lock is never poisoned") = Arc::new(routing);
    }

    /// Returns what is in force.
    pub fn routing(&self) -> Arc<Routing> {
        self.routing.read().expect("routing lock is never poisoned").clone()
    }

    /// Returns the replicas and their loads.
    pub fn placement(&self) -> &Placement {
        &self.parts.placement
    }

    /// Returns the number of requests whose answer has not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.requests()
    }

    /// Starts a request; its answer begins with a head or a refusal.
    pub fn start(self: &Arc<Self>, entry: Entry) -> Answer {
        let (sender, receiver) = mpsc::channel(PARTS);
        let events = entry.is_event_stream();
        tokio::spawn(self.clone().run(entry, sender));
        Answer { parts: receiver, events }
    }

    async fn run(self: Arc<Self>, entry: Entry, parts: mpsc::Sender<AnswerPart>) {
        let request = Request::new(&entry, parts, self.parts.clock.clone());
        let in_progress = self.in_progress.count(entry.priority);
        let outcome = tokio::select! {
            outcome = self.admitted(&entry, &request) => outcome,
            () = tokio::time::sleep(entry.time) => {
                let verdict = request.verdict();
                let random = &mut self.decisions().random;
                Err(refusal::deadline_passed(verdict, entry.traits().idempotent, random))
            }
            () = caller_gone(&entry, &request) => Ok(()),
        };
        request.release();
        if let Err(refusal) = outcome {
            let _ = request.parts().send_timeout(AnswerPart::Refusal(refusal), LAST_PART).await;
        }
        drop(in_progress);
    }

    async fn admitted(self: &Arc<Self>, entry: &Entry, request: &Request) -> Result<(), Refusal> {
        request.hold(self.take_permit(entry).await?);
        request.hold_budget(self.reserve(entry).await?);
        let answered = match entry.is_at_most_once() {
            true => once::run(self, entry, request).await,
            false => self.answer(entry, request, None).await,
        };
        if matches!(answered?, Answered::Whole) {
            self.record(entry, request);
        }
        Ok(())
    }

    /// Makes attempts and ends the answer when one is whole.
    pub(super) async fn answer(
        self: &Arc<Self>,
        entry: &Entry,
        request: &Request,
        once: Option<&Claim>,
    ) -> Result<Answered, Refusal> {
        match self.attempts(entry, request, once).await? {
            Some(finish) => {
                request.finish(&finish).await;
                if once.is_none() {
                    request.end().await;
                }
                Ok(Answered::Whole)
            }
            None => Ok(Answered::CallerGone),
        }
    }

    /// Makes attempts until one is whole or the retry policy gives up; `None`: the caller is gone.
    async fn attempts(
        self: &Arc<Self>,
        entry: &Entry,
        request: &Request,
        once: Option<&Claim>,
    ) -> Result<Option<ReplyFinish>, Refusal> {
        let now = self.parts.clock.monotonic();
        let deadline = now + entry.time;
        self.decisions().retries.on_request(now, &entry.workspace);
        let holder = self.holder(entry);
        let mut search = self.parts.placement.search(entry, holder.as_deref());
        let mut last: Option<Failed> = None;
        let mut recovery = Recovery::default();
        let mut any_role = entry.serves_any_role();
        loop {
            let Some(ask) = search.next_ask() else {
                // An engine may be in the role without this router having heard of it.
                let other_role = last
                    .as_ref()
                    .is_none_or(|failed| failed.fault.reason == RefusalReason::OtherRole);
                if let Some(serves) = any_role.take().filter(|_| other_role) {
                    search = self.parts.placement.search_in(entry, &serves, holder.as_deref());
                    continue;
                }
                let Some(failed) = last.take() else {
                    return Err(refusal::no_replica(&mut self.decisions().random));
                };
                let Some(pause) = recovery.next(failed.fault.reason) else {
                    let random = &mut self.decisions().random;
                    let idempotent = entry.traits().idempotent;
                    return Err(refusal::nobody_left(&failed.fault, idempotent, random));
                };
                tokio::time::sleep(pause.mul_f64(self.jitter())).await;
                search = self.parts.placement.search(entry, holder.as_deref());
                any_role = entry.serves_any_role();
                last = Some(failed);
                continue;
            };
            let Some(replica) = self.parts.placement.name_of(ask.replica) else {
                continue;
            };
            if let Some(failed) = last.take() {
                self.retry(entry, request, failed, deadline).await?;
            }
            let left = deadline.saturating_sub(self.parts.clock.monotonic());
            let (index, claim) = (ask.replica, ask.claim);
            let asked =
                Asked { replica: &replica, index, claim, search: &search, deadline, left, once };
            match attempt::run(self, entry, request, &asked).await {
                Ended::Whole(finish) => {
                    self.note_role(entry, &replica);
                    return Ok(Some(finish));
                }
                Ended::CallerGone => return Ok(None),
                Ended::BodyFailed(refusal) => {
                    return Err(Refusal { verdict: request.verdict(), ..refusal });
                }
                // Another attempt would send the body without its beginning.
                Ended::Failed(fault) if !entry.is_replayable() => {
                    let random = &mut self.decisions().random;
                    return Err(refusal::nobody_left(&fault, entry.traits().idempotent, random));
                }
                Ended::Failed(fault) => {
                    if fault.reason == RefusalReason::OtherRole {
                        self.parts.placement.refused_role(&replica, &entry.role());
                    }
                    self.note(&mut search, ask.replica, &replica, &fault);
                    last = Some(Failed { fault, paid: None });
                }
                Ended::Left(fault, retry) => {
                    search.failed(ask.replica);
                    last = Some(Failed { fault, paid: Some(retry) });
                }
            }
        }
    }

    /// Notes that an engine answered a chat, by which its role is known.
    fn note_role(&self, entry: &Entry, replica: &str) {
        let role = entry.role();
        if !role.is_empty() {
            self.parts.placement.set_role(replica, Some(role));
        }
    }

    /// Returns a factor that keeps requests which pause together from returning together.
    fn jitter(&self) -> f64 {
        self.decisions().random.random_range(0.5..1.5)
    }

    /// Tells the search how a replica answered.
    fn note(&self, search: &mut Search, index: ReplicaIndex, replica: &str, fault: &Fault) {
        let load_tokens = self.parts.placement.load_tokens(replica);
        match fault.reason {
            RefusalReason::OverBound | RefusalReason::NotHeld | RefusalReason::QueueFull => {
                search.refused(index, load_tokens);
            }
            RefusalReason::PerhapsHeld => search.perhaps(index, load_tokens),
            _ => search.failed(index),
        }
    }

    /// Returns the replica that the caller's affinity token names.
    fn holder(&self, entry: &Entry) -> Option<Name> {
        let Work::Chat(chat) = &entry.work else {
            return None;
        };
        let affinity = self.affinity.open(chat.affinity.as_deref()?)?;
        let guides = affinity.guides(&entry.workspace, chat_key(entry).0, self.wall_ms());
        guides.then_some(affinity.replica)
    }

    /// Returns the token by which the caller names `replica` when it returns.
    pub(super) fn affinity_token(&self, entry: &Entry, replica: &Name) -> Option<String> {
        if !matches!(entry.work, Work::Chat(_)) {
            return None;
        }
        Some(self.affinity.seal(&Affinity {
            workspace: entry.workspace.clone(),
            replica: replica.clone(),
            chat_key: chat_key(entry).0,
            made_at_ms: self.wall_ms(),
        }))
    }

    fn wall_ms(&self) -> u64 {
        let wall = self.parts.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        wall.unwrap_or_default().as_millis() as u64
    }

    async fn take_permit(&self, entry: &Entry) -> Result<HeldPermit, Refusal> {
        let configuration = &entry.routing.numbered.configuration;
        let limits = &configuration.workspaces[&entry.workspace].limits;
        let work = limits::Work { tokens: entry.work_tokens(), deadline_left: entry.time };
        self.parts.limits.take(&entry.workspace, limits, work).await
    }

    async fn reserve(&self, entry: &Entry) -> Result<Reservation, Refusal> {
        let configuration = &entry.routing.numbered.configuration;
        let budget = configuration.workspaces[&entry.workspace].budget.as_ref();
        self.parts.usage.reserve(&entry.workspace, budget, entry.work_tokens()).await
    }

    fn record(&self, entry: &Entry, request: &Request) {
        let kind = match &entry.work {
            Work::Chat(_) => UpstreamKind::Engine,
            Work::Call(_) => UpstreamKind::Service,
        };
        self.parts.metrics.add_answered(kind);
        let times = request.token_times();
        if let Some(first) = times.first {
            self.parts.metrics.record_first_token(first);
        }
        if let Some(between) = times.between {
            self.parts.metrics.record_inter_token(between);
        }
    }

    pub(super) fn decisions(&self) -> MutexGuard<'_, Decisions> {
        self.decisions.lock().expect("decision lock is never poisoned")
    }
}

/// How a request ended that was not refused.
pub(super) enum Answered {
    /// Answered whole.
    Whole,
    /// Answered with the outcome of an earlier run.
    Repeated,
    /// The caller went away.
    CallerGone,
}

/// Waits until nobody wants the answer any more.
///
/// A request that runs at most once is not cancelled with its caller: it may have run already, and
/// a repeat should find its outcome instead of a record without one.
async fn caller_gone(entry: &Entry, request: &Request) {
    match entry.is_at_most_once() {
        true => std::future::pending().await,
        false => request.parts().closed().await,
    }
}

fn retry_settings(routing: &Routing) -> RetrySettings {
    let policy = &routing.numbered.configuration.policy;
    let workspace_burst = f64::from(policy.retry_burst);
    let budget = BudgetSettings {
        ratio: policy.retry_ratio,
        workspace_burst,
        overall_burst: workspace_burst * OVERALL_BURST,
    };
    RetrySettings { budget, attempts: ATTEMPTS }
}
