//! Counters, gauges and histograms of one router, readable as Prometheus text.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};
use teaselworks_config::configuration::UpstreamKind;
use teaselworks_policy::attempt::Dropped;
use teaselworks_policy::retry::{DoubtDecision, RetryReason, WaitReason};
use teaselworks_policy::verdict::{Priority, RefusalReason, Verdict};
use teaselworks_wire::message::Purpose;

/// Upper bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] =
    [0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 740.0, 2_000.0, 10_000.0];

/// Label sets that one instrument may have; refusals have most, each reason with each verdict.
///
/// The library makes room for all of them at the start, spread over a hash table. With its 2,000
/// that was 135 KB for each instrument, of which nearly every label set touched a page of its own.
/// A set beyond the limit would be counted under `otel_metric_overflow` in place of its labels.
const LABEL_SETS: usize = 200;

/// Which way bytes went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Received by this router.
    In,
    /// Sent by this router.
    Out,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Direction::In => "in",
            Direction::Out => "out",
        }
    }
}

/// Every instrument of the router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    doubted_attempts: Counter<u64>,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    control_bytes: Counter<u64>,
    stale_replies: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    queued: UpDownCounter<i64>,
    running: UpDownCounter<i64>,
    queue_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    inter_token: Histogram<f64>,
}

impl Metrics {
    /// Makes the instruments of one router.
    ///
    /// ```
    /// use teaselworks::metrics::Metrics;
    ///
    /// let metrics = Metrics::new();
    /// assert!(metrics.to_text().contains("teaselworks_refusals_total"));
    /// ```
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).with_view(limited).build();
        let meter = provider.meter("teaselworks");
        let metrics = Self {
            refusals: counter(&meter, "teaselworks_refusals", "Requests refused, by reason."),
            retries: counter(&meter, "teaselworks_retries", "Attempts repeated, by reason."),
            doubted_attempts: counter(
                &meter,
                "teaselworks_doubted_attempts",
                "Attempts in progress at an owner in doubt, by decision.",
            ),
            requests: counter(&meter, "teaselworks_requests", "Requests ended, by outcome."),
            tokens: counter(&meter, "teaselworks_tokens", "Tokens used, by kind."),
            control_bytes: counter(
                &meter,
                "teaselworks_control_bytes",
                "Control bytes on links, by purpose and direction.",
            ),
            stale_replies: counter(
                &meter,
                "teaselworks_stale_replies",
                "Messages of abandoned or foreign attempts dropped, by kind.",
            ),
            in_flight: meter
                .i64_up_down_counter("teaselworks_in_flight")
                .with_description("Requests in progress at this entry, by priority.")
                .build(),
            queued: meter
                .i64_up_down_counter("teaselworks_queued")
                .with_description("Attempts waiting at this owner, by priority.")
                .build(),
            running: meter
                .i64_up_down_counter("teaselworks_running")
                .with_description(
                    "Attempts with a place at an upstream of this owner, by priority.",
                )
                .build(),
            queue_wait: latency(
                &meter,
                "teaselworks_queue_wait_ms",
                "Time from an attempt's admission to its turn or refusal, by priority.",
            ),
            first_token: latency(
                &meter,
                "teaselworks_first_token_ms",
                "Time from a request's arrival to its first token.",
            ),
            inter_token: latency(
                &meter,
                "teaselworks_inter_token_ms",
                "Mean time between tokens of a finished answer.",
            ),
            registry,
            meter,
            _provider: provider,
        };
        metrics.show_all_reasons();
        metrics
    }

    /// Adds zero to every labelled counter, so that each reason is listed before it first occurs.
    fn show_all_reasons(&self) {
        for reason in RefusalReason::ALL {
            self.refusals.add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        self.doubted_attempts.add(0, &[KeyValue::new("decision", DoubtDecision::LEFT)]);
        for reason in WaitReason::ALL {
            self.doubted_attempts.add(0, &[KeyValue::new("decision", reason.as_str())]);
        }
        for purpose in Purpose::ALL {
            self.add_control_bytes(purpose, Direction::In, 0);
            self.add_control_bytes(purpose, Direction::Out, 0);
        }
        for priority in Priority::ALL {
            self.in_flight.add(0, &[KeyValue::new("priority", priority.as_str())]);
            self.queued.add(0, &[KeyValue::new("priority", priority.as_str())]);
            self.running.add(0, &[KeyValue::new("priority", priority.as_str())]);
        }
        for kind in Dropped::ALL {
            self.stale_replies.add(0, &[KeyValue::new("kind", kind.as_str())]);
        }
    }

    /// Returns the meter, for instruments that belong to one service.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Counts a refusal.
    pub fn add_refusal(&self, reason: RefusalReason, verdict: Verdict) {
        let labels =
            [KeyValue::new("reason", reason.as_str()), KeyValue::new("verdict", verdict.as_str())];
        self.refusals.add(1, &labels);
    }

    /// Counts a further attempt and the reason of the failed one.
    pub fn add_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts what became of an attempt at an owner in doubt.
    pub fn add_doubted_attempt(&self, decision: DoubtDecision) {
        self.doubted_attempts.add(1, &[KeyValue::new("decision", decision.as_str())]);
    }

    /// Counts a request answered whole.
    pub fn add_answered(&self, kind: UpstreamKind) {
        let kind = match kind {
            UpstreamKind::Engine => "engine",
            UpstreamKind::Service => "service",
        };
        self.requests.add(1, &[KeyValue::new("upstream", kind)]);
    }

    /// Counts tokens of one kind: `prompt`, `cached` or `output`.
    pub fn add_tokens(&self, kind: &'static str, tokens: u64) {
        self.tokens.add(tokens, &[KeyValue::new("kind", kind)]);
    }

    /// Counts control bytes.
    pub fn add_control_bytes(&self, purpose: Purpose, direction: Direction, size_bytes: u64) {
        let labels = [
            KeyValue::new("purpose", purpose.as_str()),
            KeyValue::new("direction", direction.as_str()),
        ];
        self.control_bytes.add(size_bytes, &labels);
    }

    /// Counts a message of an abandoned or foreign attempt that was dropped.
    pub fn add_stale_reply(&self, kind: Dropped) {
        self.stale_replies.add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// Changes the number of requests in progress.
    pub fn add_in_flight(&self, priority: Priority, change: i64) {
        self.in_flight.add(change, &[KeyValue::new("priority", priority.as_str())]);
    }

    /// Changes the number of attempts waiting at this owner.
    pub fn add_queued(&self, priority: Priority, change: i64) {
        self.queued.add(change, &[KeyValue::new("priority", priority.as_str())]);
    }

    /// Changes the number of attempts with a place at an upstream.
    pub fn add_running(&self, priority: Priority, change: i64) {
        self.running.add(change, &[KeyValue::new("priority", priority.as_str())]);
    }

    /// Records how long an attempt waited for its turn or its refusal.
    pub fn record_queue_wait(&self, priority: Priority, elapsed: Duration) {
        let labels = [KeyValue::new("priority", priority.as_str())];
        self.queue_wait.record(elapsed.as_secs_f64() * 1e3, &labels);
    }

    /// Records the time to a first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        self.first_token.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    /// Records the mean time between tokens of one answer.
    pub fn record_inter_token(&self, mean: Duration) {
        self.inter_token.record(mean.as_secs_f64() * 1e3, &[]);
    }

    /// Returns every instrument as Prometheus text.
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory fails only on inconsistent families; an empty page shows that.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits the label sets of an instrument and leaves the rest of it as it is.
fn limited(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(LABEL_SETS).build().ok()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
        .build()
}
