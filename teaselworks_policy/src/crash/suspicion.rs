//! The crashes of which one part may be the cause.

use std::collections::HashSet;
use std::time::Duration;

use super::CrashReport;

/// Number of incarnations that must have crashed on a part before it is blocked.
const MIN_CRASHES: usize = 3;
/// The same while more replicas crash for another reason than on the part: a part that few requests
/// have may then be in several crashes by chance.
const MIN_CRASHES_AMONG_OTHERS: usize = 5;
/// Number of incarnations, and of crashes one after the other, from which other routers are queried
/// about the part.
const ANNOUNCED_CRASHES: usize = 2;
/// Maximum number of incarnations that are remembered for a part.
const MAX_CRASHES: usize = 16;
/// Time for which other routers may state that an answer was written on a part.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// The same for a part on which answers were lately written: it shares its requests' fate with a part
/// that is new, or only now crashes replicas.
const PROVEN_ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// Time after the last crash for which a suspicion lasts.
const LIFETIME: Duration = Duration::from_secs(10);

/// What speaks against one part.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Hashes of the incarnations that crashed, in the order of the reports.
    crashes: Vec<u64>,
    /// Number of crashes of which each followed the one before: the request was sent later.
    in_sequence: usize,
    first_at: Duration,
    /// Time of the last crash in the sequence.
    last_at: Duration,
    reported_at: Duration,
    announced_at: Option<Duration>,
    /// Whether answers were written on the part before the first crash.
    is_proven: bool,
}

impl Suspicion {
    pub(super) fn new(report: &CrashReport) -> Self {
        Self {
            crashes: Vec::new(),
            in_sequence: 0,
            first_at: report.crashed_at,
            last_at: Duration::ZERO,
            reported_at: Duration::ZERO,
            announced_at: None,
            is_proven: false,
        }
    }

    /// Adds a crash.
    ///
    /// Crashes at the same time have one cause, and say no more than one of them: only what was sent
    /// after a crash and crashes the next replica makes the sequence longer.
    pub(super) fn add(&mut self, now: Duration, report: &CrashReport, is_proven: bool) {
        self.reported_at = now;
        self.is_proven |= is_proven;
        if self.crashes.contains(&report.incarnation) {
            return;
        }
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(report.incarnation);
        }
        if self.in_sequence == 0 || report.sent_at >= self.last_at {
            self.in_sequence += 1;
            self.last_at = report.crashed_at;
        }
    }

    pub(super) fn first_at(&self) -> Duration {
        self.first_at
    }

    pub(super) fn crashes(&self) -> &[u64] {
        &self.crashes
    }

    pub(super) fn set_proven(&mut self) {
        self.is_proven = true;
    }

    pub(super) fn is_announced(&self) -> bool {
        self.announced_at.is_some()
    }

    /// Returns whether other routers are to be asked about the part now, which is then recorded.
    pub(super) fn is_to_be_announced(&mut self, now: Duration) -> bool {
        let is_due = self.announced_at.is_none()
            && self.crashes.len() >= ANNOUNCED_CRASHES
            && self.in_sequence >= ANNOUNCED_CRASHES;
        if is_due {
            self.announced_at = Some(now);
        }
        is_due
    }

    /// Returns whether enough replicas crashed, and other routers had time to object. `others` replicas
    /// recently crashed without a request that contains the part.
    pub(super) fn is_ripe(&self, now: Duration, others: usize) -> bool {
        let answer_time = if self.is_proven { PROVEN_ANSWER_TIME } else { ANSWER_TIME };
        let has_waited = self.announced_at.is_some_and(|at| now.saturating_sub(at) >= answer_time);
        let min_crashes =
            if others > self.crashes.len() { MIN_CRASHES_AMONG_OTHERS } else { MIN_CRASHES };
        has_waited && self.crashes.len() >= min_crashes
    }

    /// Returns whether the last crash is long ago.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.reported_at) >= LIFETIME
    }

    /// Removes crashes that have another cause. Returns whether any is left.
    pub(super) fn remove_crashes(&mut self, explained: &HashSet<u64>) -> bool {
        self.crashes.retain(|crash| !explained.contains(crash));
        !self.crashes.is_empty()
    }
}
