//! Submits a patch by looks and writes, and settles answers that were lost.

use std::time::Duration;

use teaselworks_config::configuration::patch;
use teaselworks_policy::store::version::{Submission, SubmissionStep, submission_step};

use super::Store;
use super::load::{LoadError, SeenHead};
use super::record::{HEAD_KEY, SubmissionRecord, submission_key};
use super::refusal::{PatchError, invalid};
use super::request::PatchRequest;
use crate::event;
use crate::platform::{CallPurpose, Operation, PlatformError, Transaction};

/// Longest time for which a submission is tried and lost answers are settled.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause between looks while an outcome is unknown.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);
/// Patches listed to a submitter whose number is stale.
const CHANGED_LIMIT: u64 = 50;

/// What one look at the platform told about a submission.
struct Look {
    head: SeenHead,
    submission: Option<SubmissionRecord>,
}

/// What a submission is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Turn {
    /// To change the configuration.
    Patch,
    /// To publish what is in force to a platform that is behind.
    Republish,
}

enum StepError {
    Behind,
    Load(LoadError),
}

impl From<LoadError> for StepError {
    fn from(error: LoadError) -> Self {
        StepError::Load(error)
    }
}

impl From<PlatformError> for StepError {
    fn from(error: PlatformError) -> Self {
        StepError::Load(error.into())
    }
}

impl Store {
    /// Submits a patch; returns the number under which it is accepted, now or by an earlier try.
    ///
    /// The same submission may be made any number of times, through any router: it is accepted at
    /// most once. The patch, the head and the submission's record are written by one transaction
    /// that requires the head to be unmoved and the record to be absent, so a write that the
    /// platform carries out late changes nothing once another one has been accepted.
    pub async fn submit(&self, request: &PatchRequest) -> Result<u64, PatchError> {
        self.submit_as(request, Turn::Patch).await
    }

    pub(super) async fn submit_as(
        &self,
        request: &PatchRequest,
        turn: Turn,
    ) -> Result<u64, PatchError> {
        request.check()?;
        let _one_at_a_time = self.committing.lock().await;
        let outcome = self.settle(request, turn).await;
        match &outcome {
            Ok(number) => event::PATCH_ACCEPTED.log(format_args!(
                "id={} version={number} author={:?}",
                request.id, request.author
            )),
            Err(error) => event::PATCH_REFUSED.log(format_args!(
                "id={} reason={} author={:?}",
                request.id,
                error.as_str(),
                request.author
            )),
        }
        outcome
    }

    /// Looks and writes until the outcome is known or the time is over.
    async fn settle(&self, request: &PatchRequest, turn: Turn) -> Result<u64, PatchError> {
        let end = self.clock.monotonic() + PATIENCE;
        // Once a write was sent whose answer is lost, a platform that cannot be asked leaves the
        // outcome unknown. Called unavailable, the operator would take the patch for refused.
        let mut in_doubt = false;
        let mut behind = 0;
        loop {
            let error = match self.step(request, turn, &mut in_doubt).await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => None,
                Err(StepError::Behind) => {
                    behind += 1;
                    (behind > 1).then_some(PatchError::PlatformBehind)
                }
                Err(StepError::Load(error)) => {
                    Some(PatchError::PlatformUnavailable(error.to_string()))
                }
            };
            if let Some(error) = error
                && !in_doubt
            {
                return Err(error);
            }
            if self.clock.monotonic() >= end {
                return Err(match in_doubt {
                    true => PatchError::UnknownOutcome,
                    false => PatchError::PlatformUnavailable("the head keeps changing".into()),
                });
            }
            if in_doubt {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        }
    }

