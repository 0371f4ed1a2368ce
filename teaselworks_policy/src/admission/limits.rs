//! Limits of workspaces on requests, tokens and concurrency, as one router enforces its part.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::name::Name;
use crate::verdict::{Refusal, RefusalReason};

use super::deadline::spread_ms;
use super::loan::{Ask, Grant, LeaseEnd, Settlement};
use super::open::OpenShare;
use super::share::{Place, Source, Taken, WorkspaceState};

/// Workspaces held before idle ones are looked for.
const FIRST_SWEEP: usize = 64;
/// Limits of one workspace and this router's part of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests a second over the whole fleet.
    pub requests_per_s: Option<f64>,
    /// Tokens a second over the whole fleet, prompt and answer together.
    pub tokens_per_s: Option<f64>,
    /// Requests in progress at once over the whole fleet.
    pub concurrent_requests: Option<u32>,
    /// Share that this router grants by itself, above 0 and at most 1; with lending it is
    /// [`base_share`](super::lending::base_share), without it 1 / live routers.
    pub share: f64,
    /// Whether the workspace's owner can be asked. While it cannot, the router grants at least
    /// one request, however small its share.
    pub owner_reachable: bool,
    /// Number of the workspace's owner, another one for each start of a router.
    ///
    /// What goes wrong without it: a new owner lends all of a limit while leases of the former one
    /// are still in use.
    pub owner: u64,
    /// What this router grants beyond its share while the workspace is far from its limits.
    pub open: OpenShare,
}

/// What one request asks of its workspace's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Estimated prompt and answer, in tokens.
    pub tokens: u64,
    /// Time left until the request's deadline.
    pub deadline_left: Duration,
}

/// A request that this router cannot grant by itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortage {
    /// The answer to the caller when the owner is not asked, cannot be reached or denies.
    pub refusal: Refusal,
    /// What to ask the owner for; `None` when it denied just now or cannot be reached.
    pub ask: Option<Ask>,
    /// What the owner is to be told, where a lent slot is of no use.
    pub give_back: Option<Settlement>,
}

/// Permission for one request, to be settled and released when it ends.
#[derive(Debug)]
#[must_use = "a permit that is not released holds its workspace's concurrency for ever"]
pub struct Permit {
    workspace: Name,
    charged_tokens: u64,
    extra_tokens: i64,
    taken: Taken,
}

/// Enforces limits for the workspaces that were active lately.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    workspaces: HashMap<Name, WorkspaceState>,
    /// Workspaces with leases.
    leased: BTreeSet<Name>,
    sweep_at: usize,
    rng: Pcg32,
}

impl WorkspaceLimiter {
    /// Makes a limiter; `seed` spreads the return times of refused callers.
    pub fn new(seed: u64) -> Self {
        Self {
            workspaces: HashMap::new(),
            leased: BTreeSet::new(),
            sweep_at: FIRST_SWEEP,
            rng: Pcg32::new(seed, 1),
        }
    }

    /// Returns the number of workspaces whose state is held.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Tells whether no workspace's state is held.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the requests of `workspace` in progress here.
    pub fn in_progress(&self, workspace: &Name) -> u32 {
        self.workspaces.get(workspace).map_or(0, WorkspaceState::in_progress)
    }

    /// Takes permission for a request.
    ///
    /// # Errors
    ///
    /// `Concurrency`, `RequestRate` or `TokenRate`; nothing is taken then. Where the shortage has
    /// an ask, the owner's grant goes to [`WorkspaceLimiter::take_lent`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::admission::limits::{Limits, Work, WorkspaceLimiter};
    /// use teaselworks_policy::admission::open::OpenShare;
    ///
    /// let limits = Limits {
    ///     requests_per_s: None,
    ///     tokens_per_s: None,
    ///     concurrent_requests: Some(1),
    ///     share: 1.0,
    ///     owner_reachable: false,
    ///     owner: 0,
    ///     open: OpenShare::NONE,
    /// };
    /// let mut limiter = WorkspaceLimiter::new(7);
    /// let work = Work { tokens: 100, deadline_left: Duration::from_secs(9) };
    /// let now = Duration::ZERO;
    /// let permit = limiter.try_take(now, &"school".into(), &limits, work).unwrap();
    /// assert!(limiter.try_take(now, &"school".into(), &limits, work).is_err());
    /// limiter.release(now, permit);
    /// assert!(limiter.try_take(now, &"school".into(), &limits, work).is_ok());
    /// ```
    pub fn try_take(
        &mut self,
        now: Duration,
        workspace: &Name,
        limits: &Limits,
        work: Work,
    ) -> Result<Permit, Box<Shortage>> {
        let state = self.workspaces.entry(workspace.clone()).or_default();
        state.note_request(now, work);
        self.take(now, workspace, limits, work, None)
    }

