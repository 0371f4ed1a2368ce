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
    /// Tokens of the shared parts of requests that reached an engine.
    pub shared_tokens: u64,
    /// Sum over the requests of the busiest engine's load, in hundredths of the mean load.
    pub busiest_percent: u64,
}

impl Totals {
    /// Returns the part of the shared tokens that an engine kept, from 0 to 1.
    ///
    /// ```
    /// use teaselworks_model::Totals;
    ///
    /// let totals = Totals { shared_tokens: 10, read_tokens: 2, ..Totals::default() };
    /// assert_eq!(totals.reuse(), 0.8);
    /// ```
    pub fn reuse(&self) -> f64 {
        let missed = self.read_tokens + self.copied_tokens;
        1.0 - missed as f64 / self.shared_tokens.max(1) as f64
    }

    /// Returns the load of the busiest engine as a multiple of the mean, as requests met it.
    ///
    /// ```
    /// use teaselworks_model::Totals;
    ///
    /// let totals = Totals { reached: 2, busiest_percent: 300, ..Totals::default() };
    /// assert_eq!(totals.busiest_to_mean(), 1.5);
    /// ```
    pub fn busiest_to_mean(&self) -> f64 {
        self.busiest_percent as f64 / 100.0 / self.reached.max(1) as f64
    }

    /// Returns the part of the requests that met more than the bound on load, from 0 to 1.
    ///
    /// ```
    /// use teaselworks_model::Totals;
    ///
    /// let totals = Totals { reached: 100, beyond_bound: 3, ..Totals::default() };
    /// assert_eq!(totals.beyond_share(), 0.03);
    /// ```
    pub fn beyond_share(&self) -> f64 {
        self.beyond_bound as f64 / self.reached.max(1) as f64
    }
}

/// The result of one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Windows by their start in seconds.
    pub windows: BTreeMap<u64, Window>,
    /// All windows together, by kind of request.
    pub kinds: BTreeMap<String, Window>,
    /// Times to the first token of those that were answered, in milliseconds, by kind of request.
    pub waits_ms: BTreeMap<String, Vec<u32>>,
    /// Sums.
    pub totals: Totals,
}

impl Outcome {
    /// Returns all windows together.
    pub fn all(&self) -> Window {
        let mut all = Window::default();
        for window in self.windows.values() {
            all.asked += window.asked;
            all.in_time += window.in_time;
            all.late += window.late;
            all.refused += window.refused;
            all.failed += window.failed;
        }
        all
    }

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
