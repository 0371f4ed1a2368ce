//! The service that permits requests by their workspace's limits, and lends to other routers.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_config::configuration::{NumberedConfiguration, WorkspaceLimits};
use teaselworks_policy::admission::lending::{FleetLimits, base_share};
use teaselworks_policy::admission::limits::{Limits, Permit, Shortage, Work, WorkspaceLimiter};
use teaselworks_policy::admission::loan::{Ask, Grant, Settlement};
use teaselworks_policy::admission::open::OpenShare;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::membership::{View, owner_of};
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::Refusal;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ask::{CALL_TIMEOUT, Unanswered};
use super::lending::{Lending, fleet_limits};
use super::message::{Message, decode, encode};
use super::meters::Meters;
use super::permit::HeldPermit;
use crate::kernel::{ServiceName, Shutdown, ShutdownPhase};
use crate::metrics::Metrics;

/// Name of the service among the services.
pub const LIMITS: ServiceName<LimitsService> = ServiceName::new("limits");

/// Asks of one request: a second one is needed where base shares ran out while the first was
/// under way.
const ASKS: usize = 2;
/// Time between looks at the fleet, so that ownership counts from when it began.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the fleet as this router sees it.
pub type ViewSource = Arc<dyn Fn() -> Arc<View> + Send + Sync>;
/// Returns the configuration in force.
pub type ConfigurationSource = Arc<dyn Fn() -> Arc<NumberedConfiguration> + Send + Sync>;
/// Sends a message to a router and returns its answer, `None` when none came in time.
pub type PeerCall =
    Arc<dyn Fn(Name, Bytes, Duration) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// What the service works with.
pub struct LimitsParts {
    /// Name of this router.
    pub router: Name,
    /// The fleet as this router sees it.
    pub view: ViewSource,
    /// The configuration in force.
    pub configuration: ConfigurationSource,
    /// Reaches other routers.
    pub call: PeerCall,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Seed of return times and of the numbers of slots.
    pub seed: u64,
}

/// Permits requests and lends to other routers.
pub struct LimitsService {
    pub(super) parts: LimitsParts,
    limiter: Mutex<WorkspaceLimiter>,
    lending: Mutex<Lending>,
    pub(super) unanswered: Unanswered,
    pub(super) meters: Meters,
}

/// A request before its workspace's limits.
struct Taking<'a> {
    workspace: &'a Name,
    owner: Option<Name>,
    limits: Limits,
    work: Work,
}

impl LimitsService {
    /// Makes a service that has permitted and lent nothing.
    pub fn new(parts: LimitsParts) -> Arc<Self> {
        let first_slot = Pcg64::seed_from_u64(parts.seed).next_u64();
        Arc::new(Self {
            limiter: Mutex::new(WorkspaceLimiter::new(parts.seed)),
            lending: Mutex::new(Lending::new(parts.router.clone(), first_slot)),
            unanswered: Unanswered::default(),
            meters: Meters::new(&parts.metrics),
            parts,
        })
    }

    /// Follows the fleet until the process stops.
    pub fn start(self: &Arc<Self>, shutdown: &Shutdown) {
        let (service, shutdown) = (self.clone(), shutdown.clone());
        tokio::spawn(async move {
            loop {
                service.lending().note(service.now(), &(service.parts.view)());
                service.end_leases();
                tokio::select! {
                    () = shutdown.reached(ShutdownPhase::Stopped) => return,
                    () = tokio::time::sleep(LOOK_INTERVAL) => {}
                }
            }
        });
    }

    /// Takes permission for a request of `work` by its workspace's limits.
    ///
    /// # Errors
    ///
    /// `Concurrency`, `RequestRate` or `TokenRate`, at once where the owner of the workspace
    /// denies, and after half a second at most where it does not answer.
    pub async fn take(
        self: &Arc<Self>,
        workspace: &Name,
        limits: &WorkspaceLimits,
        work: Work,
    ) -> Result<HeldPermit, Refusal> {
        if *limits == WorkspaceLimits::default() {
            return Ok(HeldPermit::unlimited());
        }
        let mut taking = self.taking(workspace, limits, work);
        let mut shortage = match self.try_take(&taking) {
            Ok(permit) => return Ok(self.hold(taking, permit)),
            Err(shortage) => shortage,
        };
        for _ in 0..ASKS {
            let (Some(ask), Some(owner)) = (shortage.ask.take(), taking.owner.clone()) else {
                break;
            };
            let taken = match self.ask(owner, ask, work.deadline_left).await {
                Some(grant) => self.take_lent(&taking, &grant),
                None => {
                    taking.limits.owner_reachable = false;
                    self.try_take(&taking)
                }
            };
            shortage = match taken {
                Ok(permit) => return Ok(self.hold(taking, permit)),
                Err(shortage) => shortage,
            };
            if let Some(settlement) = shortage.give_back.take() {
                self.tell(taking.owner.clone(), settlement);
            }
        }
        Err(shortage.refusal)
    }

