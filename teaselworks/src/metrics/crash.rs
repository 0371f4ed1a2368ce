//! Metrics of crashes and their labels.

use opentelemetry::KeyValue;

use super::Metrics;

/// What the end of an attempt that an upstream broke off is attributed to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashAttribution {
    /// The shared parts of the prompt.
    Parts,
    /// Nothing: the request has no part that others may share.
    NoParts,
    /// Nothing: the answer had been written for a while.
    Written,
    /// This router's own link to the service.
    Link,
}

impl CrashAttribution {
    /// All attributions, in the order in which the metrics list them.
    pub const ALL: [CrashAttribution; 4] = [
        CrashAttribution::Parts,
        CrashAttribution::NoParts,
        CrashAttribution::Written,
        CrashAttribution::Link,
    ];

    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use teaselworks::metrics::CrashAttribution;
    ///
    /// assert_eq!(CrashAttribution::NoParts.as_str(), "no_parts");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            CrashAttribution::Parts => "parts",
            CrashAttribution::NoParts => "no_parts",
            CrashAttribution::Written => "written",
            CrashAttribution::Link => "link",
        }
    }
}

impl Metrics {
    /// Counts a part of prompts that this router suspects of crashing replicas.
    pub fn add_suspected_part(&self) {
        self.suspected_parts.add(1, &[]);
    }

    /// Counts an attempt that an upstream broke off.
    pub fn add_broken_attempt(&self, attribution: CrashAttribution) {
        self.broken_attempts.add(1, &[KeyValue::new("attribution", attribution.as_str())]);
    }

    /// Counts an attempt whose upstream ended while it ran it.
    pub fn add_ended_replica(&self) {
        self.ended_replicas.add(1, &[]);
    }

    /// Sets the number of requests that are refused since upstreams ended under them.
    pub fn set_blocked_requests(&self, count: usize) {
        self.blocked_requests.record(count as u64, &[]);
    }

    /// Adds to the number of blocked parts of prompts.
    pub fn add_blocked_parts(&self, change: i64) {
        self.blocked_parts.add(change, &[]);
    }
}
