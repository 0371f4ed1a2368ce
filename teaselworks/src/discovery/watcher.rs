//! Follows the store: reads everything once, then waits for changes, at the store or at a router
//! that reads it for others.

use std::sync::Arc;
use std::time::Duration;

use super::{PeerFallback, Source, StateUpdater, StoreUpdate};
use crate::event;
use crate::metrics::{Metrics, StoreOutcome};
use crate::peers::message::PackedObservations;
use crate::peers::{Peer, PeerQuery};
use crate::platform::{Store, StoreError, Watched};

/// Part of the bound on the age of news for which one look waits for changes. A look that hears
/// nothing since the other end is cut off, and one at the store after it, both end within the bound.
const WAIT_SHARE: f64 = 0.5;
/// The same for a question to a router that reads the store for this one: it tells loads, too, which
/// are worth less the older they are.
const ASKING_SHARE: f64 = 0.15;
/// Part of the bound for which changes are collected after a look that brought some: changes come in
/// series, and each look is priced.
const COLLECTING_SHARE: f64 = 0.15;
/// Largest news that a router takes from another one, which sends them to many at once.
const NEWS_SIZE_MAX_BYTES: usize = 24 << 10;
/// Time for which a router reads the store itself after the one that reads for it failed.
const OWN_READING: Duration = Duration::from_secs(5);
/// Time between questions to other routers while the store does not answer.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Whether the store answers this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contact {
    /// Nothing was asked yet.
    Untried,
    /// The last call was answered.
    Answered,
    /// The last call failed.
    Lost,
}

/// Task that keeps the beliefs up to date.
pub struct StoreWatcher {
    store: Store,
    updater: Arc<StateUpdater>,
    fallback: PeerFallback,
    metrics: Arc<Metrics>,
    news_age: Duration,
    contact: Contact,
    /// The router that reads the store for this one.
    reader: Option<Peer>,
    /// Until when this router reads the store itself.
    reads_until: Duration,
    /// When it last told the other one the loads that it heard.
    told_at: Duration,
}

impl StoreWatcher {
    /// Makes the task; news may be as old as `news_age`.
    pub fn new(
        store: Store,
        updater: Arc<StateUpdater>,
        fallback: PeerFallback,
        metrics: Arc<Metrics>,
        news_age: Duration,
    ) -> Self {
        Self {
            store,
            updater,
            fallback,
            metrics,
            news_age,
            contact: Contact::Untried,
            reader: None,
            reads_until: Duration::ZERO,
            told_at: Duration::ZERO,
        }
    }

    /// Follows the store until the process ends.
    pub async fn run(mut self) {
        let mut needs_snapshot = true;
        loop {
            if !needs_snapshot && self.choose_reader() {
                self.ask_reader().await;
                continue;
            }
            let looked = if needs_snapshot { self.read().await } else { self.watch().await };
            match looked {
                Ok(is_complete) => needs_snapshot = !is_complete,
                Err(error) => self.on_failure(&error).await,
            }
        }
    }

    /// Reads everything.
    async fn read(&mut self) -> Result<bool, StoreError> {
        let snapshot = self.store.snapshot().await?;
        self.on_answer();
        self.updater.on_snapshot(&snapshot, Source::Store);
        Ok(true)
    }

    /// Waits for changes; false where everything must be read again.
    async fn watch(&mut self) -> Result<bool, StoreError> {
        // While the store does not answer, a look that waits would only find that out later.
        let is_lost = self.contact != Contact::Answered;
        let wait = if is_lost { Duration::ZERO } else { self.news_age.mul_f64(WAIT_SHARE) };
        let after = self.updater.revision();
        match self.store.watch(after, wait).await? {
            Watched::Changes(changes) => {
                self.on_answer();
                self.updater.on_changes(&changes, Source::Store);
                if !changes.is_empty() {
                    tokio::time::sleep(self.news_age.mul_f64(COLLECTING_SHARE)).await;
                }
                Ok(true)
            }
            Watched::Compacted => {
                self.on_answer();
                event::HISTORY_LOST.log(&[event::number("after", after)]);
                Ok(false)
            }
        }
    }

    /// Tells whether another router reads the store for this one at the moment.
    fn choose_reader(&mut self) -> bool {
        if self.contact != Contact::Answered || self.updater.now() < self.reads_until {
            return false;
        }
        let Some(address) = self.updater.reader() else {
            self.reader = None;
            return false;
        };
        if self.reader.as_ref().is_none_or(|reader| reader.address() != address) {
            self.reader = Some(Peer::new(address));
        }
        true
    }

    /// Waits for changes at the router that reads the store for this one.
    ///
    /// Where it fails, or cannot read the store itself, this router looks at the store at once.
    async fn ask_reader(&mut self) {
        let Some(reader) = &mut self.reader else { return };
        let wait = self.news_age.mul_f64(ASKING_SHARE);
        let told_at = std::mem::replace(&mut self.told_at, self.updater.now());
        let address = reader.address();
        let question = PeerQuery {
            known_revision: self.updater.revision(),
            wait,
            largest_bytes: Some(NEWS_SIZE_MAX_BYTES),
            observations: PackedObservations::pack(&self.updater.own_sightings_after(told_at)),
        };
        let cause = match reader.ask(question).await {
            Ok(answer) if answer.update == StoreUpdate::TooLarge => {
                self.updater.on_sightings(&answer.observations.unpack());
                // One look at the store, after which the reader is asked again.
                self.contact = Contact::Untried;
                return;
            }
            Ok(answer) if answer.reads_store => {
                self.updater.on_sightings(&answer.observations.unpack());
                self.updater.on_news(&answer.update, Source::Peer(address));
                return;
            }
            Ok(_) => "it cannot read the store".to_owned(),
            Err(error) => error.to_string(),
        };
        event::PEER_FAILED.log(&[event::text("address", &address), event::text("cause", &cause)]);
        self.reads_until = self.updater.now() + OWN_READING;
        self.reader = None;
        self.contact = Contact::Untried;
    }

    fn on_answer(&mut self) {
        self.metrics.add_store_call(StoreOutcome::Answered);
        let before = std::mem::replace(&mut self.contact, Contact::Answered);
        if before == Contact::Answered {
            return;
        }
        self.updater.on_regained();
        if before == Contact::Lost {
            event::STORE_REGAINED.log(&[event::number("revision", self.updater.revision())]);
        }
    }

    async fn on_failure(&mut self, error: &StoreError) {
        self.metrics.add_store_call(StoreOutcome::Failed);
        if std::mem::replace(&mut self.contact, Contact::Lost) != Contact::Lost {
            self.updater.on_lost();
            event::STORE_LOST.log(&[
                event::text("cause", error),
                event::number("revision", self.updater.revision()),
            ]);
        }
        let until = self.updater.now() + self.updater.retry_pause(self.news_age);
        // Other routers are asked as often as ever: what they say costs the store nothing.
        loop {
            self.fallback.ask(&self.updater).await;
            let left = until.saturating_sub(self.updater.now());
            tokio::time::sleep(left.min(ASK_PAUSE)).await;
            if left <= ASK_PAUSE {
                return;
            }
        }
    }
}
