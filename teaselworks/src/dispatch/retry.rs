//! Makes a failed attempt the next one, where the retry policy allows it.

use std::time::Duration;

use teaselworks_policy::attempt::Fault;
use teaselworks_policy::retry::{Failure, RetryDecision, RetryReason};
use teaselworks_policy::verdict::Refusal;

use super::dispatcher::{Decisions, Dispatcher};
use super::entry::Entry;
use super::request::Request;
use crate::event;

/// An attempt that failed or was left.
pub struct Failed {
    /// How it failed.
    pub fault: Fault,
    /// The retry that was granted when it was left.
    pub paid: Option<PaidRetry>,
}

/// A retry that the retry policy has granted.
pub struct PaidRetry {
    /// Reason to count.
    pub reason: RetryReason,
    /// Pause before the attempt.
    pub delay: Duration,
}

impl Dispatcher {
    /// Waits until the next attempt may be made; fails when the request is given up on.
    pub(super) async fn retry(
        &self,
        entry: &Entry,
        request: &Request,
        failed: Failed,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        let Failed { fault, paid } = failed;
        let now = self.parts.clock.monotonic();
        let traits = entry.traits();
        let failure = request.failure(&fault, &traits, deadline.saturating_sub(now));
        let PaidRetry { reason, delay } = match paid {
            Some(retry) => retry,
            None => self.decide(now, &failure)?,
        };
        self.parts.metrics.add_retry(reason);
        event::ATTEMPT_RETRIED.log(format_args!(
            "attempt={} reason={reason} refusal={}",
            request.attempt(),
            fault.reason
        ));
        request.next_attempt(traits.continuation);
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn decide(&self, now: Duration, failure: &Failure) -> Result<PaidRetry, Refusal> {
        let Decisions { retries, random } = &mut *self.decisions();
        match retries.decide(now, failure, random) {
            RetryDecision::Retry { reason, delay } => Ok(PaidRetry { reason, delay }),
            RetryDecision::GiveUp(refusal) => Err(refusal),
        }
    }
}
