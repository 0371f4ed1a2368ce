//! Writes outcomes, and removes records of calls that were not sent, until the platform took them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::platform::backoff::Backoff;

use super::Once;
use super::begin::{NOT_FOUND, decode};
use super::lease::BoundLease;
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::platform::{
    CallPurpose, Compare, Operation, OperationResult, PlatformError, Transaction,
};

/// Records that may wait for the platform.
const UNSETTLED_LIMIT: usize = 1_024;
/// Size of all outcomes that may wait for the platform.
const UNSETTLED_SIZE_BYTES: usize = 4 << 20;
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(500), longest: Duration::from_secs(10) };

/// What is to become of a record.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// It gets this content, with the outcome.
    Finish(Vec<u8>),
    /// It goes: its call was not sent.
    Release,
}

/// A record whose end the platform has not confirmed.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    pub key: String,
    pub claim: String,
    pub lease: BoundLease,
    pub action: Action,
}

impl Settlement {
    fn size_bytes(&self) -> usize {
        match &self.action {
            Action::Finish(value) => value.len(),
            Action::Release => 0,
        }
    }
}

/// Records that wait for the platform, oldest first.
#[derive(Debug, Default)]
pub(super) struct Unsettled {
    waiting: VecDeque<Settlement>,
    size_bytes: usize,
}

impl Unsettled {
    /// Adds a record; returns the oldest ones that had to go.
    fn add(&mut self, settlement: Settlement) -> Vec<Settlement> {
        self.size_bytes += settlement.size_bytes();
        self.waiting.push_back(settlement);
        let mut dropped = Vec::new();
        while self.waiting.len() > UNSETTLED_LIMIT || self.size_bytes > UNSETTLED_SIZE_BYTES {
            let Some(oldest) = self.take() else { break };
            dropped.push(oldest);
        }
        dropped
    }

    fn take(&mut self) -> Option<Settlement> {
        let oldest = self.waiting.pop_front()?;
        self.size_bytes -= oldest.size_bytes();
        Some(oldest)
    }
}

impl Once {
    /// Starts to settle in the background what could not be settled at once, until the router
    /// stops.
    pub fn start(self: &Arc<Self>, shutdown: &Shutdown) {
        let once = self.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = once.settle_waiting() => {}
                () = shutdown.reached(ShutdownPhase::Stopped) => {}
            }
        });
    }

    /// Leaves a record to the background task.
    ///
    /// When too many wait, the oldest are given up: their records stay without an outcome, and a
    /// repeat is told that the call may have run, which is safe.
    pub(super) fn settle_later(&self, settlement: Settlement) {
        let dropped = {
            let mut unsettled = self.unsettled.lock().expect("settler lock is never poisoned");
            unsettled.add(settlement)
        };
        for settlement in dropped {
            event::ONCE_OUTCOME_DROPPED.log(format_args!("key={}", settlement.key));
        }
        self.unsettled_added.notify_one();
    }

    async fn settle_waiting(&self) {
        let mut failures = 0;
        loop {
            let next = self.unsettled.lock().expect("settler lock is never poisoned").take();
            let Some(settlement) = next else {
                failures = 0;
                self.unsettled_added.notified().await;
                continue;
            };
            // The record is gone once its lease has ended, and with it what there was to settle.
            if self.reading().since(&settlement.lease.window.asked_at)
                > settlement.lease.window.ttl()
            {
                continue;
            }
            if self.settle_by_claim(&settlement).await.is_ok() {
                failures = 0;
                continue;
            }
            failures += 1;
            self.settle_later(settlement);
            let wait = self.with_random(|random| BACKOFF.wait(failures, random));
            tokio::time::sleep(wait).await;
        }
    }

    /// Looks for the record and settles it if it is the claim's own and unsettled.
    async fn settle_by_claim(&self, settlement: &Settlement) -> Result<(), PlatformError> {
        let get = Operation::Get { key: settlement.key.clone() };
        let transaction = Transaction { success: vec![get], ..Transaction::default() };
        let outcome = self.platform.transact(CallPurpose::Once, &transaction).await?;
        let Some(entry) = outcome.entry(0) else {
            return self.settled_without_record(settlement);
        };
        let record = decode(entry)?;
        if record.claim != settlement.claim || record.outcome.is_some() {
            return Ok(());
        }
        self.settle_at(settlement, entry.mod_revision).await
    }

    /// Settles a record that was last written at `revision`.
    ///
    /// The revision is that of the claim's own write: a record that was removed and created again
    /// by another try has a later one, and stays as it is.
    pub(super) async fn settle_at(
        &self,
        settlement: &Settlement,
        revision: i64,
    ) -> Result<(), PlatformError> {
        let key = settlement.key.clone();
        let step = match &settlement.action {
            Action::Finish(value) => Operation::Put {
                key: key.clone(),
                value: value.clone(),
                lease: settlement.lease.id,
            },
            Action::Release => Operation::Delete { key: key.clone() },
        };
        let transaction = Transaction {
            compare: vec![Compare::ModRevision { key: key.clone(), revision }],
            success: vec![step],
            failure: vec![Operation::Get { key }],
        };
        let outcome = match self.platform.transact(CallPurpose::Once, &transaction).await {
            // The lease has ended, and the record with it.
            Err(PlatformError::Refused { status: NOT_FOUND, .. }) => {
                return self.settled_without_record(settlement);
            }
            outcome => outcome?,
        };
        if outcome.succeeded {
            self.count(match settlement.action {
                Action::Finish(_) => "finished",
                Action::Release => "released",
            });
            return Ok(());
        }
        match outcome.results.first() {
            Some(OperationResult { entries, .. }) if !entries.is_empty() => Ok(()),
            _ => self.settled_without_record(settlement),
        }
    }

    /// Reports a record that is gone although its call was sent: a repeat would run it again.
    fn settled_without_record(&self, settlement: &Settlement) -> Result<(), PlatformError> {
        if matches!(settlement.action, Action::Finish(_)) {
            self.count("record_lost");
            event::ONCE_RECORD_LOST.log(format_args!("key={}", settlement.key));
        }
        Ok(())
    }
}
