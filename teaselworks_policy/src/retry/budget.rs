//! The retry budget of the fleet, of which each router uses its part without asking the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of the fleet's budget that is used: the rest covers routers that were counted late and
/// requests that are counted in another window than their repeat.
const USED_PART: f64 = 0.7;

/// Bound on repeats, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request of a window.
    pub ratio: f64,
    /// Repeats in a window besides, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Repeats of this router, by service.
///
/// Repeats must not multiply the load that makes replicas fail. As the bound is on the sum over all
/// routers, each takes the ratio of its own requests and an equal part of the rest.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    services: HashMap<Arc<str>, Window>,
}

impl RetryBudget {
    /// Makes an unused budget.
    pub fn new(settings: BudgetSettings) -> Self {
        Self { settings, services: HashMap::new() }
    }

    /// Changes the bound.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, now: Duration, service: &Arc<str>) {
        let length = self.settings.window;
        let window = self.services.entry(service.clone()).or_default();
        trim(&mut window.requests, now, length);
        window.requests.push_back(now);
    }

    /// Takes one repeat; false, and nothing is taken, when this router's part is spent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::retry::{BudgetSettings, RetryBudget};
    ///
    /// let window = Duration::from_secs(10);
    /// let settings = BudgetSettings { ratio: 0.2, slack: 4.0, window };
    /// let mut budget = RetryBudget::new(settings);
    /// assert!(budget.try_take(Duration::ZERO, &"service".into(), 2));
    /// assert!(!budget.try_take(Duration::ZERO, &"service".into(), 2));
    /// ```
    pub fn try_take(&mut self, now: Duration, service: &Arc<str>, routers: u32) -> bool {
        let BudgetSettings { ratio, slack, window: length } = self.settings;
        let window = self.services.entry(service.clone()).or_default();
        trim(&mut window.requests, now, length);
        trim(&mut window.repeats, now, length);
        let earned = ratio * window.requests.len() as f64;
        let share = slack / f64::from(routers.max(1));
        if window.repeats.len() as f64 + 1.0 > USED_PART * (earned + share) {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<Duration>, now: Duration, length: Duration) {
    while times.front().is_some_and(|time| now.saturating_sub(*time) > length) {
        times.pop_front();
    }
}
