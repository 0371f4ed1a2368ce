//! What another owner put on a replica, by the engine's own reports.

use std::time::Duration;

/// Reports of an engine of which the smallest excess counts.
pub const REPORTS: usize = 3;

/// Reports of which the smallest excess counts while another owner is known to be possible.
///
/// With three, a growing excess counts a second late, and the replica exceeds its bound meanwhile;
/// one alone may lag, and would count attempts that have just ended.
const FADING_REPORTS: usize = 2;

/// Time for which a report counts when no other follows.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Time after a handover from which on another owner's work counts for nothing.
pub const FADE_AFTER: Duration = Duration::from_secs(35);

/// Time in which the part of another owner's work that counts falls from one to zero; it begins
/// about when the replica changed its owner.
const FADE_TIME: Duration = Duration::from_secs(40);

/// Stands for a report that has not come, so that the first one counts as it is.
const NO_REPORT: u32 = u32::MAX;

/// Work taken for a request of another owner where this owner has none to compare, in tokens.
const REQUEST_TOKENS: u64 = 256;

/// Work of other owners at one replica.
///
/// After a change of owner it counts in full at first, as a former owner's work weighs as much as
/// this one's; then less and less until, [`FADE_AFTER`] the handover, it counts for nothing. What
/// goes wrong without that: work that was forgotten at once when the reports became rare, at the
/// end of the handover, still ran, and the replica stood at 1.4 of the mean; and in a split an
/// owner that goes on counting the other's work, beside one that no longer does, has a bound of
/// another kind than the others. A later report counts in full: it shows what nobody expects.
#[derive(Clone, Debug, Default)]
pub(super) struct Foreign {
    /// By the last reports, and what of it counts now.
    reported_tokens: u64,
    counted_tokens: u64,
    counts_until: Duration,
    /// Requests of others by the last reports.
    excess: [u32; REPORTS],
    /// Until when another owner may surely admit; zero when there was none.
    handover_until: Duration,
}

impl Foreign {
    /// Starts with the work of an owner that may admit until `until`.
    pub(super) fn inherited(tokens: u64, until: Duration) -> Self {
        Self {
            reported_tokens: tokens,
            counted_tokens: tokens,
            counts_until: until,
            excess: [NO_REPORT; REPORTS],
            handover_until: until,
        }
    }

    /// Returns what counts as load.
    pub(super) fn tokens(&self) -> u64 {
        self.counted_tokens
    }

    /// Tells whether another owner may surely admit.
    pub(super) fn is_handover(&self, now: Duration) -> bool {
        now < self.handover_until
    }

    /// Tells whether the last report showed requests of others.
    pub(super) fn is_reported(&self) -> bool {
        self.excess[REPORTS - 1] > 0
    }

    /// Takes a report of so many requests beyond the owner's own, whose mean work is given.
    ///
    /// A report lags, so that it also counts attempts that just ended: only the smallest excess of
    /// the last ones counts.
    pub(super) fn report(&mut self, now: Duration, excess: u32, request_tokens: Option<u64>) {
        self.excess.rotate_left(1);
        self.excess[REPORTS - 1] = excess;
        let fade_end = self.fade_end();
        let fading = now < fade_end;
        let compared = if fading { FADING_REPORTS } else { REPORTS };
        let lifetime_end = now + REPORT_LIFETIME;
        self.counts_until = if fading { lifetime_end.min(fade_end) } else { lifetime_end };
        let least = self.excess[REPORTS - compared..].iter().min().copied().unwrap_or_default();
        self.reported_tokens = u64::from(least) * request_tokens.unwrap_or(REQUEST_TOKENS);
        self.settle(now);
    }

    /// Brings what counts up to date; tells whether the last report still counts.
    pub(super) fn settle(&mut self, now: Duration) -> bool {
        let counts = now < self.counts_until;
        if !counts {
            self.reported_tokens = 0;
        }
        self.counted_tokens = (self.reported_tokens as f64 * self.part(now)) as u64;
        counts
    }

    fn part(&self, now: Duration) -> f64 {
        // What was inherited is a guess, and counts in full until a report comes.
        if self.excess[REPORTS - 1] == NO_REPORT {
            return 1.0;
        }
        let left = self.fade_end().saturating_sub(now);
        if left.is_zero() { 1.0 } else { left.div_duration_f64(FADE_TIME).min(1.0) }
    }

    fn fade_end(&self) -> Duration {
        match self.handover_until {
            Duration::ZERO => Duration::ZERO,
            until => until + FADE_AFTER,
        }
    }
}
