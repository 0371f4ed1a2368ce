//! Counters, gauges and histograms of one router, readable as Prometheus text.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};
use teaselworks_policy::configuration::Kind;
use teaselworks_policy::retry::RetryReason;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use crate::event;

/// Upper bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, 1_280.0, 2_560.0, 5_120.0, 1e4];

/// Label sets that one instrument may have.
///
/// The library makes room for all of them at the start, spread over a hash table: with its 2,000
/// that was 135 KB for each instrument. A set beyond the limit would be counted under
/// `otel_metric_overflow` in place of its labels.
const LABEL_SETS: usize = 200;

/// What became of a call to the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// It was answered.
    Answered,
    /// It failed.
    Failed,
}

/// Every instrument of the router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    answers: Counter<u64>,
    broken_answers: Counter<u64>,
    callers_left: Counter<u64>,
    ejections: Counter<u64>,
    store_calls: Counter<u64>,
    connections: Counter<u64>,
    in_progress: UpDownCounter<i64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
}

impl Metrics {
    /// Makes the instruments.
    ///
    /// ```
    /// use teaselworks::metrics::Metrics;
    ///
    /// assert!(Metrics::new().to_text().contains("teaselworks_refusals"));
    /// ```
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry has room for the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).with_view(limited).build();
        let meter = provider.meter("teaselworks");
        let metrics = Self {
            refusals: counter(&meter, "teaselworks_refusals", "Requests refused, by reason."),
            retries: counter(&meter, "teaselworks_retries", "Attempts repeated, by reason."),
            answers: counter(&meter, "teaselworks_answers", "Requests answered, by kind."),
            broken_answers: counter(
                &meter,
                "teaselworks_broken_answers",
                "Answers that broke off after they had begun.",
            ),
            callers_left: counter(
                &meter,
                "teaselworks_callers_left",
                "Callers that closed their connection before their answer was whole.",
            ),
            ejections: counter(&meter, "teaselworks_ejections", "Upstreams ejected."),
            store_calls: counter(&meter, "teaselworks_store_calls", "Store calls, by outcome."),
            connections: counter(
                &meter,
                "teaselworks_upstream_connections",
                "Connections opened to upstreams.",
            ),
            in_progress: meter
                .i64_up_down_counter("teaselworks_in_progress")
                .with_description("Requests in progress.")
                .build(),
            first_byte: latency(
                &meter,
                "teaselworks_first_byte_ms",
                "Time from a request's arrival to the head of its answer.",
            ),
            duration: latency(
                &meter,
                "teaselworks_duration_ms",
                "Time from a request's arrival to the end of its answer.",
            ),
            registry,
            _provider: provider,
        };
        metrics.show_all_reasons();
        metrics
    }

    /// Adds zero to every labelled counter, so that each reason is listed before it first occurs.
    fn show_all_reasons(&self) {
        for reason in RefusalReason::ALL {
            for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
                self.refusals.add(0, &refusal_labels(reason, verdict));
            }
        }
        for reason in RetryReason::all() {
            self.retries.add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for counter in
            [&self.broken_answers, &self.callers_left, &self.ejections, &self.connections]
        {
            counter.add(0, &[]);
        }
    }

    /// Counts a refusal.
    pub fn add_refusal(&self, refusal: &Refusal) {
        self.refusals.add(1, &refusal_labels(refusal.reason, refusal.verdict));
    }

    /// Counts a further attempt and the reason of the failed one.
    pub fn add_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a request whose answer is whole, and the time that it took.
    pub fn add_answer(&self, kind: Kind, elapsed: Duration) {
        let kind = match kind {
            Kind::Idempotent => "idempotent",
            Kind::AtMostOnce => "at_most_once",
            Kind::Stream => "stream",
        };
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
        self.duration.record(elapsed.as_secs_f64() * 1e3, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time to the head of an answer.
    pub fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    /// Counts an answer that broke off.
    pub fn add_broken_answer(&self) {
        self.broken_answers.add(1, &[]);
    }

    /// Counts a caller that left.
    pub fn add_caller_left(&self) {
        self.callers_left.add(1, &[]);
    }

    /// Counts an ejected upstream.
    pub fn add_ejection(&self) {
        self.ejections.add(1, &[]);
    }

    /// Counts a connection opened to an upstream.
    pub fn add_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the store.
    pub fn add_store_call(&self, outcome: StoreOutcome) {
        let outcome = match outcome {
            StoreOutcome::Answered => "answered",
            StoreOutcome::Failed => "failed",
        };
        self.store_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Changes the number of requests in progress.
    pub fn add_in_progress(&self, change: i64) {
        self.in_progress.add(change, &[]);
    }

    /// Returns every instrument as Prometheus text.
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory fails only on inconsistent families; an empty page shows that.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        let mut text = String::from_utf8(text).unwrap_or_default();
        text.push_str(&format!(
            "# HELP teaselworks_log_lines_dropped_total Log lines dropped for a slow reader.\n\
             # TYPE teaselworks_log_lines_dropped_total counter\n\
             teaselworks_log_lines_dropped_total {}\n",
            event::dropped_lines()
        ));
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn refusal_labels(reason: RefusalReason, verdict: Verdict) -> [KeyValue; 2] {
    [KeyValue::new("reason", reason.as_str()), KeyValue::new("verdict", verdict.as_str())]
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
