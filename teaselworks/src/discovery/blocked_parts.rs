//! Task that writes to the store which parts of prompts are blocked, so that it reaches every
//! router, also one that starts later.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::crash::BLOCK_TIME;

use crate::metrics::{Metrics, StoreOutcome};
use crate::platform::{Store, StoreError, blocked_part_key};
use crate::relay::{PartChange, Shared};

/// Longest pause before a change is written. Several routers come to the same conclusion, and those
/// that pause longer see that it is written.
const MAX_PAUSE_MS: u64 = 600;
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Task that writes changes of the blocked parts to the store.
pub struct BlockedPartWriter {
    store: Store,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    random: Pcg32,
}

impl BlockedPartWriter {
    /// Creates the task; `seed` determines its pauses.
    pub fn new(store: Store, shared: Arc<Shared>, metrics: Arc<Metrics>, seed: u64) -> Self {
        Self { store, shared, metrics, random: Pcg32::seed_from_u64(seed) }
    }

    /// Writes changes until the process ends.
    pub async fn run(mut self) {
        let Some(mut changes) = self.shared.take_part_changes() else { return };
        while let Some(change) = changes.recv().await {
            let pause_ms = self.random.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            while self.is_needed(change) {
                let outcome = self.write(change).await;
                let is_written = outcome.is_ok();
                let outcome =
                    if is_written { StoreOutcome::Answered } else { StoreOutcome::Failed };
                self.metrics.add_store_call(outcome);
                if is_written {
                    break;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Returns whether the store does not hold a change yet that is still in force.
    fn is_needed(&self, change: PartChange) -> bool {
        let now = self.shared.now();
        let fleet = self.shared.fleet();
        let blocked = &fleet.crashes.blocked;
        match change {
            PartChange::Blocked(part) => blocked.contains(now, part) && !blocked.is_listed(part),
            PartChange::Released(part) => !blocked.contains(now, part),
        }
    }

    async fn write(&mut self, change: PartChange) -> Result<(), StoreError> {
        match change {
            PartChange::Blocked(part) => {
                let lease = self.store.grant_lease(BLOCK_TIME).await?;
                self.store.put(&blocked_part_key(part), b"", lease).await.map(|_| ())
            }
            PartChange::Released(part) => self.store.remove(&blocked_part_key(part)).await,
        }
    }
}
