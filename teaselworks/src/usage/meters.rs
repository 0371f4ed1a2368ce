//! Instruments of the usage service.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};
use teaselworks_policy::usage::UseOutcome;

use crate::metrics::Metrics;

/// Instruments of the usage service.
#[derive(Debug)]
pub(super) struct Meters {
    attempts: Counter<u64>,
    writes: Counter<u64>,
    taken_over: Counter<u64>,
    dropped_claims: Counter<u64>,
    held: Gauge<u64>,
}

impl Meters {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let meters = Self {
            attempts: meter
                .u64_counter("teaselworks_use_attempts")
                .with_description("Attempts charged at this owner, by outcome.")
                .build(),
            writes: meter
                .u64_counter("teaselworks_use_writes")
                .with_description("Writes of use to the platform, by outcome.")
                .build(),
            taken_over: meter
                .u64_counter("teaselworks_use_taken_over")
                .with_description("Attempts of lost routers that this one brings to the platform.")
                .build(),
            dropped_claims: meter
                .u64_counter("teaselworks_use_claims_dropped")
                .with_description("Attempts of lost routers that were charged to nobody.")
                .build(),
            held: meter
                .u64_gauge("teaselworks_use_held")
                .with_description("Attempts that the platform is not known to keep, by part.")
                .build(),
        };
        meters.taken_over.add(0, &[]);
        meters.dropped_claims.add(0, &[]);
        meters.set_held(0, 0);
        meters
    }

    pub(super) fn add_attempt(&self, outcome: UseOutcome) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    pub(super) fn add_write(&self, outcome: &'static str) {
        self.writes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn add_taken_over(&self, attempts: u64) {
        self.taken_over.add(attempts, &[]);
    }

    pub(super) fn add_dropped_claims(&self, attempts: u64) {
        self.dropped_claims.add(attempts, &[]);
    }

    pub(super) fn set_held(&self, own: usize, copies: usize) {
        self.held.record(own as u64, &[KeyValue::new("part", "own")]);
        self.held.record(copies as u64, &[KeyValue::new("part", "copies")]);
    }
}
