//! Decides whether an attempt that runs is left for another one because its owner may be lost.

use std::fmt;
use std::time::Duration;

use rand::Rng;

use super::decision::{
    Continuation, Failure, LEAST_TIME, RetryPolicy, RetryReason, longest_pause, pause,
    retry_is_safe, retry_reason,
};
use crate::verdict::Verdict;

/// Part of a full budget that is left to attempts which really fail, when an answer that has begun
/// is moved.
///
/// A doubt may be false. Were it allowed to spend the whole budget, a router that pauses for half a
/// second would take the retries from the answers that are cut in the next minute; they would end
/// in an error, where those moved would merely have come late.
const KEPT_SHARE: f64 = 0.5;

/// An attempt whose owner leaves signs of life to be desired.
#[derive(Clone, Debug)]
pub struct DoubtedAttempt {
    /// What would be asked of the retry policy had the attempt failed now.
    pub failure: Failure,
    /// Whether the last part that reached the caller brought a token, so that another attempt's
    /// part can follow it.
    pub ends_on_token: bool,
    /// Whether another replica serves the request, whose owner is not in doubt.
    pub served_elsewhere: bool,
}

/// What becomes of an attempt at an owner in doubt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DoubtDecision {
    /// It is left, and another one made after a pause; the retry is paid for.
    Leave {
        /// Reason to count.
        reason: RetryReason,
        /// Pause before the next attempt.
        delay: Duration,
    },
    /// It goes on to wait until the owner says something or is lost.
    Wait(WaitReason),
}

impl DoubtDecision {
    /// Name of the decision to leave in metrics.
    pub const LEFT: &str = "left";

    /// Returns the decision's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DoubtDecision::Leave { .. } => Self::LEFT,
            DoubtDecision::Wait(reason) => reason.as_str(),
        }
    }
}

/// Why an attempt at an owner in doubt is not left; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// The request may not run twice, or part of its body has gone.
    NotRepeatable,
    /// The answer has begun, and no other engine goes on after the last token.
    NotResumable,
    /// No other replica serves the request, or its owner is in doubt too.
    NobodyElse,
    /// The request's attempts are used up.
    LastAttempt,
    /// The caller's deadline leaves no time for another attempt.
    NoTime,
    /// The retry budget is spent, or kept for attempts that fail.
    NoBudget,
}

impl WaitReason {
    /// Every reason, in the order of the metrics.
    pub const ALL: [WaitReason; 6] = [
        WaitReason::NotRepeatable,
        WaitReason::NotResumable,
        WaitReason::NobodyElse,
        WaitReason::LastAttempt,
        WaitReason::NoTime,
        WaitReason::NoBudget,
    ];

    /// Returns the reason's name in metrics.
    ///
    /// ```
    /// use teaselworks_policy::retry::WaitReason;
    ///
    /// assert_eq!(WaitReason::NotResumable.as_str(), "not_resumable");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::NotRepeatable => "not_repeatable",
            WaitReason::NotResumable => "not_resumable",
            WaitReason::NobodyElse => "nobody_else",
            WaitReason::LastAttempt => "last_attempt",
            WaitReason::NoTime => "no_time",
            WaitReason::NoBudget => "no_budget",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl RetryPolicy {
    /// Decides whether a running attempt is left for another one; a move is paid for by this call.
    ///
    /// Unlike [`RetryPolicy::decide`] it never gives a request up: the owner may still answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand_pcg::Pcg32;
    /// use teaselworks_policy::retry::budget::BudgetSettings;
    /// use teaselworks_policy::retry::{
    ///     Continuation, DoubtDecision, DoubtedAttempt, Failure, RetryPolicy, RetryReason,
    ///     RetrySettings,
    /// };
    /// use teaselworks_policy::verdict::{RefusalReason, Verdict};
    ///
    /// let budget = BudgetSettings { ratio: 0.1, workspace_burst: 10.0, overall_burst: 100.0 };
    /// let mut policy = RetryPolicy::new(RetrySettings { budget, attempts: 4 });
    /// let commentary = DoubtedAttempt {
    ///     failure: Failure {
    ///         workspace: "archive".into(),
    ///         verdict: Verdict::Ran,
    ///         earlier_verdict: Verdict::NotRun,
    ///         reason: RefusalReason::OwnerUnreachable,
    ///         idempotent: true,
    ///         continuation: Continuation::Resume,
    ///         deadline_left: Duration::from_secs(60),
    ///         attempt: 0,
    ///         retries: 0,
    ///         reached_caller_tokens: 200,
    ///         reached_caller: true,
    ///         retry_after_ms: None,
    ///     },
    ///     ends_on_token: true,
    ///     served_elsewhere: true,
    /// };
    /// let decision = policy.on_doubt(Duration::ZERO, &commentary, &mut Pcg32::new(1, 1));
    /// assert!(matches!(decision, DoubtDecision::Leave { reason: RetryReason::Resumed, .. }));
    /// ```
    pub fn on_doubt(
        &mut self,
        now: Duration,
        doubted: &DoubtedAttempt,
        rng: &mut impl Rng,
    ) -> DoubtDecision {
        let reason = match self.reason_to_leave(doubted) {
            Ok(reason) => reason,
            Err(reason) => return DoubtDecision::Wait(reason),
        };
        let failure = &doubted.failure;
        let kept_share = if has_begun(failure) { KEPT_SHARE } else { 0.0 };
        if !reason.is_redirect() && !self.budget.try_take_above(now, &failure.workspace, kept_share)
        {
            return DoubtDecision::Wait(WaitReason::NoBudget);
        }
        DoubtDecision::Leave { reason, delay: pause(reason, failure.retries, rng) }
    }

    fn reason_to_leave(&self, doubted: &DoubtedAttempt) -> Result<RetryReason, WaitReason> {
        let failure = &doubted.failure;
        if !retry_is_safe(failure) {
            return Err(WaitReason::NotRepeatable);
        }
        if has_begun(failure) && !goes_on_at_once(doubted) {
            return Err(WaitReason::NotResumable);
        }
        let reason = retry_reason(failure).ok_or(WaitReason::NotResumable)?;
        // Nothing is lost by asking anew for an answer that has not begun; one that has would be
        // given up for a search without end.
        if has_begun(failure) && !doubted.served_elsewhere {
            return Err(WaitReason::NobodyElse);
        }
        if self.is_last(failure, reason) {
            return Err(WaitReason::LastAttempt);
        }
        if longest_pause(failure.retries) + LEAST_TIME > failure.deadline_left {
            return Err(WaitReason::NoTime);
        }
        Ok(reason)
    }
}

/// Tells whether the attempt brought anything, so that work is thrown away with it.
fn has_begun(failure: &Failure) -> bool {
    failure.verdict == Verdict::Ran
}

/// Tells whether another attempt would continue the answer with its next token.
///
/// An answer that must be generated from its start again would make its caller wait for longer than
/// an owner that was merely slow.
fn goes_on_at_once(doubted: &DoubtedAttempt) -> bool {
    let failure = &doubted.failure;
    match failure.continuation {
        Continuation::Never => !failure.reached_caller,
        Continuation::Restart | Continuation::Regenerate => failure.reached_caller_tokens == 0,
        Continuation::Resume => failure.reached_caller_tokens == 0 || doubted.ends_on_token,
    }
}
