//! What is known about whether a request was executed, and why one was refused.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Says whether a failed request may have been executed by an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Verdict {
    /// No byte of the request reached an upstream, or the upstream said that it did nothing.
    NotRun,
    /// The request may have reached an upstream whose answer is lost.
    MayHaveRun,
    /// The upstream began to answer.
    Ran,
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
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Order in which waiting requests are served.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits for the answer now.
    High,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait.
    Low,
}

impl Priority {
    /// Every priority, highest first.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

    /// Returns the name in metrics, logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Low => "low",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No key, or one that no workspace holds.
    Unauthorized,
    /// The request could not be understood.
    Malformed,
    /// The body or a header exceeds its limit.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The model, adapter or service is not one the workspace may use.
    UnknownTarget,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No replica of the target is live.
    NoReplica,
    /// The replica's load would exceed the set multiple of the mean.
    OverBound,
    /// The replica is not believed to hold the chat's context; another one may.
    NotHeld,
    /// The replica may hold the chat's context, or part of it; another one may hold more.
    PerhapsHeld,
    /// The queue for the priority is full.
    QueueFull,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// The workspace's request rate is spent.
    RequestRate,
    /// The workspace's token rate is spent.
    TokenRate,
    /// The workspace has too many requests in progress.
    Concurrency,
    /// The workspace's budget is spent.
    Budget,
    /// The retry budget is spent.
    RetryBudget,
    /// The upstream's circuit is open.
    CircuitOpen,
    /// The router asked does not own the replica.
    NotOwner,
    /// The owner of the replica could not be reached.
    OwnerUnreachable,
    /// The upstream could not be reached.
    UpstreamUnreachable,
    /// The upstream answered with an error or broke off.
    UpstreamFailed,
    /// The platform's key-value service is needed and unavailable.
    PlatformUnavailable,
    /// A call with the same idempotency key is in progress or its outcome is unknown.
    DuplicateCall,
    /// The router is stopping.
    Stopping,
    /// The router is out of memory for links or bodies.
    Overloaded,
    /// The engine is in another role than the chat asks for, or its role changes or is unknown.
    OtherRole,
}

impl RefusalReason {
    /// Every reason, in the order of the metrics.
    pub const ALL: [RefusalReason; 27] = [
        RefusalReason::Unauthorized,
        RefusalReason::Malformed,
        RefusalReason::TooLarge,
        RefusalReason::BodyTimeout,
        RefusalReason::UnknownTarget,
        RefusalReason::NoConfiguration,
        RefusalReason::NoReplica,
        RefusalReason::OverBound,
        RefusalReason::NotHeld,
        RefusalReason::PerhapsHeld,
        RefusalReason::QueueFull,
        RefusalReason::Deadline,
        RefusalReason::RequestRate,
        RefusalReason::TokenRate,
        RefusalReason::Concurrency,
        RefusalReason::Budget,
        RefusalReason::RetryBudget,
        RefusalReason::CircuitOpen,
        RefusalReason::NotOwner,
        RefusalReason::OwnerUnreachable,
        RefusalReason::UpstreamUnreachable,
        RefusalReason::UpstreamFailed,
        RefusalReason::PlatformUnavailable,
        RefusalReason::DuplicateCall,
        RefusalReason::Stopping,
        RefusalReason::Overloaded,
        RefusalReason::OtherRole,
    ];

    /// Returns the reason's name in metrics, logs and answers.
    ///
    /// ```
    /// use teaselworks_policy::verdict::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::OverBound.as_str(), "over_bound");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Unauthorized => "unauthorized",
            RefusalReason::Malformed => "malformed",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::BodyTimeout => "body_timeout",
            RefusalReason::UnknownTarget => "unknown_target",
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::NoReplica => "no_replica",
            RefusalReason::OverBound => "over_bound",
            RefusalReason::NotHeld => "not_held",
            RefusalReason::PerhapsHeld => "perhaps_held",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Deadline => "deadline",
            RefusalReason::RequestRate => "request_rate",
            RefusalReason::TokenRate => "token_rate",
            RefusalReason::Concurrency => "concurrency",
            RefusalReason::Budget => "budget",
            RefusalReason::RetryBudget => "retry_budget",
            RefusalReason::CircuitOpen => "circuit_open",
            RefusalReason::NotOwner => "not_owner",
            RefusalReason::OwnerUnreachable => "owner_unreachable",
            RefusalReason::UpstreamUnreachable => "upstream_unreachable",
            RefusalReason::UpstreamFailed => "upstream_failed",
            RefusalReason::PlatformUnavailable => "platform_unavailable",
            RefusalReason::DuplicateCall => "duplicate_call",
            RefusalReason::Stopping => "stopping",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::OtherRole => "other_role",
        }
    }

    /// Returns the HTTP status that callers see.
    ///
    /// ```
    /// use teaselworks_policy::verdict::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::Budget.http_status(), 429);
    /// ```
    pub fn http_status(self) -> u16 {
        match self {
            RefusalReason::Unauthorized => 401,
            RefusalReason::Malformed => 400,
            RefusalReason::TooLarge => 413,
            RefusalReason::BodyTimeout => 408,
            RefusalReason::UnknownTarget => 404,
            RefusalReason::DuplicateCall => 409,
            RefusalReason::RequestRate
            | RefusalReason::TokenRate
            | RefusalReason::Concurrency
            | RefusalReason::Budget => 429,
            RefusalReason::Deadline => 504,
            RefusalReason::UpstreamFailed => 502,
            RefusalReason::NoConfiguration
            | RefusalReason::NoReplica
            | RefusalReason::OverBound
            | RefusalReason::NotHeld
            | RefusalReason::PerhapsHeld
            | RefusalReason::QueueFull
            | RefusalReason::RetryBudget
            | RefusalReason::CircuitOpen
            | RefusalReason::NotOwner
            | RefusalReason::OwnerUnreachable
            | RefusalReason::UpstreamUnreachable
            | RefusalReason::PlatformUnavailable
            | RefusalReason::Stopping
            | RefusalReason::Overloaded
            | RefusalReason::OtherRole => 503,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that was given up on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether an upstream may have executed it.
    pub verdict: Verdict,
    /// When the caller should return, in milliseconds; `None` when returning will not help.
    pub retry_after_ms: Option<u64>,
    /// One sentence for the caller.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal of a request that no upstream has seen.
    ///
    /// ```
    /// use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};
    ///
    /// let refusal = Refusal::not_run(RefusalReason::QueueFull, Some(250), "The queue is full.");
    /// assert_eq!(refusal.verdict, Verdict::NotRun);
    /// ```
    pub fn not_run(
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        detail: impl Into<String>,
    ) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry_after_ms, detail: detail.into() }
    }
}
