//! Creates the record of a call, or tells what the one that is there says.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::once::claim::{ClaimStep, claim_step};
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use super::Once;
use super::claim::Claim;
use super::lease::BoundLease;
use super::record::{Fingerprint, KeptBody, Record, StoredOutcome, record_key};
use super::settler::{Action, Settlement};
use crate::platform::{
    CallPurpose, Compare, Entry, NotSent, Operation, PlatformError, Transaction,
};

/// Pause between looks while it is unknown whether the record was created.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which a lost answer is settled while the caller waits, whatever its deadline.
const LONGEST_PATIENCE: Duration = Duration::from_secs(3);
/// When to return after the platform did not answer.
const UNAVAILABLE_RETRY_MS: u64 = 2_000;
/// When to return while another try is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;
/// Time after which a try without an outcome is taken for lost.
const LOST_AFTER: Duration = Duration::from_secs(600);
/// HTTP status with which the platform refuses a lease that it does not know.
pub(super) const NOT_FOUND: u16 = 404;

/// A call that may not be repeated.
#[derive(Clone, Copy, Debug)]
pub struct OnceCall<'a> {
    /// Workspace that makes the call.
    pub workspace: &'a Name,
    /// Idempotency key.
    pub key: &'a str,
    /// Digest of the request.
    pub fingerprint: &'a Fingerprint,
    /// Attempt that is to send the call.
    pub attempt: &'a AttemptId,
    /// How long the outcome is kept, from the configuration.
    pub retention: Duration,
    /// Time for the platform's answers, at most what is left until the caller's deadline.
    pub patience: Duration,
}

/// What to do with a call.
#[derive(Debug)]
pub enum Begin {
    /// Send it, after a last `Claim::may_send`, and then finish or release the claim.
    Proceed(Claim),
    /// Return the outcome of the earlier run.
    Repeat(StoredOutcome),
}

/// What one try to create the record found.
enum Created {
    Own { revision: i64 },
    Other(Box<Record>),
}

impl Once {
    /// Creates the record of a call; only its creator is told to proceed.
    ///
    /// Fails as `not_run` when the platform did not answer or the key belongs to another request;
    /// as
    /// `may_have_run` when another try holds the key and its outcome is not known; as `ran` when
    /// the outcome was too large to keep.
    pub async fn begin(self: &Arc<Self>, call: &OnceCall<'_>) -> Result<Begin, Refusal> {
        let key = record_key(call.workspace, call.key);
        let record = Record {
            claim: format!("{}/{:x}", call.attempt, self.nonce()),
            fingerprint: call.fingerprint.clone(),
            started_at_ms: self.now_ms(),
            outcome: None,
        };
        let (created, lease) = match self.create(&key, &record, call).await {
            Ok(created) => created,
            Err(error) => return Err(self.unavailable(&error)),
        };
        match created {
            Created::Own { revision } => {
                self.count("proceed");
                let claim = Claim::new(self.clone(), key, record, revision, lease);
                Ok(Begin::Proceed(claim))
            }
            Created::Other(seen) => self.answer_repeat(*seen, &record),
        }
    }

    fn answer_repeat(&self, seen: Record, own: &Record) -> Result<Begin, Refusal> {
        match claim_step(&own.claim, own.fingerprint.as_str(), &seen.seen()) {
            ClaimStep::KeyReused => {
                self.count("key_reused");
                let detail = "The idempotency key was used for another request.";
                Err(Refusal::not_run(RefusalReason::DuplicateCall, None, detail))
            }
            ClaimStep::Repeat => {
                self.count("repeat");
                repeat(seen.outcome.expect("a finished record has an outcome"))
            }
            ClaimStep::Proceed | ClaimStep::InProgress => {
                self.count("in_progress");
                let age = self.now_ms().saturating_sub(seen.started_at_ms);
                let lost = Duration::from_millis(age) > LOST_AFTER;
                Err(Refusal {
                    reason: RefusalReason::DuplicateCall,
                    verdict: Verdict::MayHaveRun,
                    retry_after_ms: (!lost).then(|| self.spread_ms(IN_PROGRESS_RETRY_MS)),
                    detail: match lost {
                        true => "An earlier call with this key was lost; it may have run.".into(),
                        false => "A call with this key is in progress.".into(),
                    },
                })
            }
        }
    }

