//! Task that reads all items of the store once and then waits for changes, at the store or at a
//! router that reads the store for others.

use std::sync::Arc;
use std::time::Duration;

use super::{PeerFallback, Source, StateUpdater, StoreUpdate};
use crate::event;
use crate::metrics::{Metrics, StoreOutcome};
use crate::peers::message::PackedObservations;
use crate::peers::{PeerClient, PeerQuery};
use crate::platform::{Store, StoreError, WatchResult};

/// Share of `max_staleness` for which one watch waits for changes. A watch that receives nothing
/// because its connection is cut off, and the next call to the store, must together take no longer
/// than `max_staleness`.
const WATCH_WAIT_SHARE: f64 = 0.5;
/// Share of `max_staleness` for which a query to the reader, the router that reads the store for
/// this one, waits for changes. It is smaller than that of a watch because responses also carry
/// loads of upstreams, which lose value with age.
const READER_WAIT_SHARE: f64 = 0.15;
/// Share of `max_staleness` for which the router pauses after a watch that returned changes.
/// Changes come in bursts and every call puts load on the store, so one watch should return many
/// changes.
const BATCH_PAUSE_SHARE: f64 = 0.15;
/// Largest update that a router accepts from its reader. The reader sends updates to many routers
/// at once, and large ones would use up the network link of its VM.
const MAX_UPDATE_BYTES: usize = 24 << 10;
/// Time for which a router reads the store itself after its reader failed.
const DIRECT_READ_TIME: Duration = Duration::from_secs(5);
/// Time between queries to other routers while the store does not answer.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Whether the store answers this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreStatus {
    /// The store has not been called yet, or must be called again before the reader is queried.
    Unknown,
    /// The store answered the last call.
    Answering,
    /// The last call to the store failed.
    NotAnswering,
}

/// Task that keeps the router's state up to date with the store.
///
/// In a small fleet every router watches the store. In a large one a few routers do, the readers;
/// each other router queries its reader and calls the store only if the reader fails or an update
/// is too large.
pub struct StoreWatcher {
    store: Store,
    updater: Arc<StateUpdater>,
    fallback: PeerFallback,
    metrics: Arc<Metrics>,
    max_staleness: Duration,
    store_status: StoreStatus,
    /// Client for the router that reads the store for this one.
    reader: Option<PeerClient>,
    /// Clock reading until which this router reads the store itself, because its reader failed.
    reads_directly_until: Duration,
    /// Clock reading at the start of the last query to a reader. The query carried this router's
    /// own observations of upstreams up to then, which are not sent again if it failed.
    observations_sent_at: Duration,
}

