//! The retry budget of the fleet, of which each router uses a part without coordination.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Share of [`BudgetSettings::ratio`] that requests pay for.
///
/// Any window contains retries that were paid for by requests of that window and of the credit
/// lifetime before it. The lifetime follows from this share, so that at a steady rate these retries
/// come to the ratio of the window's requests.
const RATIO_SHARE: f64 = 0.7;
/// Share of [`BudgetSettings::slack`] that the routers divide among them. The rest covers routers
/// whose VM was suspended, and retries that arrive later than they were decided on.
const SLACK_SHARE: f64 = 0.7;
/// Time from a decision on a retry to its arrival at a replica.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_secs(1);
/// Tolerance for the rounding of sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Bound on the retries to one service, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request that arrived within the window.
    pub ratio: f64,
    /// Retries that the whole fleet may make per window in addition, however few requests there
    /// are.
    pub slack: f64,
    /// Length of the sliding window, which ends now.
    pub window: Duration,
}

impl BudgetSettings {
    /// Returns the number of retries that one request pays for.
    fn credit_per_request(&self) -> f64 {
        RATIO_SHARE * self.ratio
    }

    /// Returns the time for which a request can pay for retries.
    fn credit_lifetime(&self) -> Duration {
        self.window.mul_f64(1.0 / RATIO_SHARE - 1.0)
    }
}

/// Whether this router may use a part of the slack, which depends on its view of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlackShare {
    /// The slack is divided by this number of routers, which includes all that may have used a part
    /// of it within the window.
    Divided(u32),
    /// The others may not count this router: its registration may have ended.
    Unregistered,
    /// Others may have joined: the list of routers is not current.
    ListOutdated,
    /// The others may not have counted this router for a whole window, or an earlier process of its
    /// name may have used its part within the window.
    Settling,
}

impl SlackShare {
    /// All variants, in the order in which the metrics list them. The number of routers is without
    /// meaning.
    pub const ALL: [SlackShare; 4] = [
        SlackShare::Divided(1),
        SlackShare::Unregistered,
        SlackShare::ListOutdated,
        SlackShare::Settling,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks_policy::retry::SlackShare;
    ///
    /// assert_eq!(SlackShare::Divided(7).as_str(), "divided");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            SlackShare::Divided(_) => "divided",
            SlackShare::Unregistered => "unregistered",
            SlackShare::ListOutdated => "list_outdated",
            SlackShare::Settling => "settling",
        }
    }

    /// Returns the retries per window that this router may make with its part of `slack`.
    fn part_of(self, slack: f64) -> f64 {
        match self {
            SlackShare::Divided(routers) => SLACK_SHARE * slack / f64::from(routers.max(1)),
            SlackShare::Unregistered | SlackShare::ListOutdated | SlackShare::Settling => 0.0,
        }
    }
}

/// What a decision on a retry rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetReading {
    /// Whether the retry may be made.
    pub is_granted: bool,
    /// Retries that recent requests could pay for.
    pub credit: f64,
    /// Retries that were left of this router's part of the slack.
    pub slack_left: f64,
    /// Retries within the window before this decision.
    pub used: u32,
    /// Whether and how the slack is divided.
    pub share: SlackShare,
}

/// Requests and retries to one service within the last [`BudgetSettings::window`], with their clock
/// readings.
#[derive(Debug, Default)]
struct RecentUse {
    requests: VecDeque<Duration>,
    /// Number of requests, counted from the oldest, that have paid for retries or are too old to. A
    /// fraction stands for a part of a request.
    spent_requests: f64,
    retries: VecDeque<Duration>,
    /// Parts of retries that were taken from the slack.
    slack_taken: VecDeque<(Duration, f64)>,
}

