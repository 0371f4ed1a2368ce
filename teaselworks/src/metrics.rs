//! Counters, gauges and histograms of one router, exported as Prometheus text.

mod admission;
mod crash;
mod streams;

use std::io::ErrorKind;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};
use teaselworks_policy::configuration::Kind;
use teaselworks_policy::retry::{RetryReason, SlackShare};
use teaselworks_policy::shares::{ExchangeKind, Totals};
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use self::admission::AdmissionCounters;
pub use self::admission::SharesReport;
pub use self::crash::CrashAttribution;
use self::streams::StreamCounters;
pub use self::streams::{LookupOutcome, ResumptionOutcome, StreamEnding};
use crate::event;

/// Upper bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, 1_280.0, 2_560.0, 5_120.0, 1e4];

/// Upper bounds of the histogram of actual to estimated slot time: steps of a factor of 1.4
/// between a quarter and four, the bounds on the estimate, and of two beyond.
const RATIO_BOUNDS: [f64; 13] =
    [0.0625, 0.125, 0.25, 0.354, 0.5, 0.707, 1.0, 1.414, 2.0, 2.828, 4.0, 8.0, 16.0];

/// Maximum number of label sets of one instrument.
///
/// The OpenTelemetry library allocates a hash table for all of them in advance. With the library's
/// default of 2,000 it takes 135 KB for each instrument. A label set beyond the limit is counted
/// under the label `otel_metric_overflow` instead of its own labels.
const MAX_LABEL_SETS: usize = 200;

/// Outcome of a call to the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The store responded.
    Answered,
    /// The call failed.
    Failed,
}

/// Direction of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DatagramDirection {
    /// To another router.
    Sent,
    /// From another router.
    Received,
}

