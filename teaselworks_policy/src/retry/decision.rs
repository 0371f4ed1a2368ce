//! Decides whether a failed attempt is followed by another one.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::admission::deadline::spread_ms;
use crate::name::Name;
use crate::verdict::{Refusal, RefusalReason, Verdict};

use super::budget::{BudgetSettings, RetryBudget};

/// Redirects of one request; a search of a place ends by itself before.
const MOST_REDIRECTS: u32 = 64;
/// Longest first pause before a retry.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause before a retry.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// When a caller should return where nobody said when.
const USUAL_RETURN: Duration = Duration::from_secs(1);
/// Time that a new attempt needs at least to be worth starting.
pub(super) const LEAST_TIME: Duration = Duration::from_millis(5);

/// Limits on the attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed to workspaces and overall.
    pub budget: BudgetSettings,
    /// Attempts at one request that may cost an upstream work, the first included.
    pub attempts: u32,
}

/// Why an attempt was followed by another one; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The owner refused for want of room; the next candidate is asked.
    NextCandidate,
    /// The router asked no longer owns the replica.
    OwnerMoved,
    /// The owner could not be reached, or was lost.
    OwnerLost,
    /// The upstream could not be reached; nothing was sent.
    UpstreamUnreachable,
    /// The upstream failed before any of its answer reached the caller.
    UpstreamFailed,
    /// The answer broke off, and the engine goes on after the tokens that reached the caller.
    Resumed,
    /// The answer broke off, and is generated again without what reached the caller.
    Regenerated,
}

impl RetryReason {
    /// Every reason, in the order of the metrics.
    pub const ALL: [RetryReason; 7] = [
        RetryReason::NextCandidate,
        RetryReason::OwnerMoved,
        RetryReason::OwnerLost,
        RetryReason::UpstreamUnreachable,
        RetryReason::UpstreamFailed,
        RetryReason::Resumed,
        RetryReason::Regenerated,
    ];

    /// Returns the reason's name in metrics and logs.
    ///
    /// ```
    /// use teaselworks_policy::retry::RetryReason;
    ///
    /// assert_eq!(RetryReason::NextCandidate.as_str(), "next_candidate");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::NextCandidate => "next_candidate",
            RetryReason::OwnerMoved => "owner_moved",
            RetryReason::OwnerLost => "owner_lost",
            RetryReason::UpstreamUnreachable => "upstream_unreachable",
            RetryReason::UpstreamFailed => "upstream_failed",
            RetryReason::Resumed => "resumed",
            RetryReason::Regenerated => "regenerated",
        }
    }

    /// Tells whether the attempt before was only turned away, so that it cost no upstream work
    /// and the next one is not charged to a budget.
    pub fn is_redirect(self) -> bool {
        matches!(self, RetryReason::NextCandidate | RetryReason::OwnerMoved)
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How an answer that began can go on in another attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuation {
    /// Not at all once its head reached the caller, as with a plain service.
    Never,
    /// From its start, as long as no token reached the caller.
    Restart,
    /// From its start, without what reached the caller: the model generates the same again.
    Regenerate,
    /// After the tokens that reached the caller: the engine resumes.
    Resume,
}

/// A failed attempt and what is left for another one.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Workspace whose budget pays for a retry.
    pub workspace: Name,
    /// What is known about this attempt.
    pub verdict: Verdict,
    /// Worst verdict of the request's earlier attempts; `NotRun` when there were none.
    pub earlier_verdict: Verdict,
    /// Why this attempt failed.
    pub reason: RefusalReason,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// How an answer that began can go on.
    pub continuation: Continuation,
    /// Time left until the caller's deadline.
    pub deadline_left: Duration,
    /// Number of this attempt, from 0.
    pub attempt: u32,
    /// Retries before this attempt; redirects are not counted.
    pub retries: u32,
    /// Tokens of the answer that reached the caller.
    pub reached_caller_tokens: u64,
    /// Whether the head of an answer reached the caller.
    pub reached_caller: bool,
    /// When the one who refused says to return, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try the next candidate after a pause.
    Retry {
        /// Reason to count.
        reason: RetryReason,
        /// Pause before the next attempt.
        delay: Duration,
    },
    /// Answer the caller now.
    GiveUp(Refusal),
}

