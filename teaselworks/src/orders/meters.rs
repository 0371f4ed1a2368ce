//! Instruments of the orders.

use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use crate::metrics::Metrics;
use crate::upstream::OrderAnswer;

/// Instruments of the orders of one router.
pub struct Meters {
    orders: Counter<u64>,
    engines: Gauge<u64>,
}

impl Meters {
    /// Makes the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let orders = metrics
            .meter()
            .u64_counter("teaselworks_orders")
            .with_description("Orders to engines, by outcome.")
            .build();
        let engines = metrics
            .meter()
            .u64_gauge("teaselworks_order_engines")
            .with_description("Engines by state of the rollout, at the router that gives orders.")
            .build();
        for outcome in ["taken", "refused", "not_sent", "unknown"] {
            orders.add(0, &[KeyValue::new("outcome", outcome)]);
        }
        Self { orders, engines }
    }

    /// Counts an order.
    pub fn add_order(&self, answer: &OrderAnswer) {
        let outcome = match answer {
            OrderAnswer::Taken => "taken",
            OrderAnswer::Refused(_) => "refused",
            OrderAnswer::NotSent(_) => "not_sent",
            OrderAnswer::Unknown(_) => "unknown",
        };
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Shows how many engines hold what they are to hold, and how many load.
    pub fn show_progress(&self, done: usize, loading: usize, all: usize) {
        for (state, engines) in [("done", done), ("loading", loading), ("all", all)] {
            self.engines.record(engines as u64, &[KeyValue::new("state", state)]);
        }
    }
}

impl fmt::Debug for Meters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meters").finish_non_exhaustive()
    }
}