/// All metrics of the router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    admission: AdmissionCounters,
    retries: Counter<u64>,
    answers: Counter<u64>,
    broken_answers: Counter<u64>,
    callers_left: Counter<u64>,
    ejections: Counter<u64>,
    store_calls: Counter<u64>,
    connections: Counter<u64>,
    connect_failures: Counter<u64>,
    detours: Counter<u64>,
    cold_homes: Counter<u64>,
    stream_lookups: Counter<u64>,
    streams: StreamCounters,
    suspected_parts: Counter<u64>,
    broken_attempts: Counter<u64>,
    ended_replicas: Counter<u64>,
    blocked_requests: Gauge<u64>,
    blocked_parts: UpDownCounter<i64>,
    in_progress: UpDownCounter<i64>,
    routers: Gauge<u64>,
    withheld_retries: Counter<u64>,
    evacuated_zones: UpDownCounter<i64>,
    load_datagrams: Counter<u64>,
    load_totals_age: Gauge<u64>,
    load_totals_routers: Gauge<u64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    demand_error: Histogram<f64>,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// ```
    /// use teaselworks::metrics::{Metrics, SharesReport};
    ///
    /// let text = Metrics::new().to_text(&SharesReport::default());
    /// assert!(text.contains("teaselworks_refusals"));
    /// ```
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("the Prometheus exporter can be registered in an empty registry");
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_view(limit_label_sets).build();
        let meter = provider.meter("teaselworks");
        let metrics = Self {
            refusals: counter(&meter, "teaselworks_refusals", "Requests refused, by reason."),
            admission: AdmissionCounters::new(&meter),
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
            connect_failures: counter(
                &meter,
                "teaselworks_connect_failures",
                "Connections to upstreams that could not be opened, by cause.",
            ),
            detours: counter(
                &meter,
                "teaselworks_detours",
                "Requests sent to another router to be forwarded.",
            ),
            cold_homes: counter(
                &meter,
                "teaselworks_cold_homes",
                "Requests placed elsewhere since the first replica of their prompt is cold.",
            ),
            stream_lookups: counter(
                &meter,
                "teaselworks_stream_lookups",
                "Streams that callers resume, by whether a router knew where they began.",
            ),
            streams: StreamCounters::new(&meter),
            suspected_parts: counter(
                &meter,
                "teaselworks_suspected_parts",
                "Parts of prompts that this router suspected of crashing replicas.",
            ),
            broken_attempts: counter(
                &meter,
                "teaselworks_broken_attempts",
                "Attempts that an upstream broke off, by what that is attributed to.",
            ),
            ended_replicas: counter(
                &meter,
                "teaselworks_ended_replicas",
                "Attempts whose upstream ended while it ran them.",
            ),
            blocked_requests: meter
                .u64_gauge("teaselworks_blocked_requests")
                .with_description("Requests that are refused since upstreams ended under them.")
                .build(),
            blocked_parts: meter
                .i64_up_down_counter("teaselworks_blocked_parts")
                .with_description("Parts of prompts whose requests are refused.")
                .build(),
            in_progress: meter
                .i64_up_down_counter("teaselworks_in_progress")
                .with_description("Requests in progress.")
                .build(),
            routers: meter
                .u64_gauge("teaselworks_routers")
                .with_description("Routers believed to be registered, this one included.")
                .build(),
            withheld_retries: counter(
                &meter,
                "teaselworks_withheld_retries",
                "Attempts not repeated since the retry budget was spent, by reason and share.",
            ),
            evacuated_zones: meter
                .i64_up_down_counter("teaselworks_evacuated_zones")
                .with_description("Zones whose upstreams get no new requests.")
                .build(),
            load_datagrams: counter(
                &meter,
                "teaselworks_load_datagrams",
                "Datagrams of the exchange of offered load, by kind and direction.",
            ),
            load_totals_age: meter
                .u64_gauge("teaselworks_load_totals_age_ms")
                .with_description("Age of the oldest part of the fleet's offered load, by service.")
                .build(),
            load_totals_routers: meter
                .u64_gauge("teaselworks_load_totals_routers")
                .with_description("Routers in the fleet's offered load, by service; 0 without it.")
                .build(),
            first_byte: latency_histogram(
                &meter,
                "teaselworks_first_byte_ms",
                "Time from a request's arrival to the head of its answer.",
            ),
            duration: latency_histogram(
                &meter,
                "teaselworks_duration_ms",
                "Time from a request's arrival to the end of its answer.",
            ),
            demand_error: meter
                .f64_histogram("teaselworks_demand_error_ratio")
                .with_description("Slot time that a request took, divided by its estimate.")
                .with_boundaries(RATIO_BOUNDS.to_vec())
                .build(),
            registry,
            _provider: provider,
        };
        metrics.initialize_counters();
        metrics
    }

    /// Counts a request that was placed elsewhere since the first replica of its prompt is cold.
    pub fn add_cold_home(&self) {
        self.cold_homes.add(1, &[]);
    }

    /// Counts a stream that a caller resumes.
    pub fn add_stream_lookup(&self, outcome: LookupOutcome) {
        self.stream_lookups.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Adds to the number of evacuated zones.
    pub fn add_evacuated_zones(&self, change: i64) {
        self.evacuated_zones.add(change, &[]);
    }

    /// Adds zero to counters, so that they are exported before their first event: refusals and
    /// retries for every reason, and the counters without labels.
    fn initialize_counters(&self) {
        self.evacuated_zones.add(0, &[]);
        self.blocked_parts.add(0, &[]);
        self.suspected_parts.add(0, &[]);
        self.ended_replicas.add(0, &[]);
        self.set_blocked_requests(0);
        for attribution in CrashAttribution::ALL {
            let label = KeyValue::new("attribution", attribution.as_str());
            self.broken_attempts.add(0, &[label]);
        }
        for reason in RefusalReason::ALL {
            for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
                self.refusals.add(0, &refusal_labels(reason, verdict));
            }
        }
        for reason in RetryReason::all() {
            self.retries.add(0, &[KeyValue::new("reason", reason.as_str())]);
            for share in SlackShare::ALL {
                let labels = [
                    KeyValue::new("reason", reason.as_str()),
                    KeyValue::new("share", share.as_str()),
                ];
                self.withheld_retries.add(0, &labels);
            }
        }
        self.set_routers(1);
        for outcome in LookupOutcome::ALL {
            self.stream_lookups.add(0, &[KeyValue::new("outcome", outcome.as_str())]);
        }
        for counter in [
            &self.broken_answers,
            &self.cold_homes,
            &self.callers_left,
            &self.ejections,
            &self.connections,
            &self.detours,
        ] {
            counter.add(0, &[]);
        }
    }

    /// Counts a refused request.
    pub fn add_refusal(&self, refusal: &Refusal) {
        self.refusals.add(1, &refusal_labels(refusal.reason, refusal.verdict));
    }

    /// Counts a retry under the reason why the previous attempt failed.
    pub fn add_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a retry that the retry budget does not allow, under the reason for which it was wanted
    /// and whether this router may use a part of the slack.
    pub fn add_withheld_retry(&self, reason: RetryReason, share: SlackShare) {
        let labels =
            [KeyValue::new("reason", reason.as_str()), KeyValue::new("share", share.as_str())];
        self.withheld_retries.add(1, &labels);
    }

    /// Sets the number of routers that this one believes to be registered, itself included.
    pub fn set_routers(&self, routers: u32) {
        self.routers.record(routers.into(), &[]);
    }

    /// Counts a datagram of the exchange of offered load.
    pub fn add_load_datagram(&self, kind: ExchangeKind, direction: DatagramDirection) {
        let direction = match direction {
            DatagramDirection::Sent => "sent",
            DatagramDirection::Received => "received",
        };
        let labels = [KeyValue::new("kind", kind.as_str()), KeyValue::new("direction", direction)];
        self.load_datagrams.add(1, &labels);
    }

    /// Sets age and number of routers of the totals of a service; without totals, the age stays at
    /// that of the last ones.
    pub fn set_load_totals(&self, service: &str, totals: Option<&Totals>) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.load_totals_routers.record(totals.map_or(0, |totals| totals.routers.into()), &labels);
        if let Some(totals) = totals {
            self.load_totals_age.record(totals.age.as_millis() as u64, &labels);
        }
    }

    /// Counts a request whose response is complete, and records its duration.
    pub fn add_answer(&self, kind: Kind, elapsed: Duration) {
        let kind = match kind {
            Kind::Idempotent => "idempotent",
            Kind::AtMostOnce => "at_most_once",
            Kind::Stream => "stream",
        };
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
        self.duration.record(elapsed.as_secs_f64() * 1e3, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time from the arrival of a request to the head of its response.
    pub fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    /// Records the ratio of the slot time that a request took to its estimate.
    pub fn record_demand_error(&self, ratio: f64) {
        self.demand_error.record(ratio, &[]);
    }

    /// Counts a response that broke off after it had begun.
    pub fn add_broken_answer(&self) {
        self.broken_answers.add(1, &[]);
    }

    /// Counts a caller that closed its connection before its response was complete.
    pub fn add_caller_left(&self) {
        self.callers_left.add(1, &[]);
    }

    /// Counts an ejection of an upstream.
    pub fn add_ejection(&self) {
        self.ejections.add(1, &[]);
    }

    /// Counts a connection opened to an upstream.
    pub fn add_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a connection to an upstream that could not be opened.
    pub fn add_connect_failure(&self, cause: ErrorKind) {
        let cause = match cause {
            ErrorKind::TimedOut => "timed_out",
            ErrorKind::ConnectionRefused => "refused",
            ErrorKind::ConnectionReset => "reset",
            _ => "other",
        };
        self.connect_failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that is sent to another router to be forwarded.
    pub fn add_detour(&self) {
        self.detours.add(1, &[]);
    }

    /// Counts a call to the store.
    pub fn add_store_call(&self, outcome: StoreOutcome) {
        let outcome = match outcome {
            StoreOutcome::Answered => "answered",
            StoreOutcome::Failed => "failed",
        };
        self.store_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Adds `change`, which may be negative, to the number of requests in progress.
    pub fn add_in_progress(&self, change: i64) {
        self.in_progress.add(change, &[]);
    }

    /// Returns all metrics, and those of `shares`, as Prometheus text.
    pub fn to_text(&self, shares: &SharesReport) -> String {
        let mut families = self.registry.gather();
        families.extend(shares.metric_families());
        let mut text = Vec::new();
        // Encoding into a vector fails only for inconsistent metric families; the page then lacks
        // metrics, or is empty.
        let _ = TextEncoder::new().encode(&families, &mut text);
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

/// Limits the number of label sets of an instrument, and changes nothing else about it.
fn limit_label_sets(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(MAX_LABEL_SETS).build().ok()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn latency_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
        .build()
}