/// Decides on retries for one router.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    pub(super) budget: RetryBudget,
}

impl RetryPolicy {
    /// Makes a policy whose budgets are full.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, budget: RetryBudget::new(settings.budget) }
    }

    /// Changes the settings; what is left of budgets is kept.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.budget.set_settings(settings.budget);
    }

    /// Notes a request, once, before its first attempt.
    pub fn on_request(&mut self, now: Duration, workspace: &Name) {
        self.budget.on_request(now, workspace);
    }

    /// Returns the number of workspaces whose budget is held.
    pub fn workspaces(&self) -> usize {
        self.budget.len()
    }

    /// Decides what follows a failed attempt; a retry is paid for by this call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand_pcg::Pcg32;
    /// use teaselworks_policy::retry::budget::BudgetSettings;
    /// use teaselworks_policy::retry::{
    ///     Continuation, Failure, RetryDecision, RetryPolicy, RetrySettings,
    /// };
    /// use teaselworks_policy::verdict::{RefusalReason, Verdict};
    ///
    /// let budget = BudgetSettings { ratio: 0.1, workspace_burst: 10.0, overall_burst: 100.0 };
    /// let mut policy = RetryPolicy::new(RetrySettings { budget, attempts: 4 });
    /// let booking = Failure {
    ///     workspace: "weddings".into(),
    ///     verdict: Verdict::MayHaveRun,
    ///     earlier_verdict: Verdict::NotRun,
    ///     reason: RefusalReason::UpstreamFailed,
    ///     idempotent: false,
    ///     continuation: Continuation::Never,
    ///     deadline_left: Duration::from_secs(5),
    ///     attempt: 0,
    ///     retries: 0,
    ///     reached_caller_tokens: 0,
    ///     reached_caller: false,
    ///     retry_after_ms: None,
    /// };
    /// let decision = policy.decide(Duration::ZERO, &booking, &mut Pcg32::new(1, 1));
    /// assert!(matches!(decision, RetryDecision::GiveUp(_)));
    /// ```
    pub fn decide(
        &mut self,
        now: Duration,
        failure: &Failure,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let Some(reason) = retry_reason(failure) else {
            return give_up(failure, failure.reason, "The request is not tried again.", rng);
        };
        if self.is_last(failure, reason) {
            return give_up(failure, failure.reason, "Every attempt at the request failed.", rng);
        }
        let delay = pause(reason, failure.retries, rng);
        if delay.saturating_add(LEAST_TIME) > failure.deadline_left {
            return give_up(failure, RefusalReason::Deadline, "No time is left for a retry.", rng);
        }
        if !reason.is_redirect() && !self.budget.try_take(now, &failure.workspace) {
            let detail = "The retry budget is spent.";
            return give_up(failure, RefusalReason::RetryBudget, detail, rng);
        }
        RetryDecision::Retry { reason, delay }
    }

    pub(super) fn is_last(&self, failure: &Failure, reason: RetryReason) -> bool {
        let most = self.settings.attempts.saturating_add(MOST_REDIRECTS);
        let retried_enough = failure.retries.saturating_add(1) >= self.settings.attempts;
        failure.attempt.saturating_add(1) >= most || (!reason.is_redirect() && retried_enough)
    }
}

/// Returns the reason to try again, or `None` where that is unsafe or useless.
pub(super) fn retry_reason(failure: &Failure) -> Option<RetryReason> {
    if !retry_is_safe(failure) {
        return None;
    }
    let never_reached = failure.verdict == Verdict::NotRun;
    let reason = match reason_of(failure.reason)? {
        // An owner that was never reached is replaced soon: asking anew costs no upstream work.
        RetryReason::OwnerLost if never_reached => RetryReason::OwnerMoved,
        reason => reason,
    };
    if !failure.reached_caller {
        return Some(reason);
    }
    match failure.continuation {
        Continuation::Never => None,
        Continuation::Restart => (failure.reached_caller_tokens == 0).then_some(reason),
        // The attempt before this one broke off and was counted; being turned away since is not
        // another break.
        _ if reason.is_redirect() => Some(reason),
        Continuation::Regenerate => Some(RetryReason::Regenerated),
        Continuation::Resume => Some(RetryReason::Resumed),
    }
}

