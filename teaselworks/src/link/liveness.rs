//! Decides when a link whose peer owes something is probed, doubted or given up.

use std::time::Duration;

/// Ticks from a ping to doubt.
const DOUBT_TICKS: u32 = 3;

/// Part of the time to giving up that passes before a peer is probed that owes no answer.
const IDLE_PINGS: u32 = 3;

/// Longest pause between pings that a silent peer answers, as a part of the time to giving up.
const LONGEST_PAUSE: u32 = 6;

/// What to do with a link after a tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LivenessAction {
    /// Nothing.
    Wait,
    /// Send a ping, so that a healthy peer says something.
    Ping,
    /// The peer left a ping unanswered; it may be gone.
    Doubt,
    /// The peer is gone.
    GiveUp,
}

/// Times of liveness, in ticks; the same for all links of a router.
#[derive(Clone, Copy, Debug)]
pub(super) struct LivenessTiming {
    /// Time between ticks.
    pub(super) tick: Duration,
    give_up_ticks: u32,
}

impl LivenessTiming {
    /// Derives the ticks: doubt follows `probe_timeout` after a ping, the end of a link
    /// `idle_timeout` after its last sign of life.
    pub(super) fn new(probe_timeout: Duration, idle_timeout: Duration) -> Self {
        let tick = (probe_timeout / DOUBT_TICKS).min(idle_timeout / LONGEST_PAUSE);
        let tick = tick.max(Duration::from_millis(1));
        let give_up_ticks = idle_timeout.as_nanos().div_ceil(tick.as_nanos());
        Self { tick, give_up_ticks: u32::try_from(give_up_ticks).unwrap_or(u32::MAX) }
    }
}

/// State of one link's liveness.
///
/// Silence is counted in ticks of this process, not read off a clock: a process that was itself
/// paused for a minute would otherwise give up every link on waking, though the answers wait in
/// its sockets. Nothing is sent while nothing is awaited, so a quiet link costs no control bytes.
///
/// A peer that owes an answer is probed after one silent tick, and after twice as many each time
/// that it answered the ping with nothing else: an engine may think for long, and its owner's
/// word that it still lives need not come often. TCP repeats a lost ping, so one is enough.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    silent_ticks: u32,
    /// Silent ticks before the next ping, beyond the first.
    pause_ticks: u32,
    /// Ticks since the ping that is unanswered.
    pinged_ticks: Option<u32>,
}

impl Liveness {
    /// Notes that something new was asked of the peer, which it should take at once.
    pub(super) fn ask(&mut self) {
        self.pause_ticks = 0;
    }

    /// Counts a tick; `received` tells whether anything came since the last one, `owes` whether
    /// the peer owes an answer, rather than merely the rest of a request.
    pub(super) fn tick(
        &mut self,
        timing: &LivenessTiming,
        received: bool,
        owes: bool,
    ) -> LivenessAction {
        if received {
            let answered = self.pinged_ticks.take().is_some();
            let longest_ticks = timing.give_up_ticks / LONGEST_PAUSE;
            let longer_ticks = (self.pause_ticks * 2 + 1).min(longest_ticks);
            self.pause_ticks = if answered { longer_ticks } else { 0 };
            self.silent_ticks = 0;
            return LivenessAction::Wait;
        }
        self.silent_ticks += 1;
        if self.silent_ticks >= timing.give_up_ticks {
            return LivenessAction::GiveUp;
        }
        let Some(pinged_ticks) = &mut self.pinged_ticks else {
            let pause_ticks =
                if owes { self.pause_ticks } else { timing.give_up_ticks / IDLE_PINGS };
            if self.silent_ticks <= pause_ticks {
                return LivenessAction::Wait;
            }
            self.pinged_ticks = Some(0);
            return LivenessAction::Ping;
        };
        *pinged_ticks += 1;
        if *pinged_ticks == DOUBT_TICKS { LivenessAction::Doubt } else { LivenessAction::Wait }
    }
}
