//! How long a record is sure to be kept, and until when its call may be sent.

use std::time::Duration;

/// Part of the retention for which one lease takes new records, as a divisor.
const LEASE_SHARE: u32 = 8;
/// Part of the retention within which a call must be sent, as a divisor.
const SEND_SHARE: u32 = 2;

/// A reading of both clocks.
///
/// The monotonic clock stands still while a VM is suspended, the wall clock jumps; the longer of
/// the two times is taken, so that neither makes a record look younger than it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// Monotonic clock.
    pub monotonic: Duration,
    /// Wall clock, since 1970.
    pub wall: Duration,
}

impl Reading {
    /// Returns the time from `earlier` to `self`, by the clock that says more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::once::window::Reading;
    ///
    /// let at = |monotonic, wall| Reading {
    ///     monotonic: Duration::from_secs(monotonic),
    ///     wall: Duration::from_secs(wall),
    /// };
    /// assert_eq!(at(2, 100).since(&at(1, 40)), Duration::from_secs(60));
    /// ```
    pub fn since(&self, earlier: &Reading) -> Duration {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        monotonic.max(self.wall.saturating_sub(earlier.wall))
    }
}

/// Times of a lease that removes records once they are too old to matter.
///
/// The lease decides nothing about who may send; it only cleans. Records are bound to it during the
/// first eighth of a retention after its grant, and it lasts for a whole retention more, so every
/// record is kept for at least a retention.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordWindow {
    /// Read before the grant was asked for: the platform's own count began later.
    pub asked_at: Reading,
    /// How long outcomes are kept.
    pub retention: Duration,
}

impl RecordWindow {
    /// Returns the time to live to ask for.
    pub fn ttl(&self) -> Duration {
        self.retention + self.retention / LEASE_SHARE
    }

    /// Tells whether a record bound to the lease now is kept for a whole retention.
    pub fn takes_records(&self, now: &Reading) -> bool {
        now.since(&self.asked_at) <= self.retention / LEASE_SHARE
    }

    /// Tells whether a call may still be sent under a record bound to the lease.
    ///
    /// A sender that was paused for longer than the retention would send a call whose record is
    /// gone, while a repeat found no record and ran it: the service would count two runs. Half a
    /// retention is left for the call to arrive and end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::once::window::{Reading, RecordWindow};
    ///
    /// let at = |seconds| {
    ///     let time = Duration::from_secs(seconds);
    ///     Reading { monotonic: time, wall: time }
    /// };
    /// let window = RecordWindow { asked_at: at(0), retention: Duration::from_secs(80) };
    /// assert_eq!(window.ttl(), Duration::from_secs(90));
    /// assert!(window.takes_records(&at(10)) && !window.takes_records(&at(11)));
    /// assert!(window.may_send(&at(50)) && !window.may_send(&at(51)));
    /// ```
    pub fn may_send(&self, now: &Reading) -> bool {
        now.since(&self.asked_at) <= self.retention / LEASE_SHARE + self.retention / SEND_SHARE
    }
}
