//! The wall clock in milliseconds.

use std::time::UNIX_EPOCH;

use teaselworks_policy::clock::Clock;

/// Returns the wall clock in milliseconds since 1970; 0 for a clock set before that.
pub(super) fn wall_ms(clock: &dyn Clock) -> u64 {
    clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
