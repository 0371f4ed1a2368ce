//! Parts that get no requests, since replicas crash on them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time for which a part is blocked. After that, requests with it are tried again, and the second
/// crash one after the other blocks it once more.
pub const BLOCK_TIME: Duration = Duration::from_secs(300);
/// Time for which it is remembered that a part was blocked.
const RELEASE_MEMORY: Duration = Duration::from_secs(3_600);
/// Maximum number of blocked parts, and of those that were blocked.
const MAX_PARTS: usize = 256;

/// A blocked part.
#[derive(Clone, Copy, Debug)]
struct Block {
    /// Clock reading at which the block ends by itself.
    until: Duration,
    /// Clock reading of the first crash, as far as this router is aware. An answer that began later
    /// shows that the part was blocked wrongly.
    first_at: Duration,
    /// Whether the store lists the part.
    is_listed: bool,
}

/// The blocked parts, as far as this router is aware.
#[derive(Debug, Default)]
pub struct BlockedParts {
    blocks: HashMap<u64, Block>,
    released_at: HashMap<u64, Duration>,
}

impl BlockedParts {
    /// Blocks a part that the store does not list yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::crash::BlockedParts;
    ///
    /// let mut blocked = BlockedParts::default();
    /// blocked.insert(Duration::ZERO, 7, Duration::ZERO);
    /// assert!(blocked.contains(Duration::from_secs(9), 7));
    /// assert!(!blocked.contains(Duration::from_secs(999), 7));
    /// ```
    pub fn insert(&mut self, now: Duration, part: u64, first_at: Duration) {
        self.release_ended(now);
        if self.blocks.len() < MAX_PARTS {
            let block = Block { until: now + BLOCK_TIME, first_at, is_listed: false };
            self.blocks.entry(part).or_insert(block);
        }
    }

    /// Records that the store lists a part. Returns whether it was not blocked before.
    pub fn on_listed(&mut self, now: Duration, part: u64) -> bool {
        let is_new = !self.contains(now, part);
        self.insert(now, part, now);
        if let Some(block) = self.blocks.get_mut(&part) {
            block.is_listed = true;
        }
        is_new
    }

    /// Records that the store no longer lists a part. Returns whether it was blocked.
    pub fn on_unlisted(&mut self, now: Duration, part: u64) -> bool {
        let was_blocked = self.blocks.remove(&part).is_some();
        if was_blocked {
            self.remember_release(now, part);
        }
        was_blocked
    }

    /// Replaces the parts that the store lists. Returns those that are blocked now and were not, and
    /// those that no longer are.
    pub fn replace_listed(&mut self, now: Duration, listed: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let keep: HashSet<u64> = listed.iter().copied().collect();
        let is_gone = |(part, block): (&u64, &Block)| {
            (block.is_listed && !keep.contains(part)).then_some(*part)
        };
        let gone: Vec<u64> = self.blocks.iter().filter_map(is_gone).collect();
        gone.iter().for_each(|part| {
            self.on_unlisted(now, *part);
        });
        let new = listed.iter().copied().filter(|part| self.on_listed(now, *part)).collect();
        (new, gone)
    }

    /// Ends the block of a part on which an answer was written.
    pub fn release(&mut self, part: u64) -> bool {
        self.blocks.remove(&part).is_some()
    }

    /// Returns whether an answer that began at `began_at` shows that a part was blocked wrongly.
    pub(super) fn is_refuted(&self, part: u64, began_at: Duration) -> bool {
        self.blocks.get(&part).is_some_and(|block| began_at >= block.first_at)
    }

    /// Returns the number of blocked parts.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no part is blocked.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns whether a part is blocked.
    pub fn contains(&self, now: Duration, part: u64) -> bool {
        self.remaining(now, part).is_some()
    }

    /// Returns whether the store lists a part.
    pub fn is_listed(&self, part: u64) -> bool {
        self.blocks.get(&part).is_some_and(|block| block.is_listed)
    }

    /// Returns the time for which a part is still blocked.
    pub fn remaining(&self, now: Duration, part: u64) -> Option<Duration> {
        let until = self.blocks.get(&part)?.until;
        until.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the first blocked one of some parts, and the time for which it is still blocked.
    pub fn find(
        &self,
        now: Duration,
        parts: impl IntoIterator<Item = u64>,
    ) -> Option<(u64, Duration)> {
        if self.blocks.is_empty() {
            return None;
        }
        parts.into_iter().find_map(|part| self.remaining(now, part).map(|left| (part, left)))
    }

    /// Returns whether a part was blocked within the last hour and no longer is.
    pub(super) fn was_released(&self, now: Duration, part: u64) -> bool {
        let released_at = self.released_at.get(&part);
        released_at.is_some_and(|at| now.saturating_sub(*at) < RELEASE_MEMORY)
    }

    fn release_ended(&mut self, now: Duration) {
        let ended: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, block)| block.until <= now)
            .map(|(part, _)| *part)
            .collect();
        for part in ended {
            self.blocks.remove(&part);
            self.remember_release(now, part);
        }
    }

    fn remember_release(&mut self, now: Duration, part: u64) {
        self.released_at.retain(|_, at| now.saturating_sub(*at) < RELEASE_MEMORY);
        if self.released_at.len() < MAX_PARTS {
            self.released_at.insert(part, now);
        }
    }
}