    /// Takes a message of another router; `None` when it gets no answer.
    pub fn handle(&self, bytes: &Bytes) -> Option<Bytes> {
        match decode(bytes)? {
            Message::Ask(ask) => self.lend(&ask).map(|grant| encode(&grant)),
            Message::Settle(settlement) => {
                self.lending().settle(&settlement);
                Some(Bytes::new())
            }
            Message::End(end) => {
                self.lending().end_lease(&end);
                Some(Bytes::new())
            }
        }
    }

    fn taking<'a>(&self, workspace: &'a Name, limits: &WorkspaceLimits, work: Work) -> Taking<'a> {
        let view = (self.parts.view)();
        let info = owner_of(&view, workspace, None);
        let owner_number =
            info.map_or(0, |owner| xxh3_64_with_seed(owner.name.as_bytes(), owner.incarnation));
        let owner = info.map(|owner| owner.name.clone());
        let fleet = fleet_limits(limits, &view);
        let limits = Limits {
            requests_per_s: limits.requests_per_s,
            tokens_per_s: limits.tokens_per_s,
            concurrent_requests: limits.concurrent_requests,
            share: base_share(fleet.live_routers),
            owner_reachable: owner
                .as_ref()
                .is_some_and(|owner| self.unanswered.may_ask(self.now(), owner)),
            owner: owner_number,
            open: self.open_share(&fleet, workspace, &view),
        };
        Taking { workspace, owner, limits, work }
    }

    fn open_share(&self, limits: &FleetLimits, workspace: &Name, view: &View) -> OpenShare {
        let number = view.owners().position(|router| router.name == self.parts.router);
        let number = number.and_then(|number| u32::try_from(number).ok());
        number.map_or(OpenShare::NONE, |number| OpenShare::of(limits, workspace, number))
    }

    fn try_take(&self, taking: &Taking<'_>) -> Result<Permit, Box<Shortage>> {
        let now = self.now();
        self.limiter().try_take(now, taking.workspace, &taking.limits, taking.work)
    }

    fn take_lent(&self, taking: &Taking<'_>, grant: &Grant) -> Result<Permit, Box<Shortage>> {
        let now = self.now();
        let mut limiter = self.limiter();
        let taken = limiter.take_lent(now, taking.workspace, &taking.limits, taking.work, grant);
        taken.map_err(|mut shortage| {
            if let Grant::Denied { .. } = grant {
                shortage.ask = None;
            }
            shortage
        })
    }

    fn hold(self: &Arc<Self>, taking: Taking<'_>, permit: Permit) -> HeldPermit {
        HeldPermit::limited(self.clone(), permit, taking.limits, taking.owner)
    }

    pub(super) fn lend(&self, ask: &Ask) -> Option<Grant> {
        let (view, numbered) = ((self.parts.view)(), (self.parts.configuration)());
        self.lending().lend(self.now(), &view, &numbered, ask)
    }

    /// Replaces the estimate that a permit was charged by the tokens used.
    pub(super) fn settle(&self, permit: &mut Permit, limits: &Limits, used_tokens: u64) {
        self.limiter().settle(self.now(), permit, limits, used_tokens);
    }

    /// Ends a request.
    pub(super) fn release(self: &Arc<Self>, permit: Permit, lender: Option<Name>) {
        let settlement = self.limiter().release(self.now(), permit);
        if let Some(settlement) = settlement {
            self.tell(lender, settlement);
        }
    }

    /// Tells the lender how a request ended, once: what is lost on the way costs a slot until the
    /// request's deadline, what came twice could free another request's slot.
    pub(super) fn tell(self: &Arc<Self>, lender: Option<Name>, settlement: Settlement) {
        let Some(lender) = lender else {
            return;
        };
        if lender == self.parts.router {
            return self.lending().settle(&settlement);
        }
        let message = encode(&Message::Settle(settlement));
        tokio::spawn((self.parts.call)(lender, message, CALL_TIMEOUT));
    }

    /// Gives back leases that ended or are not used. Where a workspace's owner changed meanwhile,
    /// the new one does not know the lease, and the message changes nothing.
    fn end_leases(&self) {
        let ends = self.limiter().lease_ends(self.now());
        if ends.is_empty() {
            return;
        }
        let view = (self.parts.view)();
        for end in ends {
            let Some(owner) = owner_of(&view, &end.workspace, None) else { continue };
            if owner.name == self.parts.router {
                self.lending().end_lease(&end);
                continue;
            }
            let message = encode(&Message::End(end));
            tokio::spawn((self.parts.call)(owner.name.clone(), message, CALL_TIMEOUT));
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.parts.clock.monotonic()
    }

    pub(super) fn limiter(&self) -> MutexGuard<'_, WorkspaceLimiter> {
        self.limiter.lock().expect("limiter lock is never poisoned")
    }

    fn lending(&self) -> MutexGuard<'_, Lending> {
        self.lending.lock().expect("lending lock is never poisoned")
    }
}

impl fmt::Debug for LimitsService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LimitsService").finish_non_exhaustive()
    }
}
