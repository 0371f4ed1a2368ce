//! State of one owned replica: its load, its queue and its circuit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_config::configuration::PolicyConfiguration;
use teaselworks_policy::admission::deadline::RunTime;
use teaselworks_policy::admission::queue::{Entry, EntryId, FairQueue};
use teaselworks_policy::load::{Admission, BoundPolicy, ReplicaLoad, Work};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::{Belief, Claim, Holdings, PrefixBlock};
use teaselworks_policy::retry::breaker::{Breaker, Pass};
use teaselworks_policy::verdict::{Priority, Refusal, RefusalReason};
use teaselworks_wire::message::TokenUse;
use tokio::sync::oneshot;

/// Prefixes that one replica is believed to hold at most, at 6 bytes each.
const HOLDINGS: usize = 65_536;
/// Time after a change of owner for which what the replica holds may not be known here.
const HOLDINGS_DOUBT: Duration = Duration::from_secs(600);
/// Time before the caller's deadline at which a request that still waits is refused, at least.
///
/// What goes wrong without it: the entry's own deadline comes first. All it knows is that the
/// request was sent to the owner, so that its caller is told that it may have run.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Part of the time left that the margin may take: one in this many.
const MOST_MARGIN: u32 = 4;
/// What callers are told whose request cannot be answered in time.
const NO_TURN: &str = "The queue is too long for the time left.";
/// When a caller may return to a replica that is at its bound, in milliseconds.
const BOUND_RETURN_MS: u64 = 250;
/// When a caller may return to an upstream whose circuit is open, in milliseconds.
const CIRCUIT_RETURN_MS: u64 = 1_000;

/// State of one owned replica.
pub struct Replica {
    /// Name of the replica.
    pub name: Name,
    state: Mutex<State>,
}

struct State {
    load: ReplicaLoad,
    tenure: Tenure,
    holdings: Holdings,
    queue: FairQueue<Waiter>,
    running: u32,
    /// Attempts that may run at once.
    places: u32,
    run_time: RunTime,
    breaker: Breaker,
}

/// Since when this router owns a replica, and until when another may act for it too, as readings
/// of the monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    /// Since when it owns it.
    pub since: Duration,
    /// Until when another may act.
    pub shared_until: Duration,
}

/// An attempt that waits for its turn.
struct Waiter {
    turn: oneshot::Sender<Turn>,
    runs: Arc<AtomicBool>,
}

impl Waiter {
    fn refuse(self, refusal: Refusal) {
        // A receiver that is gone belongs to an attempt that ended by itself.
        let _ = self.turn.send(Turn::Refused(refusal));
    }
}

/// What becomes of an attempt that waited.
pub enum Turn {
    /// It may run now.
    Run,
    /// It is refused.
    Refused(Refusal),
}

/// An attempt as the replica admits it.
pub struct Request<'a> {
    /// Identity of the attempt.
    pub attempt: &'a AttemptId,
    /// Workspace that is charged.
    pub workspace: &'a Name,
    /// Share of the workspace in the queue.
    pub weight: u32,
    /// Order in which the attempt waits.
    pub priority: Priority,
    /// Reading of the monotonic clock at the caller's deadline.
    pub deadline: Duration,
    /// What the entry claims.
    pub claim: Claim,
    /// Prefixes of a chat's messages; empty for a call.
    pub prefix: &'a [PrefixBlock],
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length in tokens.
    pub output_tokens: u32,
    /// Since when this router owns the replica, and until when it shares it.
    pub tenure: Tenure,
    /// Mean load of the pool in tokens.
    pub mean_tokens: f64,
}

/// An attempt that was counted; it waits where `waiting` is present.
pub struct Counted {
    /// Permission of the circuit.
    pub pass: Pass,
    /// Its place in the queue, where it waits.
    pub waiting: Option<Waiting>,
    /// Whether the attempt holds one of the replica's running places; changed under its lock.
    pub runs: Arc<AtomicBool>,
}

/// An attempt's place in the queue.
pub struct Waiting {
    /// Arrives when a place becomes free.
    pub turn: oneshot::Receiver<Turn>,
    /// Identity in the queue.
    pub id: EntryId,
    /// Reading of the monotonic clock at which it is refused.
    pub deadline: Duration,
}

impl Replica {
    /// Starts with a replica that this router owned since `load` says.
    pub fn new(name: Name, load: ReplicaLoad, policy: &PolicyConfiguration, seed: u64) -> Self {
        let state = State {
            load,
            tenure: Tenure::default(),
            holdings: Holdings::new(HOLDINGS),
            queue: FairQueue::new(policy.queue_requests as usize, seed),
            running: 0,
            places: policy.running_requests,
            run_time: RunTime::default(),
            breaker: Breaker::default(),
        };
        Self { name, state: Mutex::new(state) }
    }

