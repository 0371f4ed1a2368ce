//! The service that holds the lease of the orders and gives them, apart from all requests.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::Name;
use teaselworks_policy::once::window::Reading;
use teaselworks_policy::orders::{HolderTerm, HolderTiming, Release, Rollout, round_interval};

use super::goal::{is_wanted, wanted};
use super::holder::Holder;
use super::meters::Meters;
use crate::kernel::{ServiceName, Shutdown, ShutdownPhase};
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::upstream::OrderClient;

/// Name of the service among the services.
pub const ORDERS: ServiceName<OrdersService> = ServiceName::new("orders");

/// Time between looks whether a round is due.
const TICK: Duration = Duration::from_millis(500);

/// Asks the owner of an engine to give it no new work; returns the attempts that it still has, or
/// `None` when no owner promised.
pub type ReleaseCall =
    Arc<dyn Fn(Release) -> Pin<Box<dyn Future<Output = Option<u64>> + Send>> + Send + Sync>;

/// What the service works with.
pub struct OrdersParts {
    /// Name of this router.
    pub router: Name,
    /// Incarnation of this router.
    pub incarnation: u64,
    /// Tells whether this router is the one that should hold the orders, by its view.
    pub is_elected: Arc<dyn Fn() -> bool + Send + Sync>,
    /// The configuration in force.
    pub configuration: Arc<dyn Fn() -> Arc<NumberedConfiguration> + Send + Sync>,
    /// Asks owners for the release of their engines.
    pub release: ReleaseCall,
    /// The platform.
    pub platform: Arc<Platform>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
}

/// Gives orders to engines while this router holds their lease.
pub struct OrdersService {
    pub(super) parts: OrdersParts,
    term: Mutex<Option<HolderTerm>>,
    pub(super) client: OrderClient,
    pub(super) meters: Meters,
}

impl OrdersService {
    /// Makes a service that holds nothing.
    pub fn new(parts: OrdersParts) -> Arc<Self> {
        let meters = Meters::new(&parts.metrics);
        Arc::new(Self { parts, term: Mutex::new(None), client: OrderClient::new(), meters })
    }

    /// Holds the lease where this router is elected, and gives orders, until a planned stop begins.
    pub fn start(self: &Arc<Self>, shutdown: &Shutdown) {
        tokio::spawn(self.clone().hold(shutdown.clone()));
        tokio::spawn(self.clone().reconcile(shutdown.clone()));
    }

    /// Returns the fencing number of an order sent now; `None` when none may be sent.
    pub fn fencing(&self) -> Option<u64> {
        let term = *self.term.lock().expect("term lock is never poisoned");
        term?.fencing_at(&self.reading())
    }

    pub(super) fn reading(&self) -> Reading {
        reading(&*self.parts.clock)
    }

    pub(super) fn now(&self) -> Duration {
        self.parts.clock.monotonic()
    }

    async fn hold(self: Arc<Self>, shutdown: Shutdown) {
        let OrdersParts { platform, router, incarnation, clock, .. } = &self.parts;
        let clock = clock.clone();
        let mut timing = HolderTiming::of(platform.calls_per_s());
        let now = Arc::new(move || reading(&*clock));
        let mut holder = Holder::new(platform.clone(), router, *incarnation, now, timing);
        loop {
            if self.should_hold() {
                timing = holder.set_timing(HolderTiming::of(platform.calls_per_s()));
                holder.keep().await;
                self.set_term(holder.term());
            } else {
                self.set_term(None);
                holder.let_go().await;
            }
            tokio::select! {
                () = shutdown.reached(ShutdownPhase::Notice) => break,
                () = tokio::time::sleep(timing.step) => {}
            }
        }
        self.set_term(None);
        holder.let_go().await;
    }

    /// Without anything to order no lease is held, and the platform is not called.
    fn should_hold(&self) -> bool {
        let numbered = (self.parts.configuration)();
        is_wanted(&numbered.configuration) && (self.parts.is_elected)()
    }

    async fn reconcile(self: Arc<Self>, shutdown: Shutdown) {
        let mut current: Option<(u64, Rollout)> = None;
        let mut next_at = Duration::ZERO;
        let mut version = 0;
        while shutdown.phase() == ShutdownPhase::Running {
            tokio::time::sleep(TICK).await;
            let numbered = (self.parts.configuration)();
            let Some(fencing) = self.fencing() else {
                continue;
            };
            if self.now() < next_at && numbered.version == version {
                continue;
            }
            version = numbered.version;
            // A rollout of an earlier term doesn't know what others ordered since.
            let (_, mut rollout) = current
                .take()
                .filter(|(of, _)| *of == fencing)
                .unwrap_or_else(|| (fencing, Rollout::new(self.now())));
            let wanted = wanted(&numbered.configuration);
            let is_active = self.round(fencing, &mut rollout, &wanted).await;
            current = Some((fencing, rollout));
            next_at = self.now() + round_interval(wanted.urls.len(), is_active);
        }
    }

    fn set_term(&self, term: Option<HolderTerm>) {
        *self.term.lock().expect("term lock is never poisoned") = term;
    }
}

impl fmt::Debug for OrdersService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OrdersService").finish_non_exhaustive()
    }
}

fn reading(clock: &dyn Clock) -> Reading {
    let wall = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Reading { monotonic: clock.monotonic(), wall }
}
