//! The retry budget of the fleet, of which each router uses its share without coordination.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Share of the fleet's budget that is used. The rest covers changes in the number of routers that
/// are noticed late, and requests that are counted in a different window than their retries.
const USABLE_SHARE: f64 = 0.7;

/// Bound on the retries to one service, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request of a window.
    pub ratio: f64,
    /// Retries that the whole fleet may make per window in addition, however few requests there
    /// are.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Clock readings of the requests and retries to one service in the current window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// This router's share of the retry budget, by service.
///
/// The budget keeps retries from multiplying the load that makes replicas fail. The bound applies
/// to the sum over all routers; each router therefore uses the ratio of its own requests and an
/// equal share of the slack.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    by_service: HashMap<Arc<str>, Window>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(settings: BudgetSettings) -> Self {
        Self { settings, by_service: HashMap::new() }
    }

    /// Replaces the bound.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, now: Duration, service: &Arc<str>) {
        let window_length = self.settings.window;
        let window = self.by_service.entry(service.clone()).or_default();
        drop_expired(&mut window.requests, now, window_length);
        window.requests.push_back(now);
    }

    /// Takes one retry from this router's share of a service's budget; returns false, and takes
    /// nothing, where the share is spent. `routers` is the number of routers that share the budget.
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
        let BudgetSettings { ratio, slack, window: window_length } = self.settings;
        let window = self.by_service.entry(service.clone()).or_default();
        drop_expired(&mut window.requests, now, window_length);
        drop_expired(&mut window.retries, now, window_length);
        let ratio_allowance = ratio * window.requests.len() as f64;
        let slack_allowance = slack / f64::from(routers.max(1));
        if window.retries.len() as f64 + 1.0 > USABLE_SHARE * (ratio_allowance + slack_allowance) {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

/// Drops the times that are longer ago than the window.
fn drop_expired(times: &mut VecDeque<Duration>, now: Duration, window_length: Duration) {
    while times.front().is_some_and(|time| now.saturating_sub(*time) > window_length) {
        times.pop_front();
    }
}
