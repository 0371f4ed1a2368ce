//! Violated guarantees, and the times at which guarantees with a time bound hold.

use std::fmt;
use std::time::Duration;

use super::bounds::RECOVERY_TIME;
use super::record::{FaultSpan, Observations};

/// A violated guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// What was observed.
    pub details: String,
}

impl Violation {
    pub(super) fn new(guarantee: &'static str, details: String) -> Self {
        Self { guarantee, details }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.details)
    }
}

/// Returns whether no unplanned fault was active between two times, or ended less than
/// [`RECOVERY_TIME`] before the first.
pub(super) fn is_undisturbed(observations: &Observations, from: Duration, to: Duration) -> bool {
    let overlaps =
        |span: &FaultSpan| span.from < to && span.to.is_none_or(|end| end + RECOVERY_TIME > from);
    !observations.fault_spans.iter().any(|span| !span.is_planned && overlaps(span))
}
