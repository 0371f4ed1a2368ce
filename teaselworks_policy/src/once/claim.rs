//! What a record found under an idempotency key means for the request at hand.

/// The record of a call, as far as the decision needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenRecord<'a> {
    /// Who wrote the record: unlike any other writer and any other try of the same one.
    pub claim: &'a str,
    /// Digest of the request it was written for.
    pub fingerprint: &'a str,
    /// Whether the outcome is known.
    pub finished: bool,
}

/// What to do with the request at hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// The record is this very try's own: the call may be sent.
    Proceed,
    /// Return the kept outcome.
    Repeat,
    /// Another try sent the call or will; its outcome is not known.
    InProgress,
    /// The key belongs to another request.
    KeyReused,
}

/// Decides by the record that was found when the own one could not be created.
///
/// Only the exact claim allows the send. A weaker test, such as the same caller or the same router,
/// would let a retry that crossed the first try take that one's record for its own, and the service
/// would run the call twice.
///
/// ```
/// use teaselworks_policy::once::claim::{ClaimStep, SeenRecord, claim_step};
///
/// let seen = SeenRecord { claim: "a-1-1.0/7", fingerprint: "f", finished: false };
/// assert_eq!(claim_step("a-1-1.0/7", "f", &seen), ClaimStep::Proceed);
/// assert_eq!(claim_step("a-1-1.1/9", "f", &seen), ClaimStep::InProgress);
/// ```
pub fn claim_step(own_claim: &str, own_fingerprint: &str, seen: &SeenRecord<'_>) -> ClaimStep {
    if seen.fingerprint != own_fingerprint {
        return ClaimStep::KeyReused;
    }
    if seen.finished {
        return ClaimStep::Repeat;
    }
    if seen.claim == own_claim {
        return ClaimStep::Proceed;
    }
    ClaimStep::InProgress
}
