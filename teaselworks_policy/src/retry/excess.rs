//! The bound on the retries of all routers together, checked on recorded arrivals.

use std::fmt;
use std::time::Duration;

use super::BudgetSettings;

/// A window with more retries than the budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetExcess {
    /// Beginning of the window.
    pub from: Duration,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the budget allows.
    pub allowed: f64,
}

impl fmt::Display for BudgetExcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { from, retries, allowed } = self;
        write!(f, "{retries} retries in the window from {from:?}, allowed {allowed:.1}")
    }
}

impl BudgetSettings {
    /// Returns the first window in which a service got more retries than the budget allows. Both
    /// lists hold times of arrival, in order.
    ///
    /// The requests are those of the busiest of three windows, which start at the same time, half a
    /// window earlier and a whole window earlier.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::retry::BudgetSettings;
    ///
    /// let window = Duration::from_secs(10);
    /// let settings = BudgetSettings { ratio: 0.5, slack: 1.0, window };
    /// let requests = [Duration::ZERO, Duration::from_secs(1)];
    /// let retries = [Duration::from_secs(2); 3];
    /// assert_eq!(settings.first_excess(&requests, &retries[..2]), None);
    /// assert_eq!(settings.first_excess(&requests, &retries).unwrap().retries, 3);
    /// ```
    pub fn first_excess(
        &self,
        requests: &[Duration],
        retries: &[Duration],
    ) -> Option<BudgetExcess> {
        for from in retries.iter().copied() {
            let offsets = [Duration::ZERO, self.window / 2, self.window];
            let counts = offsets.map(|offset| {
                let earlier = from.saturating_sub(offset);
                count_within(requests, earlier, self.window)
            });
            let busiest = counts.into_iter().max().unwrap_or(0);
            let allowed = self.ratio * busiest as f64 + self.slack;
            let count = count_within(retries, from, self.window);
            if count as f64 > allowed {
                return Some(BudgetExcess { from, retries: count, allowed });
            }
        }
        None
    }
}

/// Returns how many of the ordered `times` are within the window that begins at `from`.
fn count_within(times: &[Duration], from: Duration, window: Duration) -> usize {
    let begin = times.partition_point(|at| *at < from);
    let end = times.partition_point(|at| *at < from + window);
    end - begin
}
