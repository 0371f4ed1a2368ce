//! Estimates how long queued work waits, and when a refused caller should return.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Shortest stretch of waiting work from which a drain rate is taken.
const SHORTEST_BUSY: Duration = Duration::from_millis(50);
/// Time over which refused and accepted requests are compared.
const SPREAD_MEMORY: Duration = Duration::from_secs(5);
/// Time over which a measurement of how long answers take is forgotten.
const RUN_MEMORY: Duration = Duration::from_secs(30);
/// Earliest that a refused caller is told to return.
const EARLIEST_RETURN: Duration = Duration::from_millis(100);
/// Latest that a refused caller is told to return.
const LATEST_RETURN: Duration = Duration::from_secs(30);

/// Work that leaves a queue a second, measured only while work waits.
///
/// What goes wrong without the restriction: an idle queue passes requests on the instant they
/// arrive, which measures how fast callers ask and not how fast the upstream takes work. The
/// estimate would be far too high just when a surge begins, and every request of the surge would
/// be queued past its deadline. Stretches of waiting shorter than [`SHORTEST_BUSY`] are therefore
/// not counted.
#[derive(Clone, Debug)]
pub struct DrainRate {
    memory: Duration,
    busy_since: Option<Duration>,
    open_tokens: u64,
    tokens: f64,
    seconds: f64,
}

impl DrainRate {
    /// Makes a rate that forgets a measurement over `memory`.
    pub fn new(memory: Duration) -> Self {
        Self { memory, busy_since: None, open_tokens: 0, tokens: 0.0, seconds: 0.0 }
    }

    /// Notes that work begins to wait.
    pub fn start(&mut self, now: Duration) {
        self.busy_since.get_or_insert(now);
    }

    /// Notes that `work_tokens` left the queue.
    pub fn record(&mut self, now: Duration, work_tokens: u64) {
        self.open_tokens = self.open_tokens.saturating_add(work_tokens);
        self.fold(now);
    }

    /// Notes that nothing waits any more.
    pub fn stop(&mut self, now: Duration) {
        self.fold(now);
        self.busy_since = None;
        self.open_tokens = 0;
    }

    /// Returns the time in which `work_tokens` leave the queue, or `None` before any measurement.
    ///
    /// One request, of which `request_tokens` is the usual work, is always taken to have left.
    /// Without that a queue that is new, as after each change of owner, would have a rate of zero
    /// from its first measurement, 50 ms, to the first end of an answer, and refuse all that comes
    /// meanwhile for deadlines far off. Time without an end still lowers the rate.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::admission::deadline::DrainRate;
    ///
    /// let mut rate = DrainRate::new(Duration::from_secs(2));
    /// rate.start(Duration::ZERO);
    /// rate.record(Duration::from_secs(1), 500);
    /// assert_eq!(rate.wait(Duration::from_secs(1), 1_000, 100), Some(Duration::from_secs(2)));
    /// ```
    pub fn wait(&self, now: Duration, work_tokens: u64, request_tokens: u64) -> Option<Duration> {
        let mut current = self.clone();
        current.fold(now);
        if current.seconds == 0.0 {
            return None;
        }
        let left_tokens = current.tokens.max(request_tokens.max(1) as f64);
        let seconds = work_tokens as f64 * current.seconds / left_tokens;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Moves the open stretch into the decayed sums once it is long enough.
    ///
    /// A stretch in which nothing left the queue counts too: a frozen upstream must lower the
    /// rate, or requests would go on waiting for it until their deadlines.
    fn fold(&mut self, now: Duration) {
        let Some(since) = self.busy_since else { return };
        let elapsed = now.saturating_sub(since);
        if elapsed < SHORTEST_BUSY {
            return;
        }
        let keep = (-elapsed.as_secs_f64() / self.memory.as_secs_f64()).exp();
        self.tokens = self.tokens * keep + self.open_tokens as f64;
        self.seconds = self.seconds * keep + elapsed.as_secs_f64();
        self.open_tokens = 0;
        self.busy_since = Some(now);
    }
}

/// Time that an upstream takes for an answer, by the tokens expected of it.
///
/// Measured for each token that was expected, not generated: callers state the longest answer that
/// they take, and most answers end far before it. By generated tokens most requests would seem to
/// take minutes, and be refused although they are answered in time.
#[derive(Clone, Debug, Default)]
pub struct RunTime {
    updated: Duration,
    tokens: f64,
    seconds: f64,
}

impl RunTime {
    /// Notes an answer of `expected_tokens` that took `elapsed` and is whole.
    pub fn record(&mut self, now: Duration, expected_tokens: u64, elapsed: Duration) {
        let since = now.saturating_sub(self.updated);
        let keep = (-since.as_secs_f64() / RUN_MEMORY.as_secs_f64()).exp();
        self.tokens = self.tokens * keep + expected_tokens.max(1) as f64;
        self.seconds = self.seconds * keep + elapsed.as_secs_f64();
        self.updated = now;
    }

