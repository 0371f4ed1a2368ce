//! Takes, keeps and lets go the lease that allows this router to give orders.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::name::Name;
use teaselworks_policy::once::window::Reading;
use teaselworks_policy::orders::{HolderTerm, HolderTiming};

use crate::event;
use crate::platform::{
    CallPurpose, Compare, Lease, Operation, Platform, PlatformError, Transaction,
};

/// Key that exists while a router may give orders.
const HOLDER_KEY: &str = "orders/holder";
const PURPOSE: CallPurpose = CallPurpose::Orders;

/// Returns a reading of both clocks.
pub type Now = Arc<dyn Fn() -> Reading + Send + Sync>;

/// A lease and, once the key is this router's, its term.
#[derive(Clone, Copy, Debug)]
struct Held {
    lease: Lease,
    asked_at: Reading,
    term: Option<HolderTerm>,
    /// When a renewal was asked for that the platform granted, until the key is seen to be ours.
    renewed: Option<(Reading, Duration)>,
}

/// This router's hold on the orders.
pub struct Holder {
    platform: Arc<Platform>,
    /// Names this process.
    own: String,
    now: Now,
    timing: HolderTiming,
    /// Whether the key was seen to be free.
    is_free: bool,
    held: Option<Held>,
}

impl Holder {
    /// Makes one that holds nothing.
    pub fn new(
        platform: Arc<Platform>,
        router: &Name,
        incarnation: u64,
        now: Now,
        timing: HolderTiming,
    ) -> Self {
        let own = format!("{router} {incarnation}");
        Self { platform, own, now, timing, is_free: false, held: None }
    }

    /// Takes another timing unless a lease is held; returns the one in force.
    pub fn set_timing(&mut self, timing: HolderTiming) -> HolderTiming {
        if self.held.is_none() {
            self.timing = timing;
        }
        self.timing
    }

    /// Returns the term; `None` when the orders are not this router's.
    pub fn term(&self) -> Option<HolderTerm> {
        self.held?.term
    }

    /// Takes or renews the lease, one call of the platform nearer each time.
    pub async fn keep(&mut self) {
        if self.held.is_some_and(|held| held.is_over(&(self.now)())) {
            self.lose("its time ended");
        }
        let kept = match self.held {
            None if self.is_free => self.grant().await,
            None => self.look().await,
            Some(held) => match (held.term, held.renewed) {
                (None, _) => self.create(held).await,
                (Some(_), None) => self.renew(held).await,
                (Some(term), Some(renewed)) => self.confirm(held, term, renewed).await,
            },
        };
        if let Err(error) = kept {
            log::debug!("orders: {error}");
        }
    }

    /// Ends the lease, so that another router need not wait for its end.
    pub async fn let_go(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        if held.term.is_some() {
            event::ORDERS_LET_GO.log(format_args!("lease={}", held.lease.id));
        }
        // Unanswered, the lease ends by itself.
        let _ = self.platform.revoke_lease(PURPOSE, held.lease.id).await;
    }

    /// A key that exists costs one read, not a lease.
    async fn look(&mut self) -> Result<(), PlatformError> {
        self.is_free = self.platform.get(PURPOSE, HOLDER_KEY).await?.is_none();
        Ok(())
    }

    async fn grant(&mut self) -> Result<(), PlatformError> {
        self.is_free = false;
        let asked_at = (self.now)();
        let lease = self.platform.grant_lease(PURPOSE, self.timing.ttl).await?;
        self.held = Some(Held { lease, asked_at, term: None, renewed: None });
        Ok(())
    }

    /// Returns the value of the key under a lease: read back, it settles a write whose answer was
    /// lost. Without the lease in it, a key about to end with an earlier lease would pass for ours.
    fn value(&self, lease: Lease) -> Vec<u8> {
        format!("{} {}", self.own, lease.id).into_bytes()
    }

    async fn create(&mut self, held: Held) -> Result<(), PlatformError> {
        let put = Operation::Put {
            key: HOLDER_KEY.into(),
            value: self.value(held.lease),
            lease: held.lease.id,
        };
        let transaction = Transaction {
            compare: vec![Compare::Absent { key: HOLDER_KEY.into() }],
            success: vec![put],
            failure: vec![Operation::Get { key: HOLDER_KEY.into() }],
        };
        let outcome = self.platform.transact(PURPOSE, &transaction).await;
        if let Err(PlatformError::Refused { .. }) = outcome {
            self.held = None;
        }
        let outcome = outcome?;
        let created = match outcome.succeeded {
            true => Some(outcome.revision),
            // An earlier try whose answer was lost.
            false => outcome
                .entry(0)
                .filter(|entry| entry.value == self.value(held.lease))
                .map(|entry| entry.create_revision),
        };
        let Some(fencing) = created.and_then(|revision| u64::try_from(revision).ok()) else {
            self.let_go().await;
            return Ok(());
        };
        let term = HolderTerm::new(fencing, held.asked_at, (self.now)(), held.lease.ttl);
        self.held = Some(Held { term: Some(term), ..held });
        event::ORDERS_HELD.log(format_args!("fencing={fencing} lease={}", held.lease.id));
        Ok(())
    }

    async fn renew(&mut self, held: Held) -> Result<(), PlatformError> {
        let asked_at = (self.now)();
        let Some(renewed) = self.platform.keep_lease(PURPOSE, held.lease.id).await? else {
            self.lose("the platform ended it");
            return Ok(());
        };
        self.held = Some(Held { renewed: Some((asked_at, renewed.ttl)), ..held });
        Ok(())
    }

    /// The lease alone proves nothing: after a restored backup or an operator's deletion the key
    /// may be another router's while the old lease lives on. So a renewal counts once the key has
    /// been read after it.
    async fn confirm(
        &mut self,
        held: Held,
        mut term: HolderTerm,
        (asked_at, ttl): (Reading, Duration),
    ) -> Result<(), PlatformError> {
        let entry = self.platform.get(PURPOSE, HOLDER_KEY).await?;
        let own = entry.filter(|entry| entry.value == self.value(held.lease));
        let fencing = own.and_then(|entry| u64::try_from(entry.create_revision).ok());
        if fencing != Some(term.fencing()) {
            self.lose("its key is gone");
            return Ok(());
        }
        term.renew(asked_at, ttl);
        let lease = Lease { ttl, ..held.lease };
        self.held = Some(Held { lease, asked_at, term: Some(term), renewed: None });
        Ok(())
    }

    fn lose(&mut self, cause: &str) {
        if let Some(Held { lease, term: Some(_), .. }) = self.held.take() {
            event::ORDERS_LEASE_LOST.log(format_args!("lease={}: {cause}", lease.id));
        }
    }
}

impl Held {
    fn is_over(&self, now: &Reading) -> bool {
        now.since(&self.asked_at) >= self.lease.ttl
    }
}