    /// Counts an attempt within the bound and gives it a place or a turn in the queue.
    pub fn admit(
        &self,
        now: Duration,
        request: &Request,
        policy: &PolicyConfiguration,
    ) -> Result<Counted, Refusal> {
        let mut state = self.state();
        state.queue.set_room(policy.queue_requests as usize);
        state.places = policy.running_requests;
        state.pass_turns(now);
        let Some(pass) = state.breaker.allow(now) else {
            let detail = "The upstream's circuit is open.";
            let retry_after_ms = Some(CIRCUIT_RETURN_MS);
            return Err(Refusal::not_run(RefusalReason::CircuitOpen, retry_after_ms, detail));
        };
        if let Err(refusal) = state.count(now, request, policy) {
            state.breaker.cancelled(pass);
            return Err(refusal);
        }
        if state.running < state.places {
            state.running += 1;
            let runs = Arc::new(AtomicBool::new(true));
            return Ok(Counted { pass, waiting: None, runs });
        }
        let runs = Arc::new(AtomicBool::new(false));
        match state.wait(now, request, runs.clone()) {
            Ok(waiting) => Ok(Counted { pass, waiting: Some(waiting), runs }),
            Err(refusal) => {
                state.load.finish(request.attempt);
                state.breaker.cancelled(pass);
                Err(refusal)
            }
        }
    }

    /// Refuses the attempts that waited too long.
    pub fn expire(&self, now: Duration) {
        self.state().expire(now);
    }

    /// Notes how long a whole answer took.
    pub fn record_run(&self, now: Duration, output_tokens: u32, elapsed: Duration) {
        self.state().run_time.record(now, output_tokens.into(), elapsed);
    }

    /// Notes the tokens that an attempt has generated.
    pub fn progress(&self, attempt: &AttemptId, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.state().load.progress(attempt, tokens);
    }

    /// Notes that the engine computed a chat's prefixes, and how much of it it had found held.
    pub fn answered(&self, now: Duration, prefix: &[PrefixBlock], tokens: &TokenUse) {
        let holdings = &mut self.state().holdings;
        holdings.learn(prefix, tokens.cached_tokens, tokens.prompt_tokens, now);
        holdings.store(prefix, now);
    }

    /// Takes the engine's own count of requests; tells whether it shows work of another owner.
    pub fn take_report(&self, now: Duration, tenure: Tenure, requests: u32) -> bool {
        let mut state = self.state();
        state.set_tenure(tenure);
        state.load.report(now, requests);
        state.load.has_foreign()
    }

    /// Ends an attempt that was counted and gives its place to the next one.
    ///
    /// An attempt may be given up at the moment its turn comes; `runs`, changed only under the
    /// lock, tells for sure whether it holds a place that must be given back.
    pub fn finish(
        &self,
        now: Duration,
        attempt: &AttemptId,
        waiting: Option<EntryId>,
        runs: &AtomicBool,
    ) {
        let mut state = self.state();
        state.load.finish(attempt);
        if runs.swap(false, Ordering::Relaxed) {
            state.running = state.running.saturating_sub(1);
            state.pass_turns(now);
        } else if let Some(waiting) = waiting {
            state.queue.remove(now, waiting);
        }
    }

    /// Refuses every attempt that waits, so that its entry tries another replica.
    pub fn turn_away(&self, now: Duration, refusal: &Refusal) {
        for waiter in self.state().queue.take_all(now) {
            waiter.refuse(refusal.clone());
        }
    }

    /// Tells the circuit how an attempt ended; `None`: it says nothing about the upstream.
    pub fn report(&self, now: Duration, pass: Pass, success: Option<bool>) {
        let mut state = self.state();
        match success {
            Some(true) => state.breaker.success(now, pass),
            Some(false) => state.breaker.failure(now, pass),
            None => state.breaker.cancelled(pass),
        }
    }

    /// Returns the load in tokens.
    pub fn load_tokens(&self) -> u64 {
        self.state().load.load_tokens()
    }

    /// Returns the number of attempts running and waiting.
    pub fn attempts(&self) -> usize {
        self.state().load.running()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("replica lock is never poisoned")
    }
}

