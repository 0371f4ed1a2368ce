//! Calls that may not be repeated: a record is created before the call is sent, and only its
//! creator sends.

mod begin;
mod claim;
mod lease;
mod record;
mod settler;

use std::sync::{Arc, Mutex};
use std::time::{Duration, UNIX_EPOCH};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::once::window::Reading;
use tokio::sync::Notify;

pub use begin::{Begin, OnceCall};
pub use claim::Claim;
pub use record::{BodyKeeper, Fingerprint, KEPT_BODY_SIZE_BYTES, KeptBody, StoredOutcome};

use self::lease::BoundLease;
use self::settler::Unsettled;
use crate::kernel::ServiceName;
use crate::metrics::Metrics;
use crate::platform::Platform;

/// Name of the service for at-most-once calls among the services.
pub const ONCE: ServiceName<Once> = ServiceName::new("once");

/// Steps counted, in the order of the metrics.
const STEPS: [&str; 9] = [
    "proceed",
    "repeat",
    "in_progress",
    "key_reused",
    "platform_unavailable",
    "window_closed",
    "finished",
    "released",
    "record_lost",
];

/// Service for at-most-once calls of one router.
pub struct Once {
    platform: Arc<Platform>,
    clock: Arc<dyn Clock>,
    random: Mutex<Pcg64>,
    lease: tokio::sync::Mutex<Option<BoundLease>>,
    unsettled: Mutex<Unsettled>,
    unsettled_added: Notify,
    steps: Counter<u64>,
}

impl Once {
    /// Makes the service; nothing is sent before the first call.
    pub fn new(
        platform: Arc<Platform>,
        clock: Arc<dyn Clock>,
        metrics: &Metrics,
        seed: u64,
    ) -> Self {
        let steps = metrics
            .meter()
            .u64_counter("teaselworks_once")
            .with_description("At-most-once calls, by step.")
            .build();
        for step in STEPS {
            steps.add(0, &[KeyValue::new("step", step)]);
        }
        Self {
            platform,
            clock,
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            lease: tokio::sync::Mutex::new(None),
            unsettled: Mutex::new(Unsettled::default()),
            unsettled_added: Notify::new(),
            steps,
        }
    }

    fn count(&self, step: &'static str) {
        self.steps.add(1, &[KeyValue::new("step", step)]);
    }

    fn reading(&self) -> Reading {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Reading { monotonic: self.clock.monotonic(), wall }
    }

    fn with_random<T>(&self, draw: impl FnOnce(&mut Pcg64) -> T) -> T {
        draw(&mut self.random.lock().expect("random lock is never poisoned"))
    }

    fn nonce(&self) -> u64 {
        self.with_random(Rng::next_u64)
    }
}
