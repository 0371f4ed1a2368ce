//! Retries: whether another attempt is safe, in time and within budget, and which upstreams to
//! leave alone.

pub mod breaker;
pub mod budget;
pub mod decision;
pub mod doubt;

pub use decision::{
    Continuation, Failure, RetryDecision, RetryPolicy, RetryReason, RetrySettings,
    returning_may_help,
};
pub use doubt::{DoubtDecision, DoubtedAttempt, WaitReason};
