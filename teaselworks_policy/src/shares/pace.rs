//! How many slots an overloaded service can be given now, by the requests in progress there.
//!
//! The load that this answers: the beginning of a burst, in which most slots are still free, and
//! slot times that differ from their estimate. Load that is admitted at the rate of the capacity
//! takes the slots only within the time of a request, while callers are refused beside free slots.

use std::time::Duration;

/// Time within which free slots are filled. It is the age of the totals: requests that are admitted
/// sooner do not show in them yet.
const FILL_TIME: Duration = Duration::from_millis(600);
/// Bound on the load that is admitted to fill free slots, as a multiple of the capacity.
const MAX_FILL: f64 = 4.0;
/// Bound below which the load is not reduced where more requests are in progress than slots.
const MIN_FILL: f64 = 0.5;
/// Change of the scale for each second and whole capacity by which the requests in progress differ
/// from it. The slower totals are, the slower the scale must follow.
const SCALE_GAIN_PER_S: f64 = 1.5;
/// Bounds of the scale. Requests beyond what is admitted rightly meet the routers' concurrency limits.
const SCALE_BOUNDS: (f64, f64) = (1.0, 3.0);
/// Time constant of the mean slot time.
const SLOT_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Longest time between two observations that counts.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Adjusts the capacity of a service to what is in progress there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Decaying sums of the slot times of requests, and of their squares.
    slot_time_s: f64,
    squared_slot_time_s2: f64,
    updated_at: Duration,
    /// Factor on the capacity of services with short requests.
    scale: f64,
    scaled_at: Option<Duration>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slot_time_s: 0.0,
            squared_slot_time_s2: 0.0,
            updated_at: Duration::ZERO,
            scale: 1.0,
            scaled_at: None,
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

    /// Returns the load to admit at a service of `capacity_slots` that has `in_progress` requests.
    ///
    /// Where requests take longer than [`FILL_TIME`], the load fills the free slots within that
    /// time. Shorter ones fill them at once, and the load follows from what was in progress before.
    pub fn slots_to_admit(&self, capacity_slots: f64, in_progress: f64) -> f64 {
        let fill = self.fill();
        if fill <= 1.0 {
            return capacity_slots * self.scale;
        }
        let free = capacity_slots - in_progress;
        let slots = capacity_slots + free * (fill - 1.0);
        slots.clamp(MIN_FILL * capacity_slots, MAX_FILL * capacity_slots)
    }

    /// Records how many requests are in progress at the overloaded service.
    pub fn observe(&mut self, now: Duration, capacity_slots: f64, in_progress: f64) {
        let since = self.scaled_at.replace(now);
        if self.fill() > 1.0 || capacity_slots <= 0.0 {
            self.scale = 1.0;
            return;
        }
        let elapsed = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let step = elapsed.min(MAX_STEP).as_secs_f64() * SCALE_GAIN_PER_S;
        let free_share = (1.0 - in_progress / capacity_slots).clamp(-1.0, 1.0);
        let (min, max) = SCALE_BOUNDS;
        self.scale = (self.scale * (step * free_share).exp()).clamp(min, max);
    }

    /// Forgets the scale, since the service is no longer overloaded.
    pub fn reset(&mut self) {
        self.scale = 1.0;
        self.scaled_at = None;
    }

    /// Returns the slot time of the requests that take most of the slots, in units of [`FILL_TIME`].
    fn fill(&self) -> f64 {
        if self.slot_time_s <= 0.0 {
            return 1.0;
        }
        self.squared_slot_time_s2 / self.slot_time_s / FILL_TIME.as_secs_f64()
    }
}
