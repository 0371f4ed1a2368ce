//! Intervals that the two sides of the exchange share.

use std::time::Duration;

/// Time between two ticks, and between two messages about an overloaded service.
pub(super) const TICK: Duration = Duration::from_millis(250);
/// Time between two messages about a service that is not overloaded.
const RARE_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which a timer may be early, without which a message would be sent one tick late.
const TIMER_TOLERANCE: Duration = Duration::from_millis(100);

/// Returns the time between two messages.
pub(super) fn interval(is_frequent: bool) -> Duration {
    if is_frequent { TICK } else { RARE_INTERVAL }
}

/// Returns whether a message is due after one that was sent at `sent_at`.
pub(super) fn is_due(now: Duration, sent_at: Option<Duration>, is_frequent: bool) -> bool {
    sent_at.is_none_or(|sent_at| {
        now.saturating_sub(sent_at) + TIMER_TOLERANCE >= interval(is_frequent)
    })
}
