//! Whether this router may act as an owner.

use std::time::Duration;

use super::timing::Timing;

/// Whether a router may act as an owner now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// A peer counted on it a moment ago, or there is no peer.
    Confirmed,
    /// No peer answered for too long, or the process stood still: others may have taken over.
    Unconfirmed {
        /// When it goes on by itself if still nobody answers, as a reading of the clock.
        until: Duration,
    },
}

/// Keeps the proofs that peers count on this router.
///
/// A router that was paused for 30 seconds wakes with views in which it still owns; it would
/// admit work beside its successor. The proof's age is read at each decision, so the router
/// knows before its first tick that the proof is too old. Answers that waited in its sockets
/// prove nothing, since a proof counts from the moment its question was sent.
#[derive(Clone, Debug)]
pub(super) struct StandingClock {
    window: Duration,
    proved_at: Option<Duration>,
    silent_since: Duration,
    alone: bool,
    last_tick: Duration,
}

impl StandingClock {
    pub(super) fn new(timing: &Timing, now: Duration) -> Self {
        Self {
            window: timing.confirm_window(),
            proved_at: None,
            silent_since: now,
            alone: false,
            last_tick: now,
        }
    }

    /// Notes that a peer counts on this router, as asked at `started`.
    pub(super) fn prove(&mut self, started: Duration) {
        self.proved_at = self.proved_at.max(Some(started));
        self.alone = false;
    }

    /// Notes that the fleet took this router for lost.
    pub(super) fn revoke(&mut self, now: Duration) {
        self.proved_at = None;
        self.alone = false;
        self.silent_since = now;
    }

    /// Notes that there is nobody to ask.
    pub(super) fn set_alone(&mut self) {
        self.alone = true;
    }

    /// Tells whether this router goes on by itself.
    pub(super) fn is_alone(&self) -> bool {
        self.alone
    }

    /// Tells whether this router stood still since its last tick.
    pub(super) fn stood_still(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_tick) > self.window
    }

    /// Runs often; goes on alone after `alone_wait` of silence in which it did not stand still.
    pub(super) fn tick(&mut self, now: Duration, alone_wait: Duration) {
        if self.stood_still(now) {
            self.revoke(now);
        }
        self.last_tick = now;
        if self.is_proved(now) || self.alone {
            self.silent_since = now;
            return;
        }
        if now.saturating_sub(self.silent_since) >= alone_wait {
            self.alone = true;
        }
    }

    /// Tells whether there is no proof of less than this age.
    pub(super) fn proof_is_older(&self, now: Duration, age: Duration) -> bool {
        self.proved_at.is_none_or(|started| now.saturating_sub(started) > age)
    }

    fn is_proved(&self, now: Duration) -> bool {
        self.proved_at.is_some_and(|started| now.saturating_sub(started) <= self.window)
    }

    pub(super) fn standing(&self, now: Duration, alone_wait: Duration) -> Standing {
        if self.stood_still(now) {
            return Standing::Unconfirmed { until: now + alone_wait };
        }
        if self.is_proved(now) || self.alone {
            return Standing::Confirmed;
        }
        Standing::Unconfirmed { until: self.silent_since + alone_wait }
    }
}
