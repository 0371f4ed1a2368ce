//! Takes attempts for the replicas that this router owns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use teaselworks_config::configuration::{NumberedConfiguration, PolicyConfiguration, Upstream};
use teaselworks_policy::clock::Clock;
use teaselworks_policy::load::ReplicaLoad;
use teaselworks_policy::membership::Duty;
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{Claim, PrefixBlock};
use teaselworks_policy::verdict::{Priority, Refusal, RefusalReason, Verdict};
use teaselworks_wire::message::{LoadSample, Open, Reply, ReplyRefusal, Target};
use tokio::sync::mpsc;

use super::body::{Arriving, RequestBody};
use super::replica::{Replica, Request, SharedReplica, Tenure};
use super::role::Roles;
use super::slot::Slot;
use super::stage::{Stage, StageCount};
use super::{call, chat};
use crate::daemon::FleetView;
use crate::dispatch::Placement;
use crate::exchange::Incoming;
use crate::metrics::Metrics;
use crate::upstream::{EngineClient, ServiceClient};
use crate::usage::UsageService;

/// Work that one call to a plain service counts as, in tokens.
const CALL_TOKENS: u32 = 64;
/// Time after the deadline at which the owner gives up by itself.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// When a caller may return to an owner that cannot serve now, in milliseconds.
const RETURN_AFTER_MS: u64 = 250;

/// Services that the owner works with.
pub struct OwnerParts {
    /// Name of this router.
    pub router: Name,
    /// The fleet as this router sees it.
    pub fleet: FleetView,
    /// Replicas and their loads.
    pub placement: Arc<Placement>,
    /// Client of engines.
    pub engines: EngineClient,
    /// Client of plain services.
    pub services: ServiceClient,
    /// Counts use.
    pub usage: Arc<UsageService>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Largest request body in bytes.
    pub body_size_bytes: u64,
    /// Seed of the random numbers that spread return times.
    pub seed: u64,
}

/// Takes attempts for the replicas that this router owns.
pub struct Owner {
    pub(super) parts: OwnerParts,
    configuration: Mutex<Arc<NumberedConfiguration>>,
    replicas: Mutex<HashMap<Name, SharedReplica>>,
    pub(super) roles: Roles,
}

/// An attempt that was admitted and has its turn.
pub(super) struct Admitted {
    /// What is asked for.
    pub open: Open,
    /// Replica asked for.
    pub replica: SharedReplica,
    /// Its configuration.
    pub upstream: Upstream,
    /// The request body.
    pub body: RequestBody,
    /// The place at the replica.
    pub slot: Slot,
    /// Where replies go.
    pub replies: mpsc::Sender<Reply>,
    _running: StageCount,
}

impl Owner {
    /// Makes an owner without a configuration.
    pub fn new(parts: OwnerParts) -> Arc<Self> {
        let configuration = Mutex::new(Arc::new(NumberedConfiguration::default()));
        let replicas = Mutex::new(HashMap::new());
        Arc::new(Self { parts, configuration, replicas, roles: Roles::default() })
    }

    /// Puts a configuration in force for attempts that come from now on.
    pub fn apply(&self, numbered: Arc<NumberedConfiguration>) {
        let upstreams = &numbered.configuration.upstreams;
        self.replicas
            .lock()
            .expect("replica lock is never poisoned")
            .retain(|name, replica| upstreams.contains_key(name) || replica.attempts() > 0);
        *self.configuration.lock().expect("configuration lock is never poisoned") = numbered;
    }

    /// Returns the configuration in force.
    pub(super) fn numbered(&self) -> Arc<NumberedConfiguration> {
        self.configuration.lock().expect("configuration lock is never poisoned").clone()
    }

    /// Takes an attempt; its replies go where `incoming` says.
    pub fn accept(self: &Arc<Self>, incoming: Incoming) {
        tokio::spawn(self.clone().serve(incoming));
    }

    /// Returns the number of attempts running and waiting at all replicas.
    pub fn attempts(&self) -> usize {
        let replicas = self.replicas.lock().expect("replica lock is never poisoned");
        replicas.values().map(|replica| replica.attempts()).sum()
    }

