//! Refusals of requests: the reason, whether an upstream may have executed the request, and the
//! HTTP status that follows.

use std::fmt;
use std::time::Duration;

/// Whether an upstream may have executed a request that failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// Certainly not executed: no byte of the request reached an upstream, or each upstream that it
    /// reached answered that it did not execute it.
    NotRun,
    /// Possibly executed: the request may have reached an upstream, and no answer of that upstream
    /// states that it did not execute it.
    MayHaveRun,
}

impl Verdict {
    /// Returns whether another attempt is safe: the request was not executed, or it is idempotent.
    ///
    /// ```
    /// use teaselworks_policy::verdict::Verdict;
    ///
    /// assert!(Verdict::NotRun.is_retry_safe(false));
    /// assert!(!Verdict::MayHaveRun.is_retry_safe(false));
    /// ```
    pub fn is_retry_safe(self, is_idempotent: bool) -> bool {
        self == Verdict::NotRun || is_idempotent
    }

    /// Returns the verdict's name in metrics, logs and answers.
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

/// Why a request was refused or given up; the metrics count each reason separately.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The router has no configuration yet.
    NoConfiguration,
    /// The request is not valid HTTP, or lacks something that its route requires.
    Malformed,
    /// No route of the configuration matches the host and path.
    UnknownRoute,
    /// The request has no API key, or one that belongs to no workspace.
    Unauthorized,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body of the request did not arrive in time.
    BodyTimeout,
    /// No replica can be chosen: the route names no service, no replica of the service is known, or
    /// each replica is draining, has an entry that cannot be decoded, or was tried already.
    NoReplica,
    /// The request resumes a stream, and no router is known that can tell which version of the
    /// service's software began it.
    UnknownStream,
    /// A part of the prompt crashes the replicas that begin to write an answer on it.
    BlockedPart,
    /// As many replicas as may have ended while they ran the same request.
    BlockedRequest,
    /// No replica can be chosen, and some have asked this router for rest.
    Resting,
    /// No replica can be chosen, and the operator has evacuated the zones of some.
    Evacuated,
    /// No replica can be chosen, and some are cold and have no room for another request of this
    /// router.
    Cold,
    /// The expected wait for a slot at the chosen replica exceeds the share of the target latency
    /// that a request may wait, or the time left, and no replica with room was found instead. Or
    /// the service is overloaded, and requests of the most urgent rank take all its slots.
    Overloaded,
    /// This router has as many requests in progress at the service as its concurrency limit allows.
    Limited,
    /// Nearly all slots of the service are taken, and the caller is late: it states less time than
    /// is usual for the route, so it was probably refused before and is retrying.
    LateCaller,
    /// The service is overloaded, and requests of a more urgent rank take the slots.
    Rank,
    /// The service is overloaded, and the caller's workspace exceeds its share of the slots.
    WorkspaceShare,
    /// The last attempt could not connect to its upstream or send it the request, and the request
    /// may not be sent to another one.
    Unreachable,
    /// An upstream answered that it did not execute the request, and the retry budget of the
    /// service is spent.
    RetryBudget,
    /// An upstream answered that it did not execute the request, and the request may not be sent to
    /// another one: too many were tried, an earlier one may have executed it, or the body is not
    /// buffered.
    Rejected,
    /// The deadline of the request passed, or too little time was left for another attempt.
    Deadline,
    /// An upstream answered with an error, broke off its answer or was silent, or it sent something
    /// other than the answer to this request.
    UpstreamFailed,
    /// The router is stopping.
    Stopping,
}

