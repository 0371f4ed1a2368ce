//! Token bucket over a clock that is passed in.

use std::time::Duration;

/// Time for which an unused rate is saved up.
pub const BURST: Duration = Duration::from_secs(2);

/// Level that fills at a rate up to a capacity and may go below zero.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    updated: Duration,
}

impl Bucket {
    pub(super) fn new(now: Duration, level: f64) -> Self {
        Self { level, updated: now }
    }

    /// Returns the bucket at `now`, filled since it was last looked at.
    pub(super) fn filled(self, now: Duration, rate: f64, capacity: f64) -> Self {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        let level = (self.level + elapsed_s * rate).min(capacity);
        Self { level, updated: self.updated.max(now) }
    }

    /// Takes `amount`, or returns how long until it can be taken.
    ///
    /// An amount larger than the capacity is given from a full bucket, which then goes below
    /// zero: otherwise a single long prompt could never be admitted.
    pub(super) fn take(
        self,
        now: Duration,
        rate: f64,
        capacity: f64,
        amount: f64,
    ) -> Result<Self, Duration> {
        let filled = self.filled(now, rate, capacity);
        let missing = amount.min(capacity) - filled.level;
        if rate <= 0.0 || missing > 0.0 {
            return Err(duration_s(missing.max(0.0) / rate));
        }
        Ok(Self { level: filled.level - amount, ..filled })
    }

    /// Returns the level as it was last filled.
    pub(super) fn level(self) -> f64 {
        self.level
    }

    /// Adds to the level, or takes from it whatever is there.
    pub(super) fn adjust(&mut self, amount: f64) {
        self.level += amount;
    }

    /// Returns when the bucket is full, and so no different from a new one.
    pub(super) fn full_at(self, rate: f64, capacity: f64) -> Duration {
        let missing = (capacity - self.level).max(0.0);
        if missing == 0.0 {
            return self.updated;
        }
        self.updated.saturating_add(duration_s(missing / rate))
    }
}

/// Returns what a rate saves up.
pub(super) fn saved(rate: f64) -> f64 {
    rate * BURST.as_secs_f64()
}

fn duration_s(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