/// Returns the reason to try again after a refusal, or `None` where another attempt cannot help.
pub(crate) fn reason_of(refusal: RefusalReason) -> Option<RetryReason> {
    let reason = match refusal {
        RefusalReason::OverBound
        | RefusalReason::NotHeld
        | RefusalReason::PerhapsHeld
        | RefusalReason::QueueFull
        | RefusalReason::Deadline
        | RefusalReason::CircuitOpen
        | RefusalReason::Stopping
        | RefusalReason::Overloaded
        | RefusalReason::OtherRole => RetryReason::NextCandidate,
        RefusalReason::NotOwner | RefusalReason::NoReplica => RetryReason::OwnerMoved,
        RefusalReason::OwnerUnreachable => RetryReason::OwnerLost,
        RefusalReason::UpstreamUnreachable => RetryReason::UpstreamUnreachable,
        RefusalReason::UpstreamFailed => RetryReason::UpstreamFailed,
        RefusalReason::Unauthorized
        | RefusalReason::Malformed
        | RefusalReason::TooLarge
        | RefusalReason::BodyTimeout
        | RefusalReason::UnknownTarget
        | RefusalReason::NoConfiguration
        | RefusalReason::RequestRate
        | RefusalReason::TokenRate
        | RefusalReason::Concurrency
        | RefusalReason::Budget
        | RefusalReason::RetryBudget
        | RefusalReason::PlatformUnavailable
        | RefusalReason::DuplicateCall => return None,
    };
    Some(reason)
}

pub(super) fn retry_is_safe(failure: &Failure) -> bool {
    failure.verdict.max(failure.earlier_verdict).retry_is_safe(failure.idempotent)
}

/// Draws the pause before the next attempt: none after a redirect, else up to a doubled limit.
pub(super) fn pause(reason: RetryReason, retries: u32, rng: &mut impl Rng) -> Duration {
    if reason.is_redirect() {
        return Duration::ZERO;
    }
    longest_pause(retries).mul_f64(rng.random_range(0.0..=1.0))
}

pub(super) fn longest_pause(retries: u32) -> Duration {
    FIRST_PAUSE.saturating_mul(1 << retries.min(16)).min(LONGEST_PAUSE)
}

/// Makes the final answer; it names a time to return only where a repeat by the caller is safe.
fn give_up(
    failure: &Failure,
    reason: RefusalReason,
    detail: &str,
    rng: &mut impl Rng,
) -> RetryDecision {
    let verdict = failure.verdict.max(failure.earlier_verdict);
    let mut retry_after_ms = None;
    if retry_is_safe(failure) && returning_may_help(reason) {
        let stated = failure.retry_after_ms;
        retry_after_ms = stated.or_else(|| Some(spread_ms(USUAL_RETURN, 1.0, rng)));
    }
    let detail = format!("{detail} Last failure: {}.", failure.reason);
    RetryDecision::GiveUp(Refusal { reason, verdict, retry_after_ms, detail })
}

/// Tells whether the same request may succeed later without being changed.
///
/// ```
/// use teaselworks_policy::retry::returning_may_help;
/// use teaselworks_policy::verdict::RefusalReason;
///
/// assert!(returning_may_help(RefusalReason::QueueFull));
/// assert!(!returning_may_help(RefusalReason::TooLarge));
/// ```
pub fn returning_may_help(reason: RefusalReason) -> bool {
    !matches!(
        reason,
        RefusalReason::Unauthorized
            | RefusalReason::Malformed
            | RefusalReason::TooLarge
            | RefusalReason::UnknownTarget
    )
}
