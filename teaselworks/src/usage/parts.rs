//! What the usage service is made from.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{Fleet, Source};

use super::budget_store::BudgetStore;
use super::slots::Slots;
use super::witness::Watched;
use crate::metrics::Metrics;

/// Work that ends later.
pub type Later<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Asks another router a control message; `None` when it did not answer in time.
pub type PeerCall = Arc<dyn Fn(Name, Bytes, Duration) -> Later<Option<Bytes>> + Send + Sync>;

/// Returns the fleet as this router sees it.
pub type FleetSource = Arc<dyn Fn() -> Fleet + Send + Sync>;

/// Returns the process that a router runs as and the holder of its copies; `None` when it is lost
/// or alone.
pub type WatchedSource = Arc<dyn Fn(&Name) -> Option<Watched> + Send + Sync>;

/// What the usage service is made from.
#[derive(Clone)]
pub struct UsageParts {
    /// This run of this router.
    pub source: Source,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// The fleet as this router sees it.
    pub fleet: FleetSource,
    /// Owners of attempts and the holders of their copies.
    pub watched: WatchedSource,
    /// Asks other routers.
    pub call: PeerCall,
    /// The platform's values of use.
    pub slots: Slots,
    /// The platform's values of budgets.
    pub budgets: BudgetStore,
}

impl fmt::Debug for UsageParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageParts").field("source", &self.source).finish_non_exhaustive()
    }
}
