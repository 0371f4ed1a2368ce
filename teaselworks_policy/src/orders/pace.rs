//! How often the holder looks at the engines.

use std::time::Duration;

use super::Rollout;
use super::plan::{Engine, ReleaseState, is_loading};

/// Time between two looks at whatever engine while orders are given or carried out.
const ACTIVE_TIME_PER_LOOK: Duration = Duration::from_millis(10);
/// The same while nothing is to be done: at about 600 bytes a look, 4 KB a second at one router.
const QUIET_TIME_PER_LOOK: Duration = Duration::from_millis(150);
/// Least time between two rounds while nothing is to be done.
const QUIET_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the time from one round of looks at so many engines to the next.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_policy::orders::round_interval;
///
/// assert_eq!(round_interval(800, true), Duration::from_secs(8));
/// assert_eq!(round_interval(800, false), Duration::from_secs(120));
/// assert_eq!(round_interval(18, false), Duration::from_secs(5));
/// ```
pub fn round_interval(engines: usize, is_active: bool) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    match is_active {
        true => ACTIVE_TIME_PER_LOOK.saturating_mul(engines),
        false => QUIET_TIME_PER_LOOK.saturating_mul(engines).max(QUIET_INTERVAL),
    }
}

impl Rollout {
    /// Tells whether engines carry orders out, or are being released, so that the next look may
    /// show what to do next.
    ///
    /// An engine that is out of reach, or waits until others serve again, is not reason enough: of
    /// hundreds one always is, and the holder would look at all of them without pause.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::orders::Rollout;
    ///
    /// assert!(!Rollout::new(Duration::ZERO).is_active(Duration::ZERO));
    /// ```
    pub fn is_active(&self, now: Duration) -> bool {
        let is_changing =
            |engine: &Engine| is_loading(engine, now) || engine.release != ReleaseState::Serving;
        self.engines.values().any(|engine| engine.reachable && is_changing(engine))
    }
}
