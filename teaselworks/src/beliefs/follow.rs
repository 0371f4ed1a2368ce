//! Follows the store: reads everything once, then waits for changes.

use std::sync::Arc;
use std::time::Duration;

use super::{Bridge, Learner, Source};
use crate::event;
use crate::metrics::{Metrics, StoreOutcome};
use crate::platform::{Store, StoreError, Watched};

/// Part of the bound on the age of news for which one look at the store waits for changes: a look
/// that hears nothing, and the next one, both end within the bound.
const WAIT_SHARE: f64 = 0.5;
/// Time between looks while the store does not answer. Each is priced, and what is missed meanwhile
/// comes from other routers.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

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
pub struct Follower {
    store: Store,
    learner: Arc<Learner>,
    bridge: Bridge,
    metrics: Arc<Metrics>,
    wait: Duration,
    contact: Contact,
}

impl Follower {
    /// Makes the task; news may be as old as `news_age`.
    pub fn new(
        store: Store,
        learner: Arc<Learner>,
        bridge: Bridge,
        metrics: Arc<Metrics>,
        news_age: Duration,
    ) -> Self {
        let wait = news_age.mul_f64(WAIT_SHARE);
        Self { store, learner, bridge, metrics, wait, contact: Contact::Untried }
    }

    /// Follows the store until the process ends.
    pub async fn run(mut self) {
        let mut needs_snapshot = true;
        loop {
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
        self.learner.on_snapshot(&snapshot, Source::Store);
        Ok(true)
    }

    /// Waits for changes; false where everything must be read again.
    async fn watch(&mut self) -> Result<bool, StoreError> {
        // While the store does not answer, a look that waits would only find that out later.
        let is_lost = self.contact == Contact::Lost;
        let wait = if is_lost { Duration::ZERO } else { self.wait };
        let after = self.learner.revision();
        match self.store.watch(after, wait).await? {
            Watched::Changes(changes) => {
                self.on_answer();
                self.learner.on_changes(&changes, Source::Store);
                Ok(true)
            }
            Watched::Compacted => {
                self.on_answer();
                event::HISTORY_LOST.log(&[event::number("after", after)]);
                Ok(false)
            }
        }
    }

    fn on_answer(&mut self) {
        self.metrics.add_store_call(StoreOutcome::Answered);
        let before = std::mem::replace(&mut self.contact, Contact::Answered);
        if before == Contact::Answered {
            return;
        }
        self.learner.on_regained();
        if before == Contact::Lost {
            event::STORE_REGAINED.log(&[event::number("revision", self.learner.revision())]);
        }
    }

    async fn on_failure(&mut self, error: &StoreError) {
        self.metrics.add_store_call(StoreOutcome::Failed);
        if std::mem::replace(&mut self.contact, Contact::Lost) != Contact::Lost {
            self.learner.on_lost();
            event::STORE_LOST.log(&[
                event::text("cause", error),
                event::number("revision", self.learner.revision()),
            ]);
        }
        self.bridge.ask(&self.learner).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
