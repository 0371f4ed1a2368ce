//! Why a patch was not accepted, in answers and logs.

use std::fmt;

use teaselworks_config::configuration::history::PatchRecord;
use teaselworks_config::fault::{Fault, Faults};

/// Why a patch was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum PatchError {
    /// Others were accepted since the submitter looked.
    Stale {
        /// Number in force.
        current: u64,
        /// What was accepted since, newest first, the newest fifty.
        changed: Vec<PatchRecord>,
    },
    /// The patch or the whole result is at fault.
    Invalid(Faults),
    /// The patch may have been accepted; resubmit it under the same identifier.
    UnknownOutcome,
    /// The platform does not answer; the patch was not accepted.
    PlatformUnavailable(String),
    /// The platform is behind the fleet; the patch was not accepted.
    PlatformBehind,
}

impl PatchError {
    /// Returns the name in answers and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            PatchError::Stale { .. } => "stale",
            PatchError::Invalid(_) => "invalid",
            PatchError::UnknownOutcome => "unknown_outcome",
            PatchError::PlatformUnavailable(_) => "platform_unavailable",
            PatchError::PlatformBehind => "platform_behind",
        }
    }
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatchError::Stale { current, .. } => write!(f, "stale: version {current} is in force"),
            PatchError::Invalid(faults) => write!(f, "invalid: {faults}"),
            PatchError::UnknownOutcome => f.write_str("the outcome is not known"),
            PatchError::PlatformUnavailable(detail) => write!(f, "platform unavailable: {detail}"),
            PatchError::PlatformBehind => f.write_str("the platform is behind the fleet"),
        }
    }
}

/// Returns the refusal of a submission whose own field is at fault.
pub(super) fn invalid(field: &str, problem: &str) -> PatchError {
    let fault = Fault {
        file: String::new(),
        line: 0,
        column: 0,
        field: field.into(),
        problem: problem.into(),
    };
    PatchError::Invalid(Faults(vec![fault]))
}