    /// Creates the record unless there is one; settles lost answers by its own claim.
    async fn create(
        &self,
        key: &str,
        record: &Record,
        call: &OnceCall<'_>,
    ) -> Result<(Created, BoundLease), PlatformError> {
        let end = self.clock.monotonic() + call.patience.min(LONGEST_PATIENCE);
        let mut lease = self.lease(call.retention).await?;
        let mut in_doubt = false;
        let mut renewed = false;
        loop {
            let error = match self.try_create(key, record, &lease).await {
                Ok(created) => return Ok((created, lease)),
                Err(error) => error,
            };
            if !renewed && matches!(error, PlatformError::Refused { status: NOT_FOUND, .. }) {
                renewed = true;
                self.forget_lease(lease.id).await;
                lease = self.lease(call.retention).await?;
                continue;
            }
            in_doubt |= error.may_have_taken_effect();
            // Refused while nothing is in doubt: there is no record, and asking again adds load.
            if !in_doubt || self.clock.monotonic() + SETTLE_PAUSE >= end {
                if in_doubt {
                    self.settle_later(Settlement {
                        key: key.to_owned(),
                        claim: record.claim.clone(),
                        lease,
                        action: Action::Release,
                    });
                }
                return Err(error);
            }
            let wait = error.wait().unwrap_or_default().max(SETTLE_PAUSE);
            tokio::time::sleep(wait.min(end.saturating_sub(self.clock.monotonic()))).await;
        }
    }

    async fn try_create(
        &self,
        key: &str,
        record: &Record,
        lease: &BoundLease,
    ) -> Result<Created, PlatformError> {
        let put = Operation::Put { key: key.to_owned(), value: record.encode(), lease: lease.id };
        let transaction = Transaction {
            compare: vec![Compare::Absent { key: key.to_owned() }],
            success: vec![put],
            failure: vec![Operation::Get { key: key.to_owned() }],
        };
        let outcome = self.platform.transact(CallPurpose::Once, &transaction).await?;
        if outcome.succeeded {
            return Ok(Created::Own { revision: outcome.revision });
        }
        let Some(entry) = outcome.entry(0) else {
            return Err(PlatformError::Unknown("neither absent nor there".into()));
        };
        let seen = decode(entry)?;
        if claim_step(&record.claim, record.fingerprint.as_str(), &seen.seen())
            == ClaimStep::Proceed
        {
            return Ok(Created::Own { revision: entry.mod_revision });
        }
        Ok(Created::Other(Box::new(seen)))
    }

    fn unavailable(&self, error: &PlatformError) -> Refusal {
        self.count("platform_unavailable");
        let retry_ms = match error {
            PlatformError::NotSent(
                NotSent::RateLimited { wait } | NotSent::CircuitOpen { wait },
            ) => u64::try_from(wait.as_millis()).unwrap_or(UNAVAILABLE_RETRY_MS),
            _ => UNAVAILABLE_RETRY_MS,
        };
        let retry_after_ms = Some(self.spread_ms(retry_ms.max(1)));
        let detail =
            "The platform is needed for calls that may not be repeated, and not available.";
        Refusal::not_run(RefusalReason::PlatformUnavailable, retry_after_ms, detail)
    }

    /// Returns a time at random from `time_ms` to one and a half times that.
    fn spread_ms(&self, time_ms: u64) -> u64 {
        time_ms + self.with_random(|random| random.random_range(0..=time_ms / 2))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.reading().wall.as_millis()).unwrap_or(u64::MAX)
    }
}

fn repeat(outcome: StoredOutcome) -> Result<Begin, Refusal> {
    let KeptBody::TooLarge { size_bytes, digest } = &outcome.body else {
        return Ok(Begin::Repeat(outcome));
    };
    Err(Refusal {
        reason: RefusalReason::DuplicateCall,
        verdict: Verdict::Ran,
        retry_after_ms: None,
        detail: format!(
            "The call ran with status {}; its answer of {size_bytes} bytes (SHA-256 {digest}) was \
             too large to keep.",
            outcome.status
        ),
    })
}

pub(super) fn decode(entry: &Entry) -> Result<Record, PlatformError> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| PlatformError::Unknown(format!("record: {error}")))
}
