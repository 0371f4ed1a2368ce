//! What follows a failed attempt.

use std::time::Duration;

use crate::verdict::{Refusal, RefusalReason, Verdict};

/// Most upstreams that one request is offered to, also when none of them ran it: more would only
/// add to the load that made them turn it away.
const OFFERS: u32 = 4;
/// Least time for which another attempt is worth its load.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The kept connection was closed before a byte of the request was written.
    NotSent,
    /// The upstream said that it did not execute the request.
    Rejected,
    /// Another upstream has the address now, and said so.
    Moved,
    /// The connection broke before the answer was whole.
    Broken,
    /// What arrived was not the answer to this request.
    Foreign,
    /// The upstream answered that it failed, which counts as executed.
    Failed,
    /// Nothing came for so long that another upstream is asked.
    Silent,
}

impl Failure {
    /// Every failure, in the order of the metrics.
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

    /// Tells whether the request may have been executed.
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

    /// Tells whether the request reached an upstream, so that another attempt counts as a repeat.
    pub fn was_sent(self) -> bool {
        !matches!(self, Failure::Unreachable | Failure::NotSent)
    }
}

/// Why a request is sent again; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// An attempt failed before its answer had begun.
    Failed(Failure),
    /// A stream broke off and goes on after its last event.
    Resumed,
}

impl RetryReason {
    /// Returns every reason, in the order of the metrics.
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

/// What is known about a request when an attempt of it has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptHistory {
    /// The request may run more than once.
    pub is_idempotent: bool,
    /// Upstreams that it was sent to so far.
    pub tried_count: u32,
    /// Upstreams on which it may have run so far.
    pub runs: u32,
    /// Upstreams on which it may run at most.
    pub max_runs: u32,
    /// Time that is left to it.
    pub remaining: Duration,
}

/// What follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to another upstream, for this reason, if the budget allows it where
    /// `is_budgeted` says so.
    Retry {
        /// Why.
        reason: RetryReason,
        /// The attempt counts as a repeat.
        is_budgeted: bool,
    },
    /// Answer the caller.
    GiveUp(Refusal),
}

/// Decides what follows a failed attempt; `attempts` counts it already.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::retry::{AttemptHistory, Failure, RetryDecision, decide_retry};
///
/// let remaining = Duration::from_secs(1);
/// let attempts = AttemptHistory { is_idempotent: false, tried_count: 1, runs: 1, max_runs: 1, remaining };
/// assert!(matches!(decide_retry(Failure::Broken, &attempts), RetryDecision::GiveUp(_)));
/// ```
pub fn decide_retry(failure: Failure, attempts: &AttemptHistory) -> RetryDecision {
    let ran_before = attempts.runs > 0;
    let verdict = if ran_before { Verdict::MayHaveRun } else { Verdict::NotRun };
    let has_time = attempts.remaining >= LEAST_TIME;
    let has_attempts = attempts.tried_count < OFFERS && attempts.runs < attempts.max_runs;
    if has_time && has_attempts && verdict.retry_is_safe(attempts.is_idempotent) {
        return RetryDecision::Retry {
            reason: RetryReason::Failed(failure),
            is_budgeted: failure.was_sent(),
        };
    }
    let reason = match failure {
        _ if !has_time => RefusalReason::Deadline,
        Failure::Unreachable | Failure::NotSent => RefusalReason::Unreachable,
        Failure::Rejected | Failure::Moved => RefusalReason::Rejected,
        Failure::Broken | Failure::Foreign | Failure::Failed | Failure::Silent => {
            RefusalReason::UpstreamFailed
        }
    };
    match verdict {
        Verdict::MayHaveRun => RetryDecision::GiveUp(Refusal::may_have_run(reason)),
        Verdict::NotRun => RetryDecision::GiveUp(Refusal::not_run(reason, None)),
    }
}