impl State {
    fn count(
        &mut self,
        now: Duration,
        request: &Request,
        policy: &PolicyConfiguration,
    ) -> Result<(), Refusal> {
        // An upstream that returns after failures starts with a part of its usual load, so that
        // a cold one is not overrun by everything that waited for it.
        let share = self.breaker.work_share(now).max(f64::MIN_POSITIVE);
        let bound = BoundPolicy {
            multiple: policy.bound_multiple * share,
            floor_tokens: (policy.bound_floor_tokens as f64 * share) as u64,
        };
        let Request { attempt, claim, mean_tokens, .. } = *request;
        if claim == Claim::IfHeld {
            self.check_held(now, request.prefix)?;
        }
        let work = self.work(now, request);
        self.set_tenure(request.tenure);
        match self.load.try_admit(now, attempt, work, claim, mean_tokens, &bound) {
            Admission::Admit { .. } => Ok(()),
            Admission::Refuse { .. } => {
                let detail = "The replica would carry more than its bound.";
                Err(Refusal::not_run(RefusalReason::OverBound, Some(BOUND_RETURN_MS), detail))
            }
            Admission::Duplicate => {
                let detail = "The attempt is in progress already.";
                Err(Refusal::not_run(RefusalReason::DuplicateCall, None, detail))
            }
        }
    }

    /// Notes until when another owner may act; a later time than before means that there is one:
    /// a former owner, or on the far side of a split one that this router has not made way for.
    fn set_tenure(&mut self, tenure: Tenure) {
        let before = std::mem::replace(&mut self.tenure, tenure);
        let until = tenure.shared_until;
        if until <= before.shared_until {
            self.tenure.shared_until = before.shared_until;
            return;
        }
        if before.shared_until > Duration::ZERO && tenure.since == before.since {
            self.load.share(until);
            return;
        }
        self.load.take_over(until, 0);
        self.holdings.doubt(until + HOLDINGS_DOUBT);
    }

    /// Returns the work of an attempt: what the engine need not compute anew does not count.
    fn work(&self, now: Duration, request: &Request) -> Work {
        let held_tokens = self.holdings.expected_tokens(request.prefix, now);
        Work {
            uncached_tokens: request.prompt_tokens.saturating_sub(held_tokens),
            output_tokens: request.output_tokens,
        }
    }

    fn check_held(&self, now: Duration, prefix: &[PrefixBlock]) -> Result<(), Refusal> {
        let (reason, detail) = match self.holdings.belief(prefix, now) {
            Belief::Held => return Ok(()),
            // Only routers read these: the search goes on, and no caller is refused for them.
            Belief::Perhaps => (RefusalReason::PerhapsHeld, "Perhaps held."),
            Belief::No => (RefusalReason::NotHeld, "Not held."),
        };
        Err(Refusal::not_run(reason, None, detail))
    }

    fn wait(
        &mut self,
        now: Duration,
        request: &Request,
        runs: Arc<AtomicBool>,
    ) -> Result<Waiting, Refusal> {
        let (turn, receiver) = oneshot::channel();
        let deadline = self.latest_turn(now, request);
        let entry = Entry {
            workspace: request.workspace.clone(),
            priority: request.priority,
            weight: request.weight,
            work_tokens: self.work(now, request).tokens(),
            deadline,
            item: Waiter { turn, runs },
        };
        match self.queue.push(now, entry) {
            Ok(queued) => {
                if let Some(displaced) = queued.displaced {
                    let refusal = queue_refusal(displaced.reason, displaced.retry_after_ms);
                    displaced.item.refuse(refusal);
                }
                Ok(Waiting { turn: receiver, id: queued.id, deadline })
            }
            Err(refused) => Err(queue_refusal(refused.reason, refused.retry_after_ms)),
        }
    }

    /// Returns when an attempt must have its turn, so that its answer is whole by the deadline.
    fn latest_turn(&self, now: Duration, request: &Request) -> Duration {
        let left = request.deadline.saturating_sub(now);
        let margin = ANSWER_MARGIN.min(left / MOST_MARGIN);
        let run_time = self.run_time.expected(request.output_tokens.into());
        request.deadline.saturating_sub(run_time.max(margin))
    }

    /// Gives free places to those who still wait; refuses those who waited too long.
    fn pass_turns(&mut self, now: Duration) {
        while self.running < self.places {
            let Some(entry) = self.queue.pop(now) else { break };
            let Waiter { turn, runs } = entry.item;
            if turn.send(Turn::Run).is_ok() {
                runs.store(true, Ordering::Relaxed);
                self.running += 1;
            }
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Duration) {
        for waiter in self.queue.expire(now) {
            waiter.refuse(Refusal::not_run(RefusalReason::Deadline, None, NO_TURN));
        }
    }
}

fn queue_refusal(reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    let detail = match reason {
        RefusalReason::Deadline => NO_TURN,
        _ => "The queue is full.",
    };
    Refusal::not_run(reason, Some(retry_after_ms), detail)
}

/// Shares a replica.
pub type SharedReplica = Arc<Replica>;
