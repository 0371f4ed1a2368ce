//! The batch that charges are added to until it is closed.

use std::collections::HashMap;
use std::time::Duration;

use super::batch::Charge;
use super::period::Period;
use super::record::UseKey;

/// Age at which an open batch is closed, so that its copy leaves the router.
const BATCH_AGE: Duration = Duration::from_secs(1);

/// The same for a batch with an attempt that no entry elsewhere saw and could claim.
const ALONE_AGE: Duration = Duration::from_millis(500);

/// Charges at which an open batch is closed.
pub(super) const BATCH_CHARGES: usize = 64;

/// Charges of one month that wait for their batch's number.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenBatch {
    charges: Vec<Charge>,
    period: Period,
    since: Duration,
    hastened: bool,
    folded: HashMap<UseKey, usize>,
}

impl OpenBatch {
    pub(super) fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.charges.len()
    }

    pub(super) fn charges(&self) -> impl Iterator<Item = &Charge> {
        self.charges.iter()
    }

    /// Tells whether a month's charges may be added.
    pub(super) fn is_of(&self, period: Period) -> bool {
        self.is_empty() || self.period == period
    }

    /// Adds a charge of the batch's month; with `fold` it is summed with those of its key, unless
    /// it is contested.
    pub(super) fn add(&mut self, period: Period, charge: Charge, fold: bool, now: Duration) {
        if self.is_empty() {
            self.period = period;
            self.since = now;
        }
        if charge.contested || !fold {
            self.charges.push(charge);
            return;
        }
        let next = self.charges.len();
        let index = *self.folded.entry(charge.key.clone()).or_insert(next);
        match self.charges.get_mut(index) {
            Some(same) => same.sum += charge.sum,
            None => self.charges.push(charge),
        }
    }

    /// Lets the batch be closed sooner.
    pub(super) fn hasten(&mut self) {
        self.hastened = true;
    }

    /// Tells whether the batch is old or large enough to be closed.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        let age = if self.hastened { ALONE_AGE } else { BATCH_AGE };
        let old = now >= self.since + age;
        old || self.len() >= BATCH_CHARGES
    }

    /// Takes the charges out, with their month.
    pub(super) fn take(&mut self) -> (Period, Vec<Charge>) {
        let Self { charges, period, .. } = std::mem::take(self);
        (period, charges)
    }
}
