//! Admits a planned fraction of the requests of each class.
//!
//! Designed for: few requests of each class at each router. Requests are counted and
//! not sized, so that large requests are refused no more often than small ones.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::WorkspaceKey;

/// Requests that share a running sum: a class's new callers, or its returning ones.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct GateKey {
    pub workspace: WorkspaceKey,
    pub rank: u8,
    pub is_returning: bool,
}

/// Running sums of admitted fractions.
#[derive(Debug, Default)]
pub(super) struct Gate {
    sums: HashMap<GateKey, f64>,
    /// Returning callers that new ones of the rank have made room for, by rank.
    returning_credits: HashMap<u8, f64>,
}

impl Gate {
    /// Returns whether the next request passes, so that of any number of requests in a row the
    /// fraction passes, give or take one.
    pub fn admits(&mut self, now: Duration, key: GateKey, fraction: f64) -> bool {
        if fraction >= 1.0 {
            return true;
        }
        let sum = self.sums.entry(key).or_insert_with(|| first_sum(now, key));
        *sum += fraction.max(0.0);
        let is_admitted = *sum >= 1.0;
        if is_admitted {
            *sum -= 1.0;
        }
        is_admitted
    }

    /// Returns whether a returning caller passes: the planned fraction does, and new callers of the
    /// rank have made room for it.
    ///
    /// The fraction alone would admit many times what is planned for half a second after many
    /// callers were refused and come back, which is how long the totals take to show them.
    pub fn admits_returning(
        &mut self,
        now: Duration,
        key: GateKey,
        fraction: f64,
        returning_per_new: f64,
    ) -> bool {
        if returning_per_new >= 1.0 {
            // Returning callers get room that no one else requests.
            return self.admits(now, key, fraction);
        }
        let credit = self.credit(now, key.rank);
        if *credit < 1.0 || !self.admits(now, key, fraction) {
            return false;
        }
        *self.credit(now, key.rank) -= 1.0;
        true
    }

    /// Records that a new caller was admitted.
    pub fn on_new_admitted(&mut self, now: Duration, rank: u8, returning_per_new: f64) {
        let credit = self.credit(now, rank);
        *credit = (*credit + returning_per_new).min(1.0);
    }

    fn credit(&mut self, now: Duration, rank: u8) -> &mut f64 {
        let key = GateKey { workspace: WorkspaceKey::REST, rank, is_returning: true };
        self.returning_credits.entry(rank).or_insert_with(|| first_sum(now, key))
    }

    /// Forgets the sums, since the service is no longer overloaded.
    pub fn clear(&mut self) {
        self.sums.clear();
        self.returning_credits.clear();
    }

    /// Drops the sums of workspaces for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(WorkspaceKey) -> bool) {
        self.sums.retain(|key, _| is_kept(key.workspace));
    }
}

/// Returns a sum to begin with, which differs between classes and, by the time, between routers.
/// With the same one everywhere, hundreds of routers that see one request of a class each would
/// admit all of them or none.
fn first_sum(now: Duration, key: GateKey) -> f64 {
    let mut bytes = [0; 22];
    bytes[..16].copy_from_slice(&now.as_nanos().to_le_bytes());
    bytes[16..20].copy_from_slice(&key.workspace.0.to_le_bytes());
    bytes[20] = key.rank;
    bytes[21] = u8::from(key.is_returning);
    // The upper half of the hash fits into the mantissa.
    (xxh3_64(&bytes) >> 32) as f64 / (1u64 << 32) as f64
}
