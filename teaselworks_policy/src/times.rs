//! How long the requests of each route take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::Routes;

/// Weight of the latest answer in running means.
const LATEST_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean within which most times lie.
const MOST_DEVIATIONS: f64 = 2.0;
/// Part of the longest time that is left of it with each shorter one.
const LONGEST_KEPT: f64 = 0.999;
/// Multiple of the longest time below which the next ones surely lie.
const LONGEST_MARGIN: f64 = 2.0;
/// Answers before the longest time means anything: one in a hundred may be far longer than the rest.
const FEWEST_ANSWERS: u32 = 100;

/// How long the requests of a route take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsualTimes {
    /// Time within which most end.
    pub most: Duration,
    /// Time within which all surely end, where enough have ended to tell.
    pub longest: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Times {
    mean_s: f64,
    deviation_s: f64,
    longest_s: f64,
    answers: u32,
}

/// Running means of times, by route.
#[derive(Debug, Default)]
pub struct RouteTimes {
    routes: HashMap<Arc<str>, Times>,
}

impl RouteTimes {
    /// Takes the time from a request to the end of its answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::times::RouteTimes;
    ///
    /// let mut times = RouteTimes::default();
    /// assert_eq!(times.usual(&"route".into()), None);
    /// times.add(&"route".into(), Duration::from_secs(1));
    /// assert_eq!(times.usual(&"route".into()).unwrap().most, Duration::from_secs(2));
    /// ```
    pub fn add(&mut self, route: &Arc<str>, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        let Some(times) = self.routes.get_mut(route) else {
            let deviation_s = elapsed_s / 2.0;
            let first = Times { mean_s: elapsed_s, deviation_s, longest_s: elapsed_s, answers: 1 };
            self.routes.insert(route.clone(), first);
            return;
        };
        times.deviation_s += LATEST_WEIGHT * ((elapsed_s - times.mean_s).abs() - times.deviation_s);
        times.mean_s += LATEST_WEIGHT * (elapsed_s - times.mean_s);
        times.longest_s = elapsed_s.max(LONGEST_KEPT * times.longest_s);
        times.answers = times.answers.saturating_add(1);
    }

    /// Returns how long the requests of a route take, where some have ended.
    pub fn usual(&self, route: &Arc<str>) -> Option<UsualTimes> {
        let Times { mean_s, deviation_s, longest_s, answers } = self.routes.get(route)?;
        let longest = Duration::from_secs_f64(LONGEST_MARGIN * longest_s);
        Some(UsualTimes {
            most: Duration::from_secs_f64(mean_s + MOST_DEVIATIONS * deviation_s),
            longest: (*answers >= FEWEST_ANSWERS).then_some(longest),
        })
    }

    /// Forgets routes that a configuration does not have.
    pub fn retain(&mut self, routes: &Routes) {
        self.routes.retain(|name, _| routes.contains_route(name));
    }
}