    async fn serve(self: Arc<Self>, incoming: Incoming) {
        let Incoming { open, body, replies, cancelled } = incoming;
        let deadline = Duration::from_millis(open.deadline_ms) + DEADLINE_GRACE;
        let body = Arriving { parts: body, cut: cancelled.child_token() };
        // The upstream's client may hold the body for longer than this task lives.
        let _cut = body.cut.clone().drop_guard();
        let served = self.run(open, body, replies.clone());
        let refusal = tokio::select! {
            biased;
            // First: the body of a lost link ends, and its beginning would go out as all of it.
            () = cancelled.cancelled() => return,
            served = served => match served {
                Ok(()) => return,
                Err(refusal) => refusal,
            },
            // The entry has cancelled at the deadline, unless it is gone or its link is silent.
            () = tokio::time::sleep(deadline) => return,
        };
        let _ = replies.send(Reply::Refusal(refusal)).await;
    }

    async fn run(
        self: &Arc<Self>,
        open: Open,
        body: Arriving,
        replies: mpsc::Sender<Reply>,
    ) -> Result<(), ReplyRefusal> {
        let admitted = self.admit(open, body, replies).await?;
        match admitted.open.target.clone() {
            Target::Chat(target) => chat::serve(self, admitted, target).await,
            Target::Call(target) => call::serve(self, admitted, target).await,
        }
    }

    async fn admit(
        self: &Arc<Self>,
        open: Open,
        body: Arriving,
        replies: mpsc::Sender<Reply>,
    ) -> Result<Admitted, ReplyRefusal> {
        let numbered = self.numbered();
        let configuration = &numbered.configuration;
        let upstream = configuration.upstreams.get(&open.replica).cloned();
        let upstream = upstream.ok_or_else(|| no_replica("The replica is not configured."))?;
        if upstream.leaving || self.parts.fleet.is_leaving(&open.replica) {
            return Err(no_replica("The replica is leaving."));
        }
        let tenure = self.check_duty(&open.replica)?;
        self.check_role(&open, &upstream, tenure.shared_until).await?;
        let replica = self.replica(&open.replica, &configuration.policy);
        let serves = self.parts.placement.pool_of(&open.replica, &upstream);
        let weight = configuration.workspaces.get(&open.workspace).map_or(1, |known| known.weight);
        let now = self.parts.clock.monotonic();
        let estimate = Estimate::of(&open.target);
        let request = Request {
            attempt: &open.attempt,
            workspace: &open.workspace,
            weight,
            priority: open.priority,
            deadline: now + Duration::from_millis(open.deadline_ms),
            claim: open.claim,
            prefix: estimate.prefix,
            prompt_tokens: estimate.prompt_tokens,
            output_tokens: estimate.output_tokens,
            tenure,
            mean_tokens: self.mean_for(&open, &serves),
        };
        let counted = replica
            .admit(now, &request, &configuration.policy)
            .map_err(|refusal| self.refused(&replica, &serves, refusal))?;
        let queued = counted.waiting.is_some().then(|| self.count(Stage::Queued, open.priority));
        let clock = self.parts.clock.clone();
        let slot = Slot::take(replica.clone(), clock, open.attempt.clone(), counted).await;
        drop(queued);
        let wait = self.parts.clock.monotonic().saturating_sub(now);
        self.parts.metrics.record_queue_wait(open.priority, wait);
        let slot = slot.map_err(|refusal| self.refused(&replica, &serves, refusal))?;
        self.check_role_again(&open, &upstream)?;
        let running = self.count(Stage::Running, open.priority);
        let body = body.read(&open.target, self.parts.body_size_bytes).await?;
        Ok(Admitted { open, replica, upstream, body, slot, replies, _running: running })
    }

    /// Returns the mean load that an attempt is judged by, in tokens.
    ///
    /// For the last claim the entry's view counts too: it has just heard the loads of those who
    /// refused, while this router's estimate may be from before a burst.
    fn mean_for(&self, open: &Open, serves: &str) -> f64 {
        let mean_tokens = self.parts.placement.mean_tokens(serves);
        match open.claim {
            Claim::Last => mean_tokens.max(open.refused_mean_tokens as f64),
            _ => mean_tokens,
        }
    }

