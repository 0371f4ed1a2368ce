//! Task that writes to the store where streams can have begun lately, so that a router that starts, or
//! was out of touch, knows it although all others have forgotten or were killed.

use std::sync::Arc;
use std::time::Duration;

use crate::kernel::ShutdownPhase;
use crate::metrics::{Metrics, StoreOutcome};
use crate::platform::{ORIGINS_KEY, Store, encode_origins};
use crate::relay::Shared;

/// Interval of the checks whether the record in the store lacks anything.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a router leaves the write to each router that ranks before it.
const RANK_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause after a call to the store. It doubles with each that fails, up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60);
/// Key by which routers rank themselves for the write.
const RANK_KEY: u64 = 0x6f72_6967_696e;

/// Task that keeps the record of where streams can have begun up to date in the store.
pub struct OriginRecordWriter {
    store: Store,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    /// Clock reading since which the record has lacked something.
    missing_since: Option<Duration>,
    /// Pause after the next call.
    pause: Duration,
}

impl OriginRecordWriter {
    /// Creates the task.
    pub fn new(store: Store, shared: Arc<Shared>, metrics: Arc<Metrics>) -> Self {
        Self { store, shared, metrics, missing_since: None, pause: RETRY_PAUSE }
    }

    /// Writes the record whenever it lacks something, until a planned stop begins.
    pub async fn run(mut self) {
        while self.shared.shutdown.phase() == ShutdownPhase::Running {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.write_if_due().await;
        }
    }

    async fn write_if_due(&mut self) {
        let now = self.shared.now();
        let (missing, revision, rank) = {
            let mut fleet = self.shared.fleet();
            let missing = fleet.missing_origin_record(now);
            (missing, fleet.origin_memory.recorded_revision(), fleet.membership.rank(RANK_KEY))
        };
        let (Some(record), Some(rank)) = (missing, rank) else {
            self.missing_since = None;
            return;
        };
        let since = *self.missing_since.get_or_insert(now);
        if now.saturating_sub(since) < RANK_PAUSE * rank {
            return;
        }
        // A record that another router has written meanwhile arrives with the next changes.
        let written = self.store.put_if(ORIGINS_KEY, &encode_origins(&record), revision).await;
        let outcome = if written.is_ok() { StoreOutcome::Answered } else { StoreOutcome::Failed };
        self.metrics.add_store_call(outcome);
        self.pause =
            if written.is_ok() { RETRY_PAUSE } else { (self.pause * 2).min(MAX_RETRY_PAUSE) };
        tokio::time::sleep(self.pause).await;
    }
}
