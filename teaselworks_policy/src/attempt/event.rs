//! What arrives about the attempts at a request, and what the entry router does with it.

use std::fmt;

use crate::name::{AttemptId, Name};
use crate::retry::Continuation;
use crate::verdict::{Refusal, RefusalReason, Verdict};

/// What arrives about an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The upstream began to answer.
    Head {
        /// HTTP status of the answer.
        status: u16,
    },
    /// Part of the body.
    Data {
        /// Position of the part in this attempt's body, in bytes.
        offset_bytes: u64,
        /// Length of the part in bytes.
        size_bytes: u64,
        /// Tokens of the whole answer so far, resumed ones and this part's included.
        output_tokens: u64,
    },
    /// This attempt's body is whole.
    Finish {
        /// Length of this attempt's body in bytes.
        size_bytes: u64,
        /// Tokens of the whole answer, resumed ones included; `None` for a plain service.
        output_tokens: Option<u64>,
    },
    /// The attempt was refused or failed, as the owner says.
    Refused(Refusal),
    /// Nothing more will arrive: the link to the owner is gone.
    Lost,
}

/// Why an event was dropped; each reason has a counter of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Dropped {
    /// It belongs to an earlier attempt that was given up.
    Late,
    /// It belongs to another request.
    Crossed,
    /// It arrived before.
    Duplicate,
    /// The request has its final outcome.
    AfterEnd,
}

impl Dropped {
    /// Every reason, in the order of the metrics.
    pub const ALL: [Dropped; 4] =
        [Dropped::Late, Dropped::Crossed, Dropped::Duplicate, Dropped::AfterEnd];

    /// Returns the reason's name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Dropped::Late => "late",
            Dropped::Crossed => "crossed",
            Dropped::Duplicate => "duplicate",
            Dropped::AfterEnd => "after_end",
        }
    }
}

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failed attempt, to be decided on by the retry policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Why it failed.
    pub reason: RefusalReason,
    /// What is known about this attempt.
    pub verdict: Verdict,
    /// Worst verdict of the earlier attempts.
    pub earlier_verdict: Verdict,
    /// When the one who refused says to return, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// One sentence on what happened.
    pub detail: String,
}

/// What the entry router does with an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the head to the caller.
    Head,
    /// Send the part to the caller.
    Forward,
    /// The caller has this part already: a head repeated by a later attempt, or text generated
    /// again.
    Skip,
    /// The answer is whole.
    Finish,
    /// The attempt failed: retry or give up.
    Fail(Fault),
    /// Count and drop the event.
    Drop(Dropped),
}

/// What a request allows when an attempt at it fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Workspace whose budget pays for retries.
    pub workspace: Name,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// How an answer that began can go on.
    pub continuation: Continuation,
}

/// An attempt that follows a failed one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NextAttempt {
    /// Its identity.
    pub attempt: AttemptId,
    /// Tokens after which the engine is to resume; 0: from the start.
    pub resume_tokens: u64,
}