    /// Returns the time that an answer of `expected_tokens` takes; zero before any measurement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::admission::deadline::RunTime;
    ///
    /// let mut run_time = RunTime::default();
    /// run_time.record(Duration::from_secs(9), 1_000, Duration::from_secs(4));
    /// assert_eq!(run_time.expected(500), Duration::from_secs(2));
    /// ```
    pub fn expected(&self, expected_tokens: u64) -> Duration {
        if self.tokens == 0.0 {
            return Duration::ZERO;
        }
        let seconds = expected_tokens.max(1) as f64 * self.seconds / self.tokens;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Chooses when refused callers return, so that they come back at a rate that can be served.
///
/// What goes wrong without it: callers refused in one instant return in one instant, are refused
/// again, and the upstream idles in between; the refusals show as spikes at a fixed period. The
/// return times are drawn from a stretch that grows with the ratio of refused to accepted work.
#[derive(Clone, Debug, Default)]
pub struct ReturnSpread {
    updated: Duration,
    accepted: f64,
    refused: f64,
}

impl ReturnSpread {
    /// Notes an accepted request.
    pub fn accept(&mut self, now: Duration) {
        self.decay(now);
        self.accepted += 1.0;
    }

    /// Notes a refused request and returns when its caller should return, in milliseconds.
    ///
    /// `wait` is the time until room is expected.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand_pcg::Pcg32;
    /// use teaselworks_policy::admission::deadline::ReturnSpread;
    ///
    /// let mut spread = ReturnSpread::default();
    /// let wait = Duration::from_secs(1);
    /// let after_ms = spread.refuse(Duration::ZERO, wait, &mut Pcg32::new(1, 1));
    /// assert!((1_000..=3_000).contains(&after_ms));
    /// ```
    pub fn refuse(&mut self, now: Duration, wait: Duration, rng: &mut impl Rng) -> u64 {
        self.decay(now);
        self.refused += 1.0;
        let excess = 1.0 + self.refused / self.accepted.max(1.0);
        spread_ms(wait, excess, rng)
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let keep = (-elapsed / SPREAD_MEMORY.as_secs_f64()).exp();
        self.accepted *= keep;
        self.refused *= keep;
        self.updated = now;
    }
}

/// Draws a return time between `wait` and `wait` times one more than `excess`, in milliseconds.
///
/// ```
/// use std::time::Duration;
/// use rand_pcg::Pcg32;
/// use teaselworks_policy::admission::deadline::spread_ms;
///
/// let after_ms = spread_ms(Duration::from_secs(2), 1.0, &mut Pcg32::new(1, 1));
/// assert!((2_000..=4_000).contains(&after_ms));
/// ```
pub fn spread_ms(wait: Duration, excess: f64, rng: &mut impl Rng) -> u64 {
    let earliest_s = wait.clamp(EARLIEST_RETURN, LATEST_RETURN / 2).as_secs_f64();
    let latest_s = (earliest_s * (1.0 + excess)).min(LATEST_RETURN.as_secs_f64());
    let drawn_s = rng.random_range(earliest_s..=latest_s);
    (drawn_s * 1_000.0).round() as u64
}
