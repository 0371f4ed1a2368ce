//! What attempts in progress have used that no other router sees.

use std::collections::BTreeMap;

use super::batch::{AttemptKey, Charge};
use super::names::Dictionary;
use super::pack::PackedBatch;
use super::period::Period;

/// What attempts in progress have used, until it is told to the holder of copies.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    charges: BTreeMap<AttemptKey, (Period, Charge)>,
}

impl Progress {
    /// Notes what an attempt has used so far.
    pub(super) fn note(&mut self, period: Period, charge: Charge) {
        self.charges.insert(charge.attempt, (period, charge));
    }

    /// Forgets an attempt, because it has ended.
    pub(super) fn forget(&mut self, attempt: AttemptKey) {
        self.charges.remove(&attempt);
    }

    /// Tells whether there is nothing to be told.
    pub(super) fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Returns what is to be told, by month, once.
    pub(super) fn take(&mut self, names: &mut Dictionary) -> Vec<PackedBatch> {
        let mut months: BTreeMap<Period, Vec<Charge>> = BTreeMap::new();
        for (period, charge) in std::mem::take(&mut self.charges).into_values() {
            months.entry(period).or_default().push(charge);
        }
        let pack = |(period, charges): (&Period, &Vec<Charge>)| {
            PackedBatch::pack(0, *period, charges, names)
        };
        months.iter().map(pack).collect()
    }
}
