//! Calendar months, by which use is reported.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// Days from the first of March of the year 0 to the first of January 1970.
const EPOCH_DAYS: u64 = 719_468;

/// Days of 400 years, after which the calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// A calendar month in universal time, shown as `2027-03`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Period {
    year: u32,
    month: u32,
}

impl Period {
    /// Returns the month that holds a wall clock reading in milliseconds since 1970.
    ///
    /// ```
    /// use teaselworks_policy::usage::Period;
    ///
    /// assert_eq!(Period::at(0).to_string(), "1970-01");
    /// assert_eq!(Period::at(1_709_164_800_000).to_string(), "2024-02");
    /// ```
    pub fn at(at_ms: u64) -> Self {
        // Years are taken to begin in March, so that the leap day is the last day of a year.
        let days = at_ms / DAY_MS + EPOCH_DAYS;
        let era = days / ERA_DAYS;
        let day_of_era = days % ERA_DAYS;
        let leap_days = day_of_era / 1_460 + day_of_era / 146_096;
        let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
        let year_start = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
        let month_from_march = (5 * (day_of_era - year_start) + 2) / 153;
        let month = (month_from_march + 2) % 12 + 1;
        let year = era * 400 + year_of_era + u64::from(month <= 2);
        Self { year: year as u32, month: month as u32 }
    }

    /// Returns the month's number, counted from the year 0 on.
    pub(super) fn months(self) -> u32 {
        self.year * 12 + self.month.saturating_sub(1)
    }

    /// Returns the month of a number.
    pub(super) fn from_months(months: u32) -> Self {
        Self { year: months / 12, month: months % 12 + 1 }
    }

    /// Reads a month written as `2027-03`; `None` when it is not one.
    ///
    /// ```
    /// use teaselworks_policy::usage::Period;
    ///
    /// assert_eq!(Period::parse("1970-01"), Some(Period::at(0)));
    /// assert_eq!(Period::parse("1970-13"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (year, month) = text.split_once('-')?;
        let period = Self { year: year.parse().ok()?, month: month.parse().ok()? };
        (period.to_string() == text && (1..=12).contains(&period.month)).then_some(period)
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl Serialize for Period {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Period {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| serde::de::Error::custom("not a month like 2027-03"))
    }
}
