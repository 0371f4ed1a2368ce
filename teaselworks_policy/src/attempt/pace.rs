//! How fast an answer's tokens come, and when the next one is due.

use std::time::Duration;

/// Deviations above the mean interval up to which a token is not late.
const DEVIATIONS: u32 = 4;
/// Weight of the newest interval in the mean is one to this number.
const MEAN_WEIGHT: u32 = 8;
/// Weight of the newest deviation is one to this number.
const DEVIATION_WEIGHT: u32 = 4;

/// Pace of one answer, estimated as retransmission timers are (RFC 6298): a smoothed interval and
/// its smoothed deviation.
///
/// What goes wrong without it: a link is in doubt for a moment, and an answer whose engine takes
/// seconds for a token is moved, and paid for twice, though nobody has missed anything yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    interval: Option<Duration>,
    deviation: Duration,
    last: Option<Duration>,
}

impl Pace {
    /// Notes that tokens came at `now`.
    pub fn token(&mut self, now: Duration) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let newest = now.saturating_sub(last);
        let Some(interval) = self.interval else {
            self.interval = Some(newest);
            self.deviation = newest / 2;
            return;
        };
        let deviation = interval.abs_diff(newest);
        self.deviation = smoothed(self.deviation, deviation, DEVIATION_WEIGHT);
        self.interval = Some(smoothed(interval, newest, MEAN_WEIGHT));
    }

    /// Begins another attempt: the pause before its first token tells nothing of the pace.
    pub fn restart(&mut self) {
        self.last = None;
    }

    /// Returns the time left until tokens are late; zero once they are, or where no pace is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::attempt::Pace;
    ///
    /// let mut pace = Pace::default();
    /// for second in 0..30 {
    ///     pace.token(Duration::from_secs(second));
    /// }
    /// assert!(pace.until_late(Duration::from_millis(29_400)) > Duration::ZERO);
    /// assert_eq!(pace.until_late(Duration::from_secs(31)), Duration::ZERO);
    /// ```
    pub fn until_late(&self, now: Duration) -> Duration {
        let (Some(last), Some(interval)) = (self.last, self.interval) else {
            return Duration::ZERO;
        };
        let late = last + interval + self.deviation * DEVIATIONS;
        late.saturating_sub(now)
    }
}

fn smoothed(mean: Duration, newest: Duration, weight: u32) -> Duration {
    (mean * (weight - 1) + newest) / weight
}
