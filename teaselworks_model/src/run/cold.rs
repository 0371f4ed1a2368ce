//! Engines that restart and are cold then.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;

use super::{Attempt, Event, Simulation};
use crate::router;

/// Requests that reached one engine within the last second.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdArrivals(VecDeque<Duration>);

impl ColdArrivals {
    /// Adds a request. Returns the number of requests within the last second.
    fn add(&mut self, now: Duration) -> usize {
        self.0.push_back(now);
        while self.0.front().is_some_and(|at| *at + Duration::from_secs(1) <= now) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

impl Simulation<'_> {
    /// Restarts engines when they become cold, and lets each router know after some time.
    pub(super) fn begin_cold_restart(&mut self) {
        let Some(cold) = self.load.cold.filter(|cold| cold.is_in_effect(self.now)) else { return };
        if std::mem::replace(&mut self.has_cold_engines, true) {
            return;
        }
        for engine in 0..self.engines.len() {
            if cold.affects(engine, self.load.engines.count) {
                self.engines[engine].crash();
            }
        }
        for router in 0..self.routers.len() {
            let delay = Duration::from_secs_f64(cold.notice_s * self.random.random::<f64>());
            self.schedule(delay, Event::LearnRestarts(router));
        }
    }

    /// Tells a router which engines have restarted, and for how long these were cold when they wrote
    /// their entries.
    pub(super) fn on_learn_restarts(&mut self, router: usize) {
        let Some(cold) = self.load.cold else { return };
        for engine in 0..self.engines.len() {
            if cold.affects(engine, self.load.engines.count) {
                let remaining = Duration::from_secs_f64(cold.for_s);
                let fleet = &mut self.routers[router];
                router::announce_restart(fleet, self.load, self.now, engine, remaining);
            }
        }
    }

    /// Returns whether a request was sent to an earlier incarnation of its engine, which has
    /// restarted since.
    pub(super) fn is_misdirected(&self, attempt: &Attempt) -> bool {
        let has_restarted = self.has_cold_engines
            && self
                .load
                .cold
                .is_some_and(|cold| cold.affects(attempt.engine, self.load.engines.count));
        has_restarted && attempt.incarnation.started.is_none()
    }

    /// Counts a request that reaches a cold engine. Returns whether the engine falls over.
    pub(super) fn overloads_cold_engine(&mut self, engine: usize) -> bool {
        let Some(cold) = self.load.cold.filter(|cold| cold.is_in_effect(self.now)) else {
            return false;
        };
        if !cold.affects(engine, self.load.engines.count) {
            return false;
        }
        let recent = self.cold_arrivals[engine].add(self.now);
        self.outcome.totals.cold_arrivals += 1;
        let peak = &mut self.outcome.totals.cold_peak;
        *peak = (*peak).max(recent as u64);
        if recent <= cold.max_requests() {
            return false;
        }
        self.fallen_until[engine] = self.now + Duration::from_secs_f64(cold.down_s);
        self.outcome.totals.falls += 1;
        true
    }
}
