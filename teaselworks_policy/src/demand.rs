//! Slot time that a request is expected to take of a replica.

use std::time::Duration;

/// What one request is expected to take of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Time for which the request holds a slot.
    pub slot_time: Duration,
}
