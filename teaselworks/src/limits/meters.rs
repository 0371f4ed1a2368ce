//! Instruments of the limits.

use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

use crate::metrics::Metrics;

/// What became of a request to the owner of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskOutcome {
    /// Allowance was lent.
    Lent,
    /// A lease was granted or renewed, whether the request asked for found something or not.
    Leased,
    /// Nothing was left to lend.
    Denied,
    /// No answer came in time, or the router asked does not own the workspace.
    Unanswered,
    /// An answer, counted before, that came after its request had gone on or away.
    Late,
}

impl AskOutcome {
    const ALL: [AskOutcome; 5] = [
        AskOutcome::Lent,
        AskOutcome::Leased,
        AskOutcome::Denied,
        AskOutcome::Unanswered,
        AskOutcome::Late,
    ];

    fn as_str(self) -> &'static str {
        match self {
            AskOutcome::Lent => "lent",
            AskOutcome::Leased => "leased",
            AskOutcome::Denied => "denied",
            AskOutcome::Unanswered => "unanswered",
            AskOutcome::Late => "late",
        }
    }
}

/// Instruments of the limits of one router.
pub struct Meters {
    asks: Counter<u64>,
}

impl Meters {
    /// Makes the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let asks = metrics
            .meter()
            .u64_counter("teaselworks_limit_asks")
            .with_description("Requests for allowance to owners of workspaces, by outcome.")
            .build();
        let meters = Self { asks };
        for outcome in AskOutcome::ALL {
            meters.asks.add(0, &[KeyValue::new("outcome", outcome.as_str())]);
        }
        meters
    }

    /// Counts a request for allowance.
    pub fn add_ask(&self, outcome: AskOutcome) {
        self.asks.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }
}

impl fmt::Debug for Meters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meters").finish_non_exhaustive()
    }
}
