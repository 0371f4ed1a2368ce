//! The right to send one call.

use std::fmt;
use std::sync::Arc;

use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::Once;
use super::lease::BoundLease;
use super::record::{Record, StoredOutcome};
use super::settler::{Action, Settlement};

/// The right to send one call.
///
/// Dropped without `finish` or `release`, its record stays without an outcome, and a repeat is told
/// that the call may have run.
pub struct Claim {
    once: Arc<Once>,
    key: String,
    record: Record,
    revision: i64,
    lease: BoundLease,
}

impl fmt::Debug for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claim").field("key", &self.key).field("claim", &self.record.claim).finish()
    }
}

impl Claim {
    pub(super) fn new(
        once: Arc<Once>,
        key: String,
        record: Record,
        revision: i64,
        lease: BoundLease,
    ) -> Self {
        Self { once, key, record, revision, lease }
    }

    /// Tells right before the send whether the record is still sure to be kept long enough.
    ///
    /// Fails as `not_run` after a pause of the process of about half the retention.
    pub fn may_send(&self) -> Result<(), Refusal> {
        if self.lease.window.may_send(&self.once.reading()) {
            return Ok(());
        }
        self.once.count("window_closed");
        let detail = "The router was paused for too long to send a call that may not be repeated.";
        Err(Refusal::not_run(RefusalReason::Deadline, None, detail))
    }

    /// Keeps the outcome for repeats; returns after one try, and goes on in the background if
    /// that failed.
    pub async fn finish(mut self, outcome: StoredOutcome) {
        self.record.outcome = Some(outcome);
        let action = Action::Finish(self.record.encode());
        self.settle(action).await;
    }

    /// Frees the key of a call of which no byte was sent; returns after one try, and goes on in the
    /// background if that failed.
    pub async fn release(self) {
        self.settle(Action::Release).await;
    }

    async fn settle(self, action: Action) {
        let Self { once, key, record, revision, lease } = self;
        let settlement = Settlement { key, claim: record.claim, lease, action };
        if once.settle_at(&settlement, revision).await.is_err() {
            once.settle_later(settlement);
        }
    }
}