impl StoreWatcher {
    /// Creates the task. `max_staleness` limits how far the router's state may lag behind the
    /// store.
    pub fn new(
        store: Store,
        updater: Arc<StateUpdater>,
        fallback: PeerFallback,
        metrics: Arc<Metrics>,
        max_staleness: Duration,
    ) -> Self {
        Self {
            store,
            updater,
            fallback,
            metrics,
            max_staleness,
            store_status: StoreStatus::Unknown,
            reader: None,
            reads_directly_until: Duration::ZERO,
            observations_sent_at: Duration::ZERO,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut needs_snapshot = true;
        loop {
            if !needs_snapshot && self.select_reader() {
                self.query_reader().await;
                continue;
            }
            let result = if needs_snapshot {
                self.read_snapshot().await
            } else {
                self.watch_changes().await
            };
            match result {
                Ok(has_all_changes) => needs_snapshot = !has_all_changes,
                Err(error) => self.handle_store_failure(&error).await,
            }
        }
    }

    /// Reads all items and applies them. Always returns `true`, like a [`Self::watch_changes`] that
    /// missed no changes.
    async fn read_snapshot(&mut self) -> Result<bool, StoreError> {
        let sent_at = self.updater.now();
        let snapshot = self.store.snapshot().await?;
        self.on_store_answered();
        self.updater.apply_snapshot(&snapshot, Source::Store);
        self.updater.on_list_confirmed(sent_at);
        Ok(true)
    }

    /// Waits for changes at the store and applies them. Returns `false` if the store no longer
    /// holds all changes since the last read, or they are too large for one response, so that all
    /// items must be read again.
    async fn watch_changes(&mut self) -> Result<bool, StoreError> {
        // Unless the store answered the last call, the watch requests an immediate answer, which
        // shows whether the store can be read. Waiting for changes would only delay it.
        let is_probe = self.store_status != StoreStatus::Answering;
        let wait =
            if is_probe { Duration::ZERO } else { self.max_staleness.mul_f64(WATCH_WAIT_SHARE) };
        let after = self.updater.revision();
        let sent_at = self.updater.now();
        let watched = match self.store.watch(after, wait).await {
            // Items are read in pages of limited size; changes are not.
            Err(StoreError::TooLarge) => WatchResult::Compacted,
            watched => watched?,
        };
        match watched {
            WatchResult::Changes(changes) => {
                self.on_store_answered();
                self.updater.apply_changes(&changes, Source::Store);
                // A watch without changes waited for them to its end. One with changes may have
                // missed later ones.
                let waited = if changes.is_empty() { wait } else { Duration::ZERO };
                self.updater.on_list_confirmed(self.updater.now().min(sent_at + waited));
                if !changes.is_empty() {
                    tokio::time::sleep(self.max_staleness.mul_f64(BATCH_PAUSE_SHARE)).await;
                }
                Ok(true)
            }
            WatchResult::Compacted => {
                self.on_store_answered();
                event::HISTORY_LOST.log(&[event::number("after", after)]);
                Ok(false)
            }
        }
    }

    /// Selects the reader of this router. Returns `false` if this router must call the store
    /// itself.
    fn select_reader(&mut self) -> bool {
        if self.store_status != StoreStatus::Answering
            || self.updater.now() < self.reads_directly_until
        {
            return false;
        }
        let Some(address) = self.updater.reader_address() else {
            self.reader = None;
            return false;
        };
        if self.reader.as_ref().is_none_or(|reader| reader.address() != address) {
            self.reader = Some(PeerClient::new(address));
        }
        true
    }

    /// Waits for changes at the reader and applies them.
    ///
    /// If the reader fails or cannot read the store, this router calls the store at once and reads
    /// it itself for [`DIRECT_READ_TIME`].
    async fn query_reader(&mut self) {
        let Some(reader) = &mut self.reader else { return };
        let wait = self.max_staleness.mul_f64(READER_WAIT_SHARE);
        let sent_at = self.updater.now();
        let last_sent_at = std::mem::replace(&mut self.observations_sent_at, sent_at);
        let address = reader.address();
        let query = PeerQuery {
            known_revision: self.updater.revision(),
            wait,
            largest_bytes: Some(MAX_UPDATE_BYTES),
            observations: PackedObservations::pack(
                &self.updater.own_observations_after(last_sent_at),
            ),
        };
        let cause = match reader.query(query).await {
            Ok(response) if response.update == StoreUpdate::TooLarge => {
                self.updater.apply_observations(&response.observations.unpack());
                // The store is watched once; after that the reader is queried again.
                self.store_status = StoreStatus::Unknown;
                return;
            }
            Ok(response) if response.reads_store => {
                self.updater.apply_observations(&response.observations.unpack());
                self.updater.apply_update(&response.update, Source::Peer(address));
                self.updater.on_confirmed_by_peer(sent_at, response.list_age);
                return;
            }
            Ok(_) => "the reader cannot read the store".to_owned(),
            Err(error) => error.to_string(),
        };
        event::PEER_FAILED.log(&[event::text("address", &address), event::text("cause", &cause)]);
        self.reads_directly_until = self.updater.now() + DIRECT_READ_TIME;
        self.reader = None;
        self.store_status = StoreStatus::Unknown;
    }

    fn on_store_answered(&mut self) {
        self.metrics.add_store_call(StoreOutcome::Answered);
        let before = std::mem::replace(&mut self.store_status, StoreStatus::Answering);
        if before == StoreStatus::Answering {
            return;
        }
        self.updater.on_regained();
        if before == StoreStatus::NotAnswering {
            event::STORE_REGAINED.log(&[event::number("revision", self.updater.revision())]);
        }
    }

    /// Records that a call to the store failed, then queries other routers until the next call to
    /// the store is due.
    async fn handle_store_failure(&mut self, error: &StoreError) {
        self.metrics.add_store_call(StoreOutcome::Failed);
        if std::mem::replace(&mut self.store_status, StoreStatus::NotAnswering)
            != StoreStatus::NotAnswering
        {
            self.updater.on_lost();
            event::STORE_LOST.log(&[
                event::text("cause", error),
                event::number("revision", self.updater.revision()),
            ]);
        }
        let next_call_at = self.updater.now() + self.updater.retry_pause(self.max_staleness);
        // The pause before the next call to the store grows with the fleet. Other routers are still
        // queried at short intervals, as that puts no load on the store.
        loop {
            self.fallback.query_peers(&self.updater).await;
            let remaining = next_call_at.saturating_sub(self.updater.now());
            tokio::time::sleep(remaining.min(PEER_QUERY_INTERVAL)).await;
            if remaining <= PEER_QUERY_INTERVAL {
                return;
            }
        }
    }
}
