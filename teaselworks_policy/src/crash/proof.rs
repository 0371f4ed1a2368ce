//! Parts on which answers were recently written.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which an answer speaks for its parts.
const MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of parts.
const MAX_PARTS: usize = 4_096;

/// Parts on which answers were recently written, by the clock reading at which the last one began.
#[derive(Debug, Default)]
pub(super) struct ProvenParts {
    began_at: HashMap<u64, Duration>,
}

impl ProvenParts {
    /// Records that an answer was written on a part that began at `began_at`.
    pub(super) fn insert(&mut self, now: Duration, part: u64, began_at: Duration) {
        if self.began_at.len() >= MAX_PARTS && !self.began_at.contains_key(&part) {
            self.began_at.retain(|_, at| now.saturating_sub(*at) < MEMORY / 2);
            if self.began_at.len() >= MAX_PARTS {
                return;
            }
        }
        let known = self.began_at.entry(part).or_default();
        *known = began_at.max(*known);
    }

    /// Returns when the last answer on a part began, if that is not long ago.
    pub(super) fn find(&self, now: Duration, part: u64) -> Option<Duration> {
        let at = self.began_at.get(&part).copied();
        at.filter(|at| now.saturating_sub(*at) < MEMORY)
    }

    pub(super) fn contains(&self, now: Duration, part: u64) -> bool {
        self.find(now, part).is_some()
    }
}