impl RefusalReason {
    /// All reasons, in the order in which the metrics list them.
    pub const ALL: [RefusalReason; 24] = [
        RefusalReason::NoConfiguration,
        RefusalReason::Malformed,
        RefusalReason::UnknownRoute,
        RefusalReason::Unauthorized,
        RefusalReason::TooLarge,
        RefusalReason::BodyTimeout,
        RefusalReason::NoReplica,
        RefusalReason::UnknownStream,
        RefusalReason::BlockedPart,
        RefusalReason::BlockedRequest,
        RefusalReason::Resting,
        RefusalReason::Evacuated,
        RefusalReason::Cold,
        RefusalReason::Overloaded,
        RefusalReason::Limited,
        RefusalReason::LateCaller,
        RefusalReason::Rank,
        RefusalReason::WorkspaceShare,
        RefusalReason::Unreachable,
        RefusalReason::RetryBudget,
        RefusalReason::Rejected,
        RefusalReason::Deadline,
        RefusalReason::UpstreamFailed,
        RefusalReason::Stopping,
    ];

    /// Returns whether the service is overloaded, so that the same request may be accepted later.
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            RefusalReason::Overloaded
                | RefusalReason::Limited
                | RefusalReason::LateCaller
                | RefusalReason::Rank
                | RefusalReason::WorkspaceShare
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
            RefusalReason::UnknownStream => "unknown_stream",
            RefusalReason::BlockedPart => "blocked_part",
            RefusalReason::BlockedRequest => "blocked_request",
            RefusalReason::Resting => "resting",
            RefusalReason::Evacuated => "evacuated",
            RefusalReason::Cold => "cold",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Limited => "limited",
            RefusalReason::LateCaller => "late_caller",
            RefusalReason::Rank => "rank",
            RefusalReason::WorkspaceShare => "workspace_share",
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

/// The final answer to a request that was refused or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused or given up.
    pub reason: RefusalReason,
    /// Whether an upstream may have executed it.
    pub verdict: Verdict,
    /// Time after which the caller should retry; `None` if a retry will not help or is not safe.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that no upstream has executed.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert_eq!(Refusal::not_run(RefusalReason::Stopping, None).http_status(), 503);
    /// ```
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry_after }
    }

    /// Creates the final answer to a failed request that an upstream may have executed.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert_eq!(Refusal::may_have_run(RefusalReason::UpstreamFailed).http_status(), 502);
    /// ```
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { reason, verdict: Verdict::MayHaveRun, retry_after: None }
    }

    /// Returns whether the reason concerns only this router, so that another one may serve the
    /// request.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason};
    ///
    /// assert!(Refusal::not_run(RefusalReason::Stopping, None).is_local());
    /// assert!(!Refusal::may_have_run(RefusalReason::Unreachable).is_local());
    /// ```
    pub fn is_local(&self) -> bool {
        let is_local_reason = matches!(
            self.reason,
            RefusalReason::NoConfiguration
                | RefusalReason::UnknownRoute
                | RefusalReason::Unauthorized
                | RefusalReason::NoReplica
                | RefusalReason::Resting
                | RefusalReason::Cold
                | RefusalReason::Unreachable
                | RefusalReason::Stopping
        );
        is_local_reason && self.verdict == Verdict::NotRun
    }

    /// Returns the HTTP status of the answer.
    ///
    /// Callers take 408, 421, 429 and 503 to mean that the request was not executed, and send it
    /// again; of these, only 408 and 503 are returned here. The verdict therefore takes precedence
    /// over the reason: a request that may have been executed gets 502 or 504.
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
            | RefusalReason::UnknownStream
            | RefusalReason::BlockedPart
            | RefusalReason::BlockedRequest
            | RefusalReason::Resting
            | RefusalReason::Evacuated
            | RefusalReason::Cold
            | RefusalReason::Overloaded
            | RefusalReason::Limited
            | RefusalReason::LateCaller
            | RefusalReason::Rank
            | RefusalReason::WorkspaceShare
            | RefusalReason::Unreachable
            | RefusalReason::RetryBudget
            | RefusalReason::Rejected
            | RefusalReason::Deadline
            | RefusalReason::UpstreamFailed
            | RefusalReason::Stopping => 503,
        }
    }
}