    /// Takes permission for the request that the owner was asked about, by its grant.
    ///
    /// # Errors
    ///
    /// As [`WorkspaceLimiter::try_take`]; after a denial the shortage has no ask.
    pub fn take_lent(
        &mut self,
        now: Duration,
        workspace: &Name,
        limits: &Limits,
        work: Work,
        grant: &Grant,
    ) -> Result<Permit, Box<Shortage>> {
        let slot = self.note_grant(now, workspace, grant);
        self.take(now, workspace, limits, work, slot)
    }

    /// Takes in a grant whose request is gone; returns what the owner is to be told.
    pub fn discard(
        &mut self,
        now: Duration,
        workspace: &Name,
        grant: &Grant,
    ) -> Option<Settlement> {
        let slot = self.note_grant(now, workspace, grant);
        give_back(workspace, slot)
    }

    /// Returns what owners are to be told of leases that ended or are not used; to be called
    /// several times a second.
    ///
    /// What goes wrong otherwise: slots of a surge that is over are held until the deadlines that
    /// its requests had.
    pub fn lease_ends(&mut self, now: Duration) -> Vec<LeaseEnd> {
        let mut ends = Vec::new();
        self.leased.retain(|name| {
            let Some(state) = self.workspaces.get_mut(name) else { return false };
            ends.extend(state.end_lease(now, name));
            state.holds_lease(now)
        });
        ends
    }

    fn note_grant(&mut self, now: Duration, workspace: &Name, grant: &Grant) -> Option<u64> {
        if let Grant::Leased { .. } = grant {
            self.leased.insert(workspace.clone());
        }
        self.workspaces.entry(workspace.clone()).or_default().note_grant(now, grant)
    }

    fn take(
        &mut self,
        now: Duration,
        workspace: &Name,
        limits: &Limits,
        work: Work,
        slot: Option<u64>,
    ) -> Result<Permit, Box<Shortage>> {
        self.sweep(now);
        let state = self.workspaces.entry(workspace.clone()).or_default();
        match state.take(now, limits, work, slot) {
            Ok(taken) => Ok(Permit {
                workspace: workspace.clone(),
                charged_tokens: work.tokens,
                extra_tokens: 0,
                taken,
            }),
            Err((reason, wait)) => {
                let ask = state.ask(now, workspace, limits, reason, work);
                let (reason, wait) = state.denial(now, reason).unwrap_or((reason, wait));
                let retry_after_ms = spread_ms(wait, 1.0, &mut self.rng);
                let refusal = Refusal::not_run(reason, Some(retry_after_ms), detail(reason));
                Err(Box::new(Shortage { refusal, ask, give_back: give_back(workspace, slot) }))
            }
        }
    }

    /// Replaces the estimate that a permit was charged by the tokens really used.
    pub fn settle(
        &mut self,
        now: Duration,
        permit: &mut Permit,
        limits: &Limits,
        used_tokens: u64,
    ) {
        let difference = used_tokens as i64 - permit.charged_tokens as i64;
        permit.charged_tokens = used_tokens;
        let Some(state) = self.workspaces.get_mut(&permit.workspace) else { return };
        match permit.taken.source {
            Source::Loan => permit.extra_tokens += difference,
            Source::Lease(number) => {
                // The owner is told what its lease can no longer be charged.
                if !state.settle_lease(number, difference) {
                    permit.extra_tokens += difference;
                }
            }
            Source::Open => state.settle_open(now, limits, difference),
            Source::Base => state.settle(now, limits, difference),
        }
    }

    /// Ends a request; returns what its workspace's owner is to be told, once.
    pub fn release(&mut self, now: Duration, permit: Permit) -> Option<Settlement> {
        if let Some(state) = self.workspaces.get_mut(&permit.workspace) {
            state.release(now, permit.taken);
        }
        let slot = match permit.taken.place {
            Place::Lent(slot) => Some(slot),
            Place::Own | Place::Leased(_) => None,
        };
        if slot.is_none() && permit.extra_tokens == 0 {
            return None;
        }
        Some(Settlement { workspace: permit.workspace, slot, extra_tokens: permit.extra_tokens })
    }

    /// Drops idle workspaces, now and then, at a cost constant for each request.
    fn sweep(&mut self, now: Duration) {
        if self.workspaces.len() < self.sweep_at {
            return;
        }
        self.workspaces.retain(|_, state| !state.is_idle(now));
        self.sweep_at = FIRST_SWEEP.max(self.workspaces.len() * 2);
    }
}

fn give_back(workspace: &Name, slot: Option<u64>) -> Option<Settlement> {
    let workspace = workspace.clone();
    slot.map(|slot| Settlement { workspace, slot: Some(slot), extra_tokens: 0 })
}

fn detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Concurrency => "The workspace has too many requests in progress.",
        RefusalReason::RequestRate => "The workspace's request rate is spent.",
        _ => "The workspace's token rate is spent.",
    }
}
