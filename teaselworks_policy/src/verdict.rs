//! What is known about whether a request was executed, and why one was refused.

use std::fmt;
use std::time::Duration;

/// Says whether a failed request may have been executed by an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// No byte of the request reached an upstream, or the upstream said that it did nothing.
    NotRun,
    /// The request may have reached an upstream whose answer is lost.
    MayHaveRun,
}

impl Verdict {
    /// Tells whether another attempt is safe for a request of the given idempotence.
    ///
    /// ```
    /// use teaselworks_policy::verdict::Verdict;
    ///
    /// assert!(Verdict::NotRun.retry_is_safe(false));
    /// assert!(!Verdict::MayHaveRun.retry_is_safe(false));
    /// ```
    pub fn retry_is_safe(self, idempotent: bool) -> bool {
        self == Verdict::NotRun || idempotent
    }

    /// Returns the name in metrics, logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused or given up on; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The request is not valid HTTP, or lacks what its route needs.
    Malformed,
    /// No route of the configuration matches host and path.
    UnknownRoute,
    /// No key, or one that no workspace holds.
    Unauthorized,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No replica of the service is known, or all of them are ejected or were tried.
    NoReplica,
    /// Every replica is full, and none will have room in the time that is left.
    Overloaded,
    /// This router has as many requests at the service as are answered in time.
    Limited,
    /// Nearly all slots of the service are taken, and the caller is late already.
    LateCaller,
    /// No replica could be connected to.
    Unreachable,
    /// Replicas turned the request away unexecuted, and the retry budget is spent.
    RetryBudget,
    /// Replicas turned the request away unexecuted, as often as it may be sent.
    Rejected,
    /// The time of the request passed.
    Deadline,
    /// A replica broke off, or its answer was not one to this request.
    UpstreamFailed,
    /// The router is stopping.
    Stopping,
}

impl RefusalReason {
    /// Every reason, in the order of the metrics.
    pub const ALL: [RefusalReason; 16] = [
        RefusalReason::NoConfiguration,
        RefusalReason::Malformed,
        RefusalReason::UnknownRoute,
        RefusalReason::Unauthorized,
        RefusalReason::TooLarge,
        RefusalReason::BodyTimeout,
        RefusalReason::NoReplica,
        RefusalReason::Overloaded,
        RefusalReason::Limited,
        RefusalReason::LateCaller,
        RefusalReason::Unreachable,
        RefusalReason::RetryBudget,
        RefusalReason::Rejected,
        RefusalReason::Deadline,
        RefusalReason::UpstreamFailed,
        RefusalReason::Stopping,
    ];

    /// Tells whether a service has no room for the request, of which it will have some again.
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            RefusalReason::Overloaded | RefusalReason::Limited | RefusalReason::LateCaller
        )
    }

    /// Returns the reason's name in metrics, logs and answers.
    ///
    /// ```
    /// use teaselworks_policy::verdict::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::UnknownRoute.as_str(), "unknown_route");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::Malformed => "malformed",
            RefusalReason::UnknownRoute => "unknown_route",
            RefusalReason::Unauthorized => "unauthorized",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::BodyTimeout => "body_timeout",
            RefusalReason::NoReplica => "no_replica",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Limited => "limited",
            RefusalReason::LateCaller => "late_caller",
            RefusalReason::Unreachable => "unreachable",
            RefusalReason::RetryBudget => "retry_budget",
            RefusalReason::Rejected => "rejected",
            RefusalReason::Deadline => "deadline",
            RefusalReason::UpstreamFailed => "upstream_failed",
            RefusalReason::Stopping => "stopping",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that was given up on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was given up on.
    pub reason: RefusalReason,
    /// Whether an upstream may have executed it.
    pub verdict: Verdict,
    /// When the caller should return; `None` when returning will not help or is not safe.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a request that no upstream has executed.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert_eq!(Refusal::not_run(RefusalReason::Stopping, None).http_status(), 503);
    /// ```
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry_after }
    }

    /// Makes the answer to a request that may have been executed.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert_eq!(Refusal::may_have_run(RefusalReason::UpstreamFailed).http_status(), 502);
    /// ```
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { reason, verdict: Verdict::MayHaveRun, retry_after: None }
    }

    /// Returns the HTTP status that callers see.
    ///
    /// Callers take 408, 421, 429 and 503 as a promise that the request was not executed, and repeat
    /// it; the verdict therefore goes before the reason.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert_eq!(Refusal::may_have_run(RefusalReason::Deadline).http_status(), 504);
    /// assert_eq!(Refusal::not_run(RefusalReason::Deadline, None).http_status(), 503);
    /// ```
    pub fn http_status(&self) -> u16 {
        if self.verdict == Verdict::MayHaveRun {
            return if self.reason == RefusalReason::Deadline { 504 } else { 502 };
        }
        match self.reason {
            RefusalReason::Malformed => 400,
            RefusalReason::Unauthorized => 401,
            RefusalReason::UnknownRoute => 404,
            RefusalReason::BodyTimeout => 408,
            RefusalReason::TooLarge => 413,
            RefusalReason::NoConfiguration
            | RefusalReason::NoReplica
            | RefusalReason::Overloaded
            | RefusalReason::Limited
            | RefusalReason::LateCaller
            | RefusalReason::Unreachable
            | RefusalReason::RetryBudget
            | RefusalReason::Rejected
            | RefusalReason::Deadline
            | RefusalReason::UpstreamFailed
            | RefusalReason::Stopping => 503,
        }
    }
}