    /// Looks once and does what follows; `None`: look again.
    async fn step(
        &self,
        request: &PatchRequest,
        turn: Turn,
        in_doubt: &mut bool,
    ) -> Result<Option<Result<u64, PatchError>>, StepError> {
        let look = self.look(request).await?;
        let (held, numbered) = self.held.both();
        let head = look.head.head.version();
        let submission = Submission {
            head: &head,
            accepted_as: look.submission.as_ref().map(|record| record.version),
            same_content: look
                .submission
                .as_ref()
                .is_some_and(|record| record.digest == request.digest()),
            expect: request.expect,
        };
        let commit = match submission_step(&held, &submission) {
            SubmissionStep::Accepted(number) => {
                // The head was read together with the record, so loading it puts the patch in
                // force.
                let _ = self.load_head(&self.held, &look.head.head).await;
                self.consider_snapshot(look.head.head.snapshot.as_ref(), head.number);
                return Ok(Some(Ok(number)));
            }
            SubmissionStep::IdentifierTaken => {
                return Ok(Some(Err(invalid("id", "belongs to another patch"))));
            }
            SubmissionStep::Stale | SubmissionStep::Commit if turn == Turn::Republish => {
                return Ok(Some(Err(invalid("id", "is not needed: the platform is not behind"))));
            }
            SubmissionStep::Stale => {
                return Ok(Some(Err(self.stale(request, held.number).await)));
            }
            SubmissionStep::Load => {
                self.load_head(&self.held, &look.head.head).await?;
                return Ok(None);
            }
            SubmissionStep::PlatformBehind if turn == Turn::Patch => {
                self.load_head(&self.held, &look.head.head).await?;
                return Err(StepError::Behind);
            }
            // The operator looked at another router, or before a patch that this one has by now.
            SubmissionStep::PlatformBehind if request.expect != held.number => {
                return Ok(Some(Err(self.stale(request, held.number).await)));
            }
            SubmissionStep::PlatformBehind => {
                match self.republication(request, &held, &look.head).await {
                    Ok(commit) => commit,
                    Err(error) => return Ok(Some(Err(error))),
                }
            }
            SubmissionStep::Commit => {
                if let Err(faults) = patch::check(&numbered.configuration, &request.patch) {
                    return Ok(Some(Err(PatchError::Invalid(faults))));
                }
                self.commit(request, &held, &look.head)
            }
        };
        match self.platform.transact(CallPurpose::Configuration, &commit.transaction).await {
            Ok(outcome) if outcome.succeeded => {
                // A peer may have brought it first; a failure is logged where it happens.
                let number = commit.stored.record.version;
                let _ = self.held.adopt_own(&commit.stored, &commit.raw_patch);
                self.consider_snapshot(look.head.head.snapshot.as_ref(), number);
                Ok(Some(Ok(number)))
            }
            Ok(_) => Ok(None),
            Err(error) => {
                *in_doubt |= error.may_have_taken_effect();
                Err(StepError::Load(error.into()))
            }
        }
    }

    async fn look(&self, request: &PatchRequest) -> Result<Look, StepError> {
        let gets = [HEAD_KEY.to_owned(), submission_key(&request.id)];
        let success = gets.into_iter().map(|key| Operation::Get { key }).collect();
        let transaction = Transaction { success, ..Transaction::default() };
        let outcome = self.platform.transact(CallPurpose::Configuration, &transaction).await?;
        let head = SeenHead::from_entry(outcome.entry(0))?;
        let submission = match outcome.entry(1) {
            None => None,
            Some(entry) => Some(
                serde_json::from_slice(&entry.value)
                    .map_err(|error| LoadError::Unreadable(error.to_string()))?,
            ),
        };
        Ok(Look { head, submission })
    }

    /// Refuses with the number in force and what was accepted after the expected one, newest first;
    /// with nothing listed when it cannot be read.
    async fn stale(&self, request: &PatchRequest, current: u64) -> PatchError {
        let limit = current.saturating_sub(request.expect).min(CHANGED_LIMIT);
        let changed = self.history(limit, current).await.unwrap_or_default();
        PatchError::Stale { current, changed }
    }
}
