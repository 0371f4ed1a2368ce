//! Slot time that requests are expected to take, and the one they took.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::demand::Demand;
use crate::placement::Prompt;

impl Fleet {
    /// Returns what a request of a route is expected to take of a replica.
    ///
    /// `prompt` is `None` for requests of routes without prompts, whatever their headers say.
    pub fn estimate_demand(&self, route: &Arc<str>, prompt: Option<&Prompt>) -> Demand {
        self.demand.estimate(route, prompt)
    }

    /// Records the slot time that an attempt at a replica took, from sending it to the end of its
    /// complete answer. Returns the ratio of this time to the estimate.
    pub fn on_slot_time(
        &mut self,
        route: &Arc<str>,
        prompt: Option<&Prompt>,
        slot_time: Duration,
    ) -> f64 {
        self.demand.observe(route, prompt, slot_time)
    }
}
