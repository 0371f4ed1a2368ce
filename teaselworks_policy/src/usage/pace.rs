//! How often routers contact each other and the platform about use.

use std::time::Duration;

/// Shortest time between two contacts of a source with the owners of slots.
const SHORTEST_CONTACT: Duration = Duration::from_secs(2);

/// Longest time between two contacts of a source with the owners of slots.
const LONGEST_CONTACT: Duration = Duration::from_secs(60);

/// Time between contacts for each router in the fleet.
const CONTACT_PER_ROUTER: Duration = Duration::from_millis(100);

/// Shortest time between two writes of one slot; with [`SHARDS`](super::SHARDS) it bounds the
/// fleet's writes at 128 / 8 = 16 a second, whatever the traffic.
const SHORTEST_WRITE: Duration = Duration::from_secs(8);

/// Longest time between two writes of one slot.
const LONGEST_WRITE: Duration = Duration::from_secs(30);

/// Time between writes of one slot for each router in the fleet.
const WRITE_PER_ROUTER: Duration = Duration::from_millis(75);

/// First wait before an unanswered contact is repeated; it doubles from there.
pub const FIRST_RETRY: Duration = Duration::from_secs(1);

/// Longest silence of a source that holds batches.
pub const KEEPALIVE: Duration = Duration::from_secs(4);

/// Time between two messages that only tell what attempts in progress have used.
pub const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the time between two contacts of a source with the owners of slots.
///
/// A source has up to as many owners to contact as there are routers, so the time grows with the
/// fleet: each router's messages a second stay the same.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::usage::contact_interval;
///
/// assert_eq!(contact_interval(8), Duration::from_secs(2));
/// assert_eq!(contact_interval(410), Duration::from_secs(41));
/// ```
pub fn contact_interval(routers: usize) -> Duration {
    times(CONTACT_PER_ROUTER, routers).clamp(SHORTEST_CONTACT, LONGEST_CONTACT)
}

/// Returns the time between two writes of one slot.
///
/// Each write replaces a whole value, tens of kilobytes in a large fleet, where sources come by
/// more rarely too.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::usage::write_interval;
///
/// assert_eq!(write_interval(8), Duration::from_secs(8));
/// assert_eq!(write_interval(410), Duration::from_secs(30));
/// ```
pub fn write_interval(routers: usize) -> Duration {
    times(WRITE_PER_ROUTER, routers).clamp(SHORTEST_WRITE, LONGEST_WRITE)
}

fn times(duration: Duration, routers: usize) -> Duration {
    duration.saturating_mul(u32::try_from(routers).unwrap_or(u32::MAX))
}
