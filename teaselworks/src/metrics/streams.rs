//! Metrics of streams: how they ended, of how many runs, and how resumptions went.

use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use super::{Metrics, counter};

/// Outcome of the search for the origin of a stream that a caller resumes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// This router knew it.
    Known,
    /// Another router returned it.
    Told,
    /// Only one version of the service can have begun it.
    Sole,
    /// Equal requests began streams differently.
    Ambiguous,
    /// No router is known that can tell.
    Unknown,
}

impl LookupOutcome {
    /// All outcomes, in the order in which the metrics list them.
    pub const ALL: [LookupOutcome; 5] = [
        LookupOutcome::Known,
        LookupOutcome::Told,
        LookupOutcome::Sole,
        LookupOutcome::Ambiguous,
        LookupOutcome::Unknown,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks::metrics::LookupOutcome;
    ///
    /// assert_eq!(LookupOutcome::Told.as_str(), "told");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            LookupOutcome::Known => "known",
            LookupOutcome::Told => "told",
            LookupOutcome::Sole => "sole",
            LookupOutcome::Ambiguous => "ambiguous",
            LookupOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for LookupOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How a stream of events to a caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnding {
    /// Its end was forwarded.
    Whole,
    /// It broke off, and no upstream resumed it.
    Broken,
    /// The deadline of the request passed.
    Deadline,
    /// The caller left.
    CallerLeft,
}

impl StreamEnding {
    /// All endings, in the order in which the metrics list them.
    pub const ALL: [StreamEnding; 4] = [
        StreamEnding::Whole,
        StreamEnding::Broken,
        StreamEnding::Deadline,
        StreamEnding::CallerLeft,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks::metrics::StreamEnding;
    ///
    /// assert_eq!(StreamEnding::CallerLeft.as_str(), "caller_left");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            StreamEnding::Whole => "whole",
            StreamEnding::Broken => "broken",
            StreamEnding::Deadline => "deadline",
            StreamEnding::CallerLeft => "caller_left",
        }
    }
}

/// Outcome of an attempt to resume a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumptionOutcome {
    /// The first event came and was forwarded.
    Continued,
    /// The first event does not come after the last one that was forwarded.
    NotContinued,
    /// The answer began and ended without an event.
    NoEvent,
    /// The upstream gave no answer that can resume the stream.
    Failed,
    /// Nothing was sent.
    Refused,
}

impl ResumptionOutcome {
    /// All outcomes, in the order in which the metrics list them.
    pub const ALL: [ResumptionOutcome; 5] = [
        ResumptionOutcome::Continued,
        ResumptionOutcome::NotContinued,
        ResumptionOutcome::NoEvent,
        ResumptionOutcome::Failed,
        ResumptionOutcome::Refused,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks::metrics::ResumptionOutcome;
    ///
    /// assert_eq!(ResumptionOutcome::NotContinued.as_str(), "not_continued");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            ResumptionOutcome::Continued => "continued",
            ResumptionOutcome::NotContinued => "not_continued",
            ResumptionOutcome::NoEvent => "no_event",
            ResumptionOutcome::Failed => "failed",
            ResumptionOutcome::Refused => "refused",
        }
    }
}

/// Counters of streams and of resumptions.
#[derive(Debug)]
pub(super) struct StreamCounters {
    streams: Counter<u64>,
    resumptions: Counter<u64>,
}

impl StreamCounters {
    pub(super) fn new(meter: &Meter) -> Self {
        let counters = Self {
            streams: counter(
                meter,
                "teaselworks_streams",
                "Streams of events, by how they ended and the number of runs that they join.",
            ),
            resumptions: counter(
                meter,
                "teaselworks_stream_resumptions",
                "Attempts to resume a stream, by the caller or within an answer, by outcome.",
            ),
        };
        for ending in StreamEnding::ALL {
            for runs in 0..=MAX_RUNS_LABEL {
                counters.streams.add(0, &stream_labels(ending, runs));
            }
        }
        for outcome in ResumptionOutcome::ALL {
            counters.resumptions.add(0, &[KeyValue::new("outcome", outcome.as_str())]);
        }
        counters
    }
}

impl Metrics {
    /// Counts a stream that ended, and the runs whose events it joins.
    pub fn add_stream(&self, ending: StreamEnding, runs: u32) {
        self.streams.streams.add(1, &stream_labels(ending, runs));
    }

    /// Counts an attempt to resume a stream.
    pub fn add_stream_resumption(&self, outcome: ResumptionOutcome) {
        self.streams.resumptions.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }
}

/// Largest number of runs with a label of its own; more are counted under it.
const MAX_RUNS_LABEL: u32 = 3;

fn stream_labels(ending: StreamEnding, runs: u32) -> [KeyValue; 2] {
    let runs = runs.min(MAX_RUNS_LABEL).to_string();
    [KeyValue::new("ending", ending.as_str()), KeyValue::new("runs", runs)]
}
