//! Holds an attempt's place at a replica until it ends, however it ends.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use teaselworks_policy::admission::queue::EntryId;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::retry::breaker::Pass;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::replica::{Counted, SharedReplica, Turn, Waiting};

/// An attempt's place at a replica; dropping it gives the place to the next attempt.
///
/// Whatever path an attempt leaves by (its caller gone, its task ended, an error), a place that
/// is not given back would count as load for ever, and the replica would fill up with nothing.
pub struct Slot {
    replica: SharedReplica,
    clock: Arc<dyn Clock>,
    attempt: AttemptId,
    pass: Pass,
    waiting: Option<EntryId>,
    runs: Arc<AtomicBool>,
    success: Option<bool>,
    /// Reading of the monotonic clock when the turn came.
    began: Duration,
}

impl Slot {
    /// Holds a counted attempt; waits for its turn where it has none yet.
    pub async fn take(
        replica: SharedReplica,
        clock: Arc<dyn Clock>,
        attempt: AttemptId,
        counted: Counted,
    ) -> Result<Self, Refusal> {
        let Counted { pass, waiting, runs } = counted;
        let began = clock.monotonic();
        let id = waiting.as_ref().map(|waiting| waiting.id);
        let mut slot =
            Self { replica, clock, attempt, pass, waiting: id, runs, success: None, began };
        if let Some(waiting) = waiting {
            slot.wait(waiting).await?;
            slot.began = slot.clock.monotonic();
        }
        Ok(slot)
    }

    /// Waits for the turn; refused at the queue's deadline, also when no place becomes free.
    async fn wait(&self, mut waiting: Waiting) -> Result<(), Refusal> {
        loop {
            let left = waiting.deadline.saturating_sub(self.clock.monotonic());
            let turn = tokio::select! {
                turn = &mut waiting.turn => turn,
                () = tokio::time::sleep(left) => {
                    self.replica.expire(self.clock.monotonic());
                    continue;
                }
            };
            return match turn {
                Ok(Turn::Run) => Ok(()),
                Ok(Turn::Refused(refusal)) => Err(refusal),
                Err(_) => {
                    let detail = "The queue was given up.";
                    Err(Refusal::not_run(RefusalReason::Stopping, None, detail))
                }
            };
        }
    }

    /// Notes that the answer is whole, and with it how long `output_tokens` expected took.
    pub fn whole(&mut self, output_tokens: u32) {
        self.success = Some(true);
        let now = self.clock.monotonic();
        self.replica.record_run(now, output_tokens, now.saturating_sub(self.began));
    }

    /// Notes the tokens generated so far.
    pub fn progress(&self, tokens: u64) {
        self.replica.progress(&self.attempt, tokens);
    }

    /// Notes how the upstream did; without this the attempt says nothing about it.
    pub fn note(&mut self, success: bool) {
        self.success = Some(success);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.monotonic();
        self.replica.report(now, self.pass, self.success);
        self.replica.finish(now, &self.attempt, self.waiting, &self.runs);
    }
}
