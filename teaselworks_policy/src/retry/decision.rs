//! The decision that follows a failed attempt: retry or give up.

use std::time::Duration;

use crate::verdict::{Refusal, RefusalReason, Verdict};

/// Maximum number of upstreams tried for one request, even if none of them executed it. More
/// attempts would only add to the load that made them reject it.
const MAX_TRIED_UPSTREAMS: u32 = 4;
/// Minimum time left for another attempt; with less, an answer is too unlikely to justify the load.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection to the upstream could be opened, or the deadline passed before the request was
    /// sent.
    Unreachable,
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// The upstream answered that it did not execute the request.
    Rejected,
    /// Another upstream now has the address, and answered that the request was not meant for it.
    Moved,
    /// After the request was sent, the connection broke before the answer was complete, or the
    /// deadline passed before the head of the answer arrived.
    Broken,
    /// The data received was not the answer to this request.
    Foreign,
    /// The upstream answered with an error, which counts as executed.
    Failed,
    /// No data arrived within the route's silence timeout, and the attempt was abandoned for
    /// another one.
    Silent,
}

impl Failure {
    /// All failures, in the order in which the metrics list them.
    pub const ALL: [Failure; 8] = [
        Failure::Unreachable,
        Failure::NotSent,
        Failure::Rejected,
        Failure::Moved,
        Failure::Broken,
        Failure::Foreign,
        Failure::Failed,
        Failure::Silent,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks_policy::retry::Failure;
    ///
    /// assert_eq!(Failure::Unreachable.as_str(), "unreachable");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Unreachable => "unreachable",
            Failure::NotSent => "not_sent",
            Failure::Rejected => "rejected",
            Failure::Moved => "moved",
            Failure::Broken => "broken",
            Failure::Foreign => "foreign",
            Failure::Failed => "failed",
            Failure::Silent => "silent",
        }
    }

    /// Returns the verdict on the failed attempt alone: whether the request may have been executed
    /// in it.
    ///
    /// ```
    /// use teaselworks_policy::retry::Failure;
    /// use teaselworks_policy::verdict::Verdict;
    ///
    /// assert_eq!(Failure::Broken.verdict(), Verdict::MayHaveRun);
    /// ```
    pub fn verdict(self) -> Verdict {
        match self {
            Failure::Unreachable | Failure::NotSent | Failure::Rejected | Failure::Moved => {
                Verdict::NotRun
            }
            Failure::Broken | Failure::Foreign | Failure::Failed | Failure::Silent => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Returns whether the request was sent to an upstream, so that a retry counts against the
    /// retry budget.
    pub fn was_sent(self) -> bool {
        !matches!(self, Failure::Unreachable | Failure::NotSent)
    }
}

/// Why a request is retried; the metrics count each reason separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// An attempt failed before its answer began.
    Failed(Failure),
    /// A stream broke off and is resumed at another upstream after the last event received.
    Resumed,
}

impl RetryReason {
    /// Returns all reasons, in the order in which the metrics list them.
    pub fn all() -> impl Iterator<Item = RetryReason> {
        Failure::ALL.into_iter().map(RetryReason::Failed).chain([RetryReason::Resumed])
    }

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks_policy::retry::{Failure, RetryReason};
    ///
    /// assert_eq!(RetryReason::Failed(Failure::NotSent).as_str(), "not_sent");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::Failed(failure) => failure.as_str(),
            RetryReason::Resumed => "resumed",
        }
    }
}

/// The attempts of a request after one has failed, and the limits on further ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Number of upstreams tried so far, including those to which the request could not be sent;
    /// `u32::MAX` if the body is not buffered and cannot be sent again.
    pub tried_count: u32,
    /// Number of attempts so far in which the request was possibly executed.
    pub runs: u32,
    /// Limit on `runs`: with this many, the request is not retried.
    pub max_runs: u32,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to another upstream. If `is_budgeted`, only if the retry budget allows it.
    Retry {
        /// Why the request is retried.
        reason: RetryReason,
        /// Whether the retry counts against the retry budget.
        is_budgeted: bool,
    },
    /// Answer the caller with this refusal.
    GiveUp(Refusal),
}

/// Decides whether to retry a request after an attempt failed with `failure`; `history` includes
/// the failed attempt.
///
/// A request is given up with a verdict that covers all of its attempts, not only the last one.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::retry::{AttemptHistory, Failure, Decision, decide_retry};
///
/// let remaining = Duration::from_secs(1);
/// let history =
///     AttemptHistory { is_idempotent: false, tried_count: 1, runs: 1, max_runs: 1, remaining };
/// assert!(matches!(decide_retry(Failure::Broken, &history), Decision::GiveUp(_)));
/// ```
pub fn decide_retry(failure: Failure, history: &AttemptHistory) -> Decision {
    let has_possible_run = history.runs > 0;
    let verdict = if has_possible_run { Verdict::MayHaveRun } else { Verdict::NotRun };
    let has_time_left = history.remaining >= MIN_RETRY_TIME;
    let has_attempts_left =
        history.tried_count < MAX_TRIED_UPSTREAMS && history.runs < history.max_runs;
    if has_time_left && has_attempts_left && verdict.is_retry_safe(history.is_idempotent) {
        return Decision::Retry {
            reason: RetryReason::Failed(failure),
            is_budgeted: failure.was_sent(),
        };
    }
    let reason = match failure {
        _ if !has_time_left => RefusalReason::Deadline,
        Failure::Unreachable | Failure::NotSent => RefusalReason::Unreachable,
        Failure::Rejected | Failure::Moved => RefusalReason::Rejected,
        Failure::Broken | Failure::Foreign | Failure::Failed | Failure::Silent => {
            RefusalReason::UpstreamFailed
        }
    };
    match verdict {
        Verdict::MayHaveRun => Decision::GiveUp(Refusal::may_have_run(reason)),
        Verdict::NotRun => Decision::GiveUp(Refusal::not_run(reason, None)),
    }
}
