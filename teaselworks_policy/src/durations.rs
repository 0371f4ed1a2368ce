//! Estimates of how long the requests of each route take.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::Routes;
use crate::placement::Prompt;

/// Weight of the latest request in the moving averages. Those of the first requests are arithmetic.
const LATEST_WEIGHT: f64 = 0.1;
/// Most durations are shorter than the mean plus this many mean absolute deviations.
const TYPICAL_DEVIATIONS: f64 = 2.0;
/// Time after which the longest durations are forgotten, at the earliest.
const LONGEST_RETENTION: Duration = Duration::from_secs(60);
/// Multiple of the longest duration that is taken as the upper bound for later requests.
const UPPER_BOUND_FACTOR: u32 = 2;
/// Requests that must have ended before the longest duration is used: one in a hundred may take far
/// longer than the rest.
const MIN_REQUESTS: u32 = 100;
/// Work of an output token as a multiple of that of a prompt token. Engines process the tokens of a
/// prompt together, and generate those of the answer one by one.
const OUTPUT_TOKEN_WEIGHT: u64 = 10;

/// Size of a request by the tokens that it states, as a power of two. Requests that state none have
/// the smallest size.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SizeClass(u32);

impl SizeClass {
    /// Returns the size of a request with this prompt.
    ///
    /// The maximum number of output tokens counts, and not the caller's hint, which is often far off.
    ///
    /// ```
    /// use teaselworks_policy::durations::SizeClass;
    /// use teaselworks_policy::placement::Prompt;
    ///
    /// let short = Prompt { input_tokens: 100, output_tokens: 50, ..Prompt::default() };
    /// let long = Prompt { output_tokens: 400, ..short.clone() };
    /// assert!(SizeClass::of(None) < SizeClass::of(Some(&short)));
    /// assert!(SizeClass::of(Some(&short)) < SizeClass::of(Some(&long)));
    /// ```
    pub fn of(prompt: Option<&Prompt>) -> Self {
        let Some(prompt) = prompt else { return Self::default() };
        let output_work = OUTPUT_TOKEN_WEIGHT * u64::from(prompt.output_tokens);
        Self((u64::from(prompt.input_tokens) + output_work + 1).ilog2() + 1)
    }
}

/// Estimate of how long a request of a route takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DurationEstimate {
    /// Time within which most requests end.
    pub typical: Duration,
    /// Time within which even the longest requests are expected to end; `None` until enough
    /// requests of that size or larger have ended.
    pub upper_bound: Option<Duration>,
}

/// Requests that ended within a period.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    longest: Duration,
    request_count: u32,
}

impl Period {
    fn merge(self, other: Period) -> Period {
        Period {
            longest: self.longest.max(other.longest),
            request_count: self.request_count.saturating_add(other.request_count),
        }
    }
}

/// Statistics of the durations of a route's requests of one size.
#[derive(Clone, Copy, Debug)]
struct DurationStats {
    mean_s: f64,
    deviation_s: f64,
    /// Number of requests in the averages.
    request_count: u32,
    current: Period,
    current_began_at: Duration,
    previous: Period,
}

impl DurationStats {
    /// Creates the statistics with a first duration.
    fn new(now: Duration, elapsed: Duration) -> Self {
        let mean_s = elapsed.as_secs_f64();
        Self {
            mean_s,
            // The deviation is not known yet; half the duration stands in for it.
            deviation_s: mean_s / 2.0,
            request_count: 1,
            current: Period::default(),
            current_began_at: now,
            previous: Period::default(),
        }
    }

    fn observe(&mut self, elapsed: Duration) {
        self.request_count = self.request_count.saturating_add(1);
        let weight = LATEST_WEIGHT.max(1.0 / f64::from(self.request_count));
        let elapsed_s = elapsed.as_secs_f64();
        self.deviation_s += weight * ((elapsed_s - self.mean_s).abs() - self.deviation_s);
        self.mean_s += weight * (elapsed_s - self.mean_s);
    }

    /// Ends the current period if it has lasted for [`LONGEST_RETENTION`].
    fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.current_began_at);
        if age < LONGEST_RETENTION {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age < 2 * LONGEST_RETENTION { ended } else { Period::default() };
        self.current_began_at = now;
    }

    /// Returns the requests that ended recently.
    fn recent(&self, now: Duration) -> Period {
        let mut stats = *self;
        stats.advance(now);
        stats.current.merge(stats.previous)
    }

    fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + TYPICAL_DEVIATIONS * self.deviation_s)
    }
}

/// Statistics of request durations, by route and size.
///
/// The longest durations are kept for a time and not for a number of requests: a route with many
/// short requests would otherwise forget its long ones within seconds.
#[derive(Debug, Default)]
pub struct RouteDurations {
    by_route: HashMap<Arc<str>, BTreeMap<SizeClass, DurationStats>>,
}

impl RouteDurations {
    /// Records the time from the arrival of a request to the end of its answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::durations::{RouteDurations, SizeClass};
    ///
    /// let mut durations = RouteDurations::default();
    /// let (now, size) = (Duration::ZERO, SizeClass::default());
    /// assert_eq!(durations.duration_estimate(now, &"route".into(), size), None);
    /// durations.observe(now, &"route".into(), size, Duration::from_secs(1));
    /// let estimate = durations.duration_estimate(now, &"route".into(), size).unwrap();
    /// assert_eq!(estimate.typical, Duration::from_secs(2));
    /// ```
    pub fn observe(&mut self, now: Duration, route: &Arc<str>, size: SizeClass, elapsed: Duration) {
        let sizes = self.by_route.entry(route.clone()).or_default();
        let stats = match sizes.get_mut(&size) {
            Some(stats) => {
                stats.observe(elapsed);
                stats
            }
            None => sizes.entry(size).or_insert(DurationStats::new(now, elapsed)),
        };
        stats.advance(now);
        stats.current = stats.current.merge(Period { longest: elapsed, request_count: 1 });
    }

    /// Returns the estimate for a request of a route; `None` while no request of it has ended.
    ///
    /// Larger requests stand in for those of the size as long as these are few.
    pub fn duration_estimate(
        &self,
        now: Duration,
        route: &Arc<str>,
        size: SizeClass,
    ) -> Option<DurationEstimate> {
        let sizes = self.by_route.get(route)?;
        let next_larger = sizes.range(size..).next();
        let (_, nearest) = next_larger.or_else(|| sizes.range(..size).next_back())?;
        let smaller = sizes.range(..size).map(|(_, stats)| stats.recent(now).longest).max();
        let mut ended = Period { longest: smaller.unwrap_or_default(), request_count: 0 };
        for (_, stats) in sizes.range(size..) {
            ended = ended.merge(stats.recent(now));
            if ended.request_count >= MIN_REQUESTS {
                break;
            }
        }
        let is_known = ended.request_count >= MIN_REQUESTS;
        let upper_bound = is_known.then(|| UPPER_BOUND_FACTOR * ended.longest);
        Some(DurationEstimate { typical: nearest.typical(), upper_bound })
    }

    /// Drops the statistics of routes that are not in `routes`.
    pub fn retain(&mut self, routes: &Routes) {
        self.by_route.retain(|name, _| routes.contains_route(name));
    }
}
