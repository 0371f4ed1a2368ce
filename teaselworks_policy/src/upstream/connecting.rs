//! Timeout for opening a connection to a replica.
//!
//! A replica whose host has failed or cannot be reached does not respond at all. A request that
//! waits for too long for a connection to it is late at every other replica, so the timeout is
//! derived from the time that connections usually take.

use std::time::Duration;

/// Timeout as a multiple of the average time to open a connection.
const MEAN_MULTIPLE: u32 = 20;
/// Minimum timeout: a router that is limited to a fraction of a CPU core may not be scheduled for
/// this long.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum timeout: shorter than the time after which the first packet of a connection is
/// retransmitted, since another replica can be reached sooner than that.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);
/// Weight of the latest connection in the exponential moving average.
const LATEST_WEIGHT: f64 = 0.1;
/// Reply margin as a multiple of the average time to open a connection, which takes one round trip
/// and this router's time to notice.
const REPLY_MARGIN_MULTIPLE: u32 = 2;
/// Minimum reply margin. An upstream and a router that share CPU cores with others are often some
/// milliseconds late.
const MIN_REPLY_MARGIN: Duration = Duration::from_millis(20);
/// Maximum reply margin, which bounds how long callers are held beyond their deadline.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(50);
/// Consecutive timeouts that indicate that the router's own network link is slow.
const SLOW_LINK_TIMEOUTS: u32 = 4;

/// Average time that one router takes to open a connection, and the timeout derived from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    /// Exponential moving average; `None` before the first connection.
    mean: Option<Duration>,
    consecutive_timeouts: u32,
}

impl ConnectTimes {
    /// Records that a connection was opened and how long that took.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ConnectTimes;
    ///
    /// let mut times = ConnectTimes::default();
    /// let initial = times.timeout();
    /// times.on_opened(Duration::from_millis(2));
    /// assert!(times.timeout() < initial);
    /// ```
    pub fn on_opened(&mut self, took: Duration) {
        let mean = self.mean.unwrap_or(took).as_secs_f64();
        let mean = mean + LATEST_WEIGHT * (took.as_secs_f64() - mean);
        self.mean = Some(Duration::from_secs_f64(mean));
        self.consecutive_timeouts = 0;
    }

    /// Records that a connection was not opened within the timeout.
    pub fn on_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }

    /// Returns the time to allow for the answer of an upstream to arrive, from when the upstream sends
    /// it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ConnectTimes;
    ///
    /// let mut times = ConnectTimes::default();
    /// assert_eq!(times.reply_margin(), Duration::from_millis(50));
    /// times.on_opened(Duration::from_millis(15));
    /// assert_eq!(times.reply_margin(), Duration::from_millis(30));
    /// ```
    pub fn reply_margin(&self) -> Duration {
        self.mean.map_or(MAX_REPLY_MARGIN, |mean| {
            (mean * REPLY_MARGIN_MULTIPLE).clamp(MIN_REPLY_MARGIN, MAX_REPLY_MARGIN)
        })
    }

    /// Returns the timeout for opening a connection.
    ///
    /// It is the maximum until a connection has been opened, and after several timeouts in a row.
    pub fn timeout(&self) -> Duration {
        if self.consecutive_timeouts >= SLOW_LINK_TIMEOUTS {
            return MAX_TIMEOUT;
        }
        self.mean.map_or(MAX_TIMEOUT, |mean| (mean * MEAN_MULTIPLE).clamp(MIN_TIMEOUT, MAX_TIMEOUT))
    }
}