    /// Checks that this router may act for the replica; returns since when, and until when it
    /// shares it.
    ///
    /// Two routers whose views differ may both send to one replica; each then counts only its own
    /// attempts and the replica's load exceeds the bound. A router that does not own the replica,
    /// or whose view may be old, refuses; a new owner takes half of the bound for as long as a
    /// former one may still act.
    fn check_duty(&self, replica: &Name) -> Result<Tenure, ReplyRefusal> {
        let detail = match self.parts.fleet.duty(replica) {
            Duty::Mine { since, exclusive_from } => {
                return Ok(Tenure { since, shared_until: exclusive_from });
            }
            Duty::Unconfirmed { .. } => "The router was out of touch and cannot act as owner yet.",
            Duty::Elsewhere => "Another router owns the replica.",
        };
        Err(refuse(Refusal::not_run(RefusalReason::NotOwner, Some(RETURN_AFTER_MS), detail)))
    }

    /// Returns a replica that has had attempts or a report here.
    pub(super) fn known(&self, name: &str) -> Option<SharedReplica> {
        self.replicas.lock().expect("replica lock is never poisoned").get(name).cloned()
    }

    fn count(&self, stage: Stage, priority: Priority) -> StageCount {
        StageCount::new(self.parts.metrics.clone(), stage, priority)
    }

    pub(super) fn replica(&self, name: &Name, policy: &PolicyConfiguration) -> SharedReplica {
        let mut replicas = self.replicas.lock().expect("replica lock is never poisoned");
        let seed = self.parts.seed;
        let new = || Replica::new(name.clone(), ReplicaLoad::default(), policy, seed);
        replicas.entry(name.clone()).or_insert_with(|| Arc::new(new())).clone()
    }

    fn refused(&self, replica: &Replica, serves: &str, refusal: Refusal) -> ReplyRefusal {
        let load = self.load(replica, serves);
        ReplyRefusal { refusal, tokens: None, load }
    }

    /// Returns the load of a replica, noting it for this router's own mean.
    pub(super) fn load(&self, replica: &Replica, serves: &str) -> LoadSample {
        let load_tokens = replica.load_tokens();
        let sample = LoadSample { load_tokens, ..LoadSample::default() };
        self.parts.placement.observe(&replica.name, sample);
        self.parts.placement.sample(serves, load_tokens)
    }
}

/// Returns a refusal of an attempt that no upstream has seen.
pub(super) fn refuse(refusal: Refusal) -> ReplyRefusal {
    ReplyRefusal { refusal, tokens: None, load: LoadSample::default() }
}

fn no_replica(detail: &str) -> ReplyRefusal {
    refuse(Refusal::not_run(RefusalReason::NoReplica, Some(RETURN_AFTER_MS), detail))
}

/// Work of an attempt as its entry estimates it.
pub(super) struct Estimate<'a> {
    prefix: &'a [PrefixBlock],
    prompt_tokens: u32,
    /// Answer length in tokens.
    pub output_tokens: u32,
}

impl<'a> Estimate<'a> {
    /// Takes the estimate from what is asked for.
    pub fn of(target: &'a Target) -> Self {
        match target {
            Target::Chat(chat) => Self {
                prefix: &chat.prefix,
                prompt_tokens: chat.prompt_tokens,
                output_tokens: chat.output_tokens.saturating_sub(chat.resume_tokens),
            },
            Target::Call(_) => Self { prefix: &[], prompt_tokens: 0, output_tokens: CALL_TOKENS },
        }
    }
}

/// Returns the refusal of an attempt that an upstream failed.
pub(super) fn upstream_refusal(error: &crate::upstream::UpstreamError, sent: Verdict) -> Refusal {
    Refusal {
        reason: error.reason,
        verdict: error.verdict.max(sent),
        retry_after_ms: error.retry_after_ms,
        detail: format!("The upstream failed: {}.", error.detail),
    }
}
