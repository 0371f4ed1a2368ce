//! How long a router waits for a connection to a replica.
//!
//! Answers replicas that went dark: what waits for one of them is late everywhere else.

use std::time::Duration;

/// Multiple of the usual time to a connection for which one is waited.
const USUAL_MULTIPLE: u32 = 20;
/// Shortest wait: a router that gets a part of a core may stand still for as long.
const SHORTEST: Duration = Duration::from_millis(100);
/// Longest wait: less than the time after which the first packet is sent again, as another replica
/// is reached sooner.
const LONGEST: Duration = Duration::from_millis(400);
/// Weight of the latest connection in the running mean.
const LATEST_WEIGHT: f64 = 0.1;
/// Attempts in a row without a connection that show a slow link of this router's own.
const FAILURES_OF_LINK: u32 = 4;

/// Times to connections of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    mean: Option<Duration>,
    failed_in_a_row: u32,
}

impl ConnectTimes {
    /// Takes the time to a connection.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ConnectTimes;
    ///
    /// let mut times = ConnectTimes::default();
    /// let longest = times.timeout();
    /// times.on_opened(Duration::from_millis(2));
    /// assert!(times.timeout() < longest);
    /// ```
    pub fn on_opened(&mut self, took: Duration) {
        let mean = self.mean.unwrap_or(took).as_secs_f64();
        let mean = mean + LATEST_WEIGHT * (took.as_secs_f64() - mean);
        self.mean = Some(Duration::from_secs_f64(mean));
        self.failed_in_a_row = 0;
    }

    /// Notes that no connection came in time.
    pub fn on_timeout(&mut self) {
        self.failed_in_a_row = self.failed_in_a_row.saturating_add(1);
    }

    /// Returns the longest wait for a connection.
    pub fn timeout(&self) -> Duration {
        if self.failed_in_a_row >= FAILURES_OF_LINK {
            return LONGEST;
        }
        self.mean.map_or(LONGEST, |mean| (mean * USUAL_MULTIPLE).clamp(SHORTEST, LONGEST))
    }
}
