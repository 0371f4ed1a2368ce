//! Load that a service with short requests can be given, by the requests in progress there.
//!
//! Designed for: a burst at a service whose requests take tens of milliseconds. Their
//! estimated slot times contain the queues of a second ago, which would leave slots unused. Where
//! requests are longer than the totals are old, requests in progress show too late what was admitted.

use std::time::Duration;

/// Slot time up to which requests are short: the age of the totals.
const SHORT: Duration = Duration::from_millis(600);
/// Change of the scale for each second and whole capacity by which the requests in progress differ
/// from it. The older totals are, the slower the scale must follow.
const GAIN_PER_S: f64 = 1.5;
/// Bounds of the scale. Requests beyond what is admitted rightly meet the routers' concurrency
/// limits.
const SCALE_BOUNDS: (f64, f64) = (1.0, 3.0);
/// Time constant of the mean slot time.
const SLOT_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Longest time between two observations that counts.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Factor on the capacity of an overloaded service with short requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Decaying sums of the slot times of requests, and of their squares.
    slot_time_s: f64,
    squared_slot_time_s2: f64,
    updated_at: Duration,
    scale: f64,
    observed_at: Option<Duration>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slot_time_s: 0.0,
            squared_slot_time_s2: 0.0,
            updated_at: Duration::ZERO,
            scale: 1.0,
            observed_at: None,
        }
    }
}

impl Pace {
    /// Records the expected slot time of a request.
    pub fn on_request(&mut self, now: Duration, slot_time: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let decay = (-elapsed.div_duration_f64(SLOT_TIME_CONSTANT)).exp();
        let slot_time_s = slot_time.as_secs_f64();
        self.slot_time_s = self.slot_time_s * decay + slot_time_s;
        self.squared_slot_time_s2 = self.squared_slot_time_s2 * decay + slot_time_s * slot_time_s;
    }

    /// Returns the factor on the capacity.
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Records how many requests are in progress at the overloaded service.
    pub fn observe(&mut self, now: Duration, capacity_slots: f64, in_progress: f64) {
        let since = self.observed_at.replace(now);
        // The mean over slots, of which longer requests hold more.
        let mean_s = self.squared_slot_time_s2 / self.slot_time_s.max(f64::MIN_POSITIVE);
        if mean_s > SHORT.as_secs_f64() || capacity_slots <= 0.0 {
            self.scale = 1.0;
            return;
        }
        let elapsed = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let step = elapsed.min(MAX_STEP).as_secs_f64() * GAIN_PER_S;
        let free_share = (1.0 - in_progress / capacity_slots).clamp(-1.0, 1.0);
        let (min, max) = SCALE_BOUNDS;
        self.scale = (self.scale * (step * free_share).exp()).clamp(min, max);
    }

    /// Forgets the scale, since the service is no longer overloaded.
    pub fn reset(&mut self) {
        self.scale = 1.0;
        self.observed_at = None;
    }
}
