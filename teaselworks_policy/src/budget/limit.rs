//! A budget's size, and the periods that it is counted in.

use serde::{Deserialize, Serialize};

/// A budget's size and period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimit {
    /// Tokens that may be used in a period, prompt and answer together.
    pub tokens: u64,
    /// Length of the period in milliseconds; periods begin at multiples of it since 1970.
    pub period_ms: u64,
}

/// One period of a budget.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct BudgetPeriod {
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Number of periods of this length since 1970 before this one.
    pub number: u64,
}

impl BudgetLimit {
    /// Returns the period that holds a wall clock reading in milliseconds.
    ///
    /// ```
    /// use teaselworks_policy::budget::BudgetLimit;
    ///
    /// let limit = BudgetLimit { tokens: 10, period_ms: 1_000 };
    /// assert_eq!(limit.period_at(2_500).number, 2);
    /// assert_eq!(limit.next_period_ms(2_500), 500);
    /// ```
    pub fn period_at(&self, at_ms: u64) -> BudgetPeriod {
        let length_ms = self.period_ms.max(1);
        BudgetPeriod { length_ms, number: at_ms / length_ms }
    }

    /// Returns the time until the next period in milliseconds.
    pub fn next_period_ms(&self, at_ms: u64) -> u64 {
        let length_ms = self.period_ms.max(1);
        length_ms - at_ms % length_ms
    }
}

impl BudgetPeriod {
    /// Tells whether the period has ended.
    pub fn is_over(&self, at_ms: u64) -> bool {
        at_ms / self.length_ms.max(1) > self.number
    }

    /// Returns the period that follows.
    pub fn next(&self) -> Self {
        Self { number: self.number + 1, ..*self }
    }

    /// Returns the time until the period begins in milliseconds, 0 once it has.
    pub fn begins_in_ms(&self, at_ms: u64) -> u64 {
        (self.length_ms * self.number).saturating_sub(at_ms)
    }
}

impl From<BudgetPeriod> for (u64, u64) {
    fn from(period: BudgetPeriod) -> Self {
        (period.length_ms, period.number)
    }
}

impl From<(u64, u64)> for BudgetPeriod {
    fn from((length_ms, number): (u64, u64)) -> Self {
        Self { length_ms, number }
    }
}