impl RecentUse {
    /// Drops what is older than the window, and the credit of requests that are too old to pay.
    fn expire(&mut self, now: Duration, settings: &BudgetSettings) {
        let age = |at: &Duration| now.saturating_sub(*at);
        while self.requests.front().is_some_and(|at| age(at) > settings.window) {
            self.requests.pop_front();
            self.spent_requests = (self.spent_requests - 1.0).max(0.0);
        }
        let lifetime = settings.credit_lifetime();
        while self.requests.get(self.spent_requests as usize).is_some_and(|at| age(at) > lifetime) {
            self.spent_requests = self.spent_requests.floor() + 1.0;
        }
        while self.retries.front().is_some_and(|at| age(at) > settings.window) {
            self.retries.pop_front();
        }
        let slack_window = settings.window + MAX_ARRIVAL_DELAY;
        while self.slack_taken.front().is_some_and(|(at, _)| age(at) > slack_window) {
            self.slack_taken.pop_front();
        }
    }

    /// Returns what a retry could be paid with, and whether that suffices.
    fn read(&self, settings: &BudgetSettings, share: SlackShare) -> BudgetReading {
        let unspent_requests = (self.requests.len() as f64 - self.spent_requests).max(0.0);
        let credit = unspent_requests * settings.credit_per_request();
        let slack_part = share.part_of(settings.slack);
        let slack_taken: f64 = self.slack_taken.iter().map(|(_, amount)| amount).sum();
        let slack_left = (slack_part - slack_taken).max(0.0);
        // Requests of the credit lifetime before the window may have been many more than those of
        // the window.
        let used = self.retries.len() as u32;
        let allowed_in_window = settings.ratio * self.requests.len() as f64 + slack_part;
        let is_paid = credit + slack_left >= 1.0 - ROUNDING_TOLERANCE;
        let is_within_window = f64::from(used) + 1.0 <= allowed_in_window + ROUNDING_TOLERANCE;
        let is_granted = is_paid && is_within_window;
        BudgetReading { is_granted, credit, slack_left, used, share }
    }

    /// Pays for a retry, with the credit of requests first, since it expires sooner.
    fn pay(&mut self, now: Duration, settings: &BudgetSettings, credit: f64) {
        let from_credit = credit.min(1.0);
        if from_credit > 0.0 {
            self.spent_requests += from_credit / settings.credit_per_request();
        }
        if from_credit < 1.0 {
            self.slack_taken.push_back((now, 1.0 - from_credit));
        }
        self.retries.push_back(now);
    }
}

/// This router's part of the retry budget, by service.
///
/// The budget keeps retries from multiplying the load that makes replicas fail. The bound applies
/// to the sum over all routers, also over those that were killed or have left within the window, and
/// no router has a record of what others have used. A retry is therefore paid for in one of two
/// ways:
///
/// - by requests that this process received within the last part of the window. Each pays once, so
///   that the sum over all processes is bounded however callers move between them.
/// - by an equal part of the slack, if it is certain that all routers which use a part divide it by
///   enough ([`SlackShare`]).
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    by_service: HashMap<Arc<str>, RecentUse>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(settings: BudgetSettings) -> Self {
        Self { settings, by_service: HashMap::new() }
    }

    /// Replaces the settings; the requests and retries counted so far stay.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, now: Duration, service: &Arc<str>) {
        let recent = self.by_service.entry(service.clone()).or_default();
        recent.expire(now, &self.settings);
        recent.requests.push_back(now);
    }

    /// Takes one retry to a service from the budget, or takes nothing if it cannot be paid for.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::retry::{BudgetSettings, RetryBudget, SlackShare};
    ///
    /// let window = Duration::from_secs(10);
    /// let settings = BudgetSettings { ratio: 0.2, slack: 4.0, window };
    /// let mut budget = RetryBudget::new(settings);
    /// let now = Duration::ZERO;
    /// assert!(!budget.try_take(now, &"service".into(), SlackShare::Settling).is_granted);
    /// assert!(budget.try_take(now, &"service".into(), SlackShare::Divided(2)).is_granted);
    /// assert!(!budget.try_take(now, &"service".into(), SlackShare::Divided(2)).is_granted);
    /// ```
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        share: SlackShare,
    ) -> BudgetReading {
        let recent = self.by_service.entry(service.clone()).or_default();
        recent.expire(now, &self.settings);
        let reading = recent.read(&self.settings, share);
        if reading.is_granted {
            recent.pay(now, &self.settings, reading.credit);
        }
        reading
    }
}
