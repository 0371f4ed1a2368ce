//! Labels of the metrics of crashes.

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
