//! Results of a simulation: counts of requests by how they ended, and sums over the engines.

use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the time windows for which requests are counted separately.
const WINDOW_LENGTH: Duration = Duration::from_secs(2);

/// Numbers of requests by how they ended.
///
/// A request counts as one, however often its caller retries it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// All requests.
    pub asked: u32,
    /// Answered requests whose first token came within the target latency.
    pub in_time: u32,
    /// Answered requests whose first token came after the target latency.
    pub late: u32,
    /// Requests that were refused and not retried any more.
    pub refused: u32,
    /// Requests whose answer was missing or incomplete at the caller's deadline.
    pub failed: u32,
    /// Requests whose first attempt was refused, however they ended.
    pub refused_first: u32,
}

impl RequestCounts {
    /// Returns the fraction of the requests that were answered in time, from 0 to 1.
    ///
    /// ```
    /// use teaselworks_model::RequestCounts;
    ///
    /// let counts = RequestCounts { asked: 4, in_time: 3, ..RequestCounts::default() };
    /// assert_eq!(counts.in_time_share(), 0.75);
    /// ```
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Sums over all engines and all requests that reached them; a request counts again for every
/// further attempt that reaches an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineTotals {
    /// Tokens of shared prompt parts that an engine read because they were not in its cache.
    pub read_tokens: u64,
    /// Tokens of shared prompt parts that were copied between engines.
    pub copied_tokens: u64,
    /// Number of requests that reached an engine, whether it accepted or rejected them.
    pub reached: u64,
    /// Number of requests that reached an engine with more than twice the mean load of all engines
    /// plus three requests.
    ///
    /// Two is the `load_factor` of the simulated routers. They place requests by a lower bound,
    /// because they use only a part of the load above the mean that `load_factor` allows.
    pub beyond_bound: u64,
    /// Number of times that brittle or cold engines fell over.
    pub falls: u64,
    /// Number of requests that reached cold engines.
    pub cold_arrivals: u64,
    /// Largest number of requests that reached a cold engine within a second.
    pub cold_peak: u64,
    /// Tokens of the shared prompt parts of requests that an engine accepted.
    pub shared_tokens: u64,
    /// Load of the busiest engine in percent of the mean load, summed over the requests that
    /// reached an engine.
    pub busiest_percent_sum: u64,
}

impl EngineTotals {
    /// Returns the fraction of the tokens of shared prompt parts that were in the engine's cache,
    /// from 0 to 1.
    ///
    /// ```
    /// use teaselworks_model::EngineTotals;
    ///
    /// let totals = EngineTotals { shared_tokens: 10, read_tokens: 2, ..EngineTotals::default() };
    /// assert_eq!(totals.reuse_share(), 0.8);
    /// ```
    pub fn reuse_share(&self) -> f64 {
        let missed_tokens = self.read_tokens + self.copied_tokens;
        1.0 - missed_tokens as f64 / self.shared_tokens.max(1) as f64
    }

    /// Returns the load of the busiest engine as a multiple of the mean load, averaged over the
    /// times at which a request reached an engine.
    ///
    /// ```
    /// use teaselworks_model::EngineTotals;
    ///
    /// let totals =
    ///     EngineTotals { reached: 2, busiest_percent_sum: 300, ..EngineTotals::default() };
    /// assert_eq!(totals.busiest_to_mean(), 1.5);
    /// ```
    pub fn busiest_to_mean(&self) -> f64 {
        self.busiest_percent_sum as f64 / 100.0 / self.reached.max(1) as f64
    }

    /// Returns the fraction of the requests that reached an engine with more than twice the mean
    /// load plus three requests, from 0 to 1; see [`EngineTotals::beyond_bound`].
    ///
    /// ```
    /// use teaselworks_model::EngineTotals;
    ///
    /// let totals = EngineTotals { reached: 100, beyond_bound: 3, ..EngineTotals::default() };
    /// assert_eq!(totals.beyond_bound_share(), 0.03);
    /// ```
    pub fn beyond_bound_share(&self) -> f64 {
        self.beyond_bound as f64 / self.reached.max(1) as f64
    }
}

/// Result of one simulation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Counts by time window in which the request was first sent, keyed by the window's start in
    /// seconds.
    pub windows: BTreeMap<u64, RequestCounts>,
    /// Counts over the whole time, by name of the kind of requests.
    pub kinds: BTreeMap<String, RequestCounts>,
    /// Times from the first attempt of each answered request to its first token, in milliseconds,
    /// by name of the kind of requests.
    pub waits_ms: BTreeMap<String, Vec<u32>>,
    /// Sums over all engines.
    pub totals: EngineTotals,
}

impl Outcome {
    /// Returns the counts of all requests.
    pub fn all_requests(&self) -> RequestCounts {
        let mut all = RequestCounts::default();
        for counts in self.windows.values() {
            all.asked += counts.asked;
            all.in_time += counts.in_time;
            all.late += counts.late;
            all.refused += counts.refused;
            all.failed += counts.failed;
        }
        all
    }

    /// Increments a counter for a request of `kind` that was first sent at `first_sent_at`, both
    /// for its time window and for its kind.
    pub(crate) fn count(
        &mut self,
        first_sent_at: Duration,
        kind: &str,
        counter: impl Fn(&mut RequestCounts) -> &mut u32,
    ) {
        let window_index = first_sent_at.as_secs() / WINDOW_LENGTH.as_secs();
        *counter(self.windows.entry(window_index * WINDOW_LENGTH.as_secs()).or_default()) += 1;
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), RequestCounts::default());
        }
        if let Some(counts) = self.kinds.get_mut(kind) {
            *counter(counts) += 1;
        }
    }
}
