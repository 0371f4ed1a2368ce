//! What callers got.

use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(2);

/// What callers got that began to ask in one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// Callers.
    pub asked: u32,
    /// Those whose first token came in time.
    pub in_time: u32,
    /// Those that were answered later.
    pub late: u32,
    /// Those that were refused for good.
    pub refused: u32,
    /// Those that left unanswered, or whose answer broke off.
    pub failed: u32,
}

impl Window {
    /// Returns the part of the callers that were answered in time, from 0 to 1.
    ///
    /// ```
    /// use teaselworks_model::Window;
    ///
    /// let window = Window { asked: 4, in_time: 3, ..Window::default() };
    /// assert_eq!(window.in_time_share(), 0.75);
    /// ```
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Sums over all engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Tokens of shared parts that an engine read since it did not keep them.
    pub read_tokens: u64,
    /// Tokens of shared parts that were copied between engines.
    pub copied_tokens: u64,
    /// Requests that reached an engine.
    pub reached: u64,
    /// Those that met twice the mean load of all engines and three requests more.
    pub beyond_bound: u64,
}

/// The result of one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Windows by their start in seconds.
    pub windows: BTreeMap<u64, Window>,
    /// All windows together, by kind of request.
    pub kinds: BTreeMap<String, Window>,
    /// Sums.
    pub totals: Totals,
}

impl Outcome {
    /// Counts something of a caller in its window and its kind.
    pub(crate) fn count(
        &mut self,
        asked_at: Duration,
        kind: &str,
        counter: impl Fn(&mut Window) -> &mut u32,
    ) {
        let number = asked_at.as_secs() / WINDOW.as_secs();
        *counter(self.windows.entry(number * WINDOW.as_secs()).or_default()) += 1;
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), Window::default());
        }
        if let Some(window) = self.kinds.get_mut(kind) {
            *counter(window) += 1;
        }
    }
}
