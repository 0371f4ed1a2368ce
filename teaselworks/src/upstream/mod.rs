//! Clients of upstreams: engines and plain services.

mod engine;
mod events;
mod order;
mod report;
mod service;

use std::fmt;

use teaselworks_policy::verdict::{RefusalReason, Verdict};

pub use engine::{EngineClient, EngineHead};
pub use events::{EventParser, ParsedEvents};
pub use order::{
    HeldModel, HeldModels, MaySend, OrderAnswer, OrderClient, OrderMessage, OrderMessageKind,
};
pub use report::{LoadReport, RoleReport, requests};
pub use service::{CONTENT_LENGTH, ServiceClient, passed_back};

/// Why a call to an upstream failed, and whether it may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamError {
    /// Reason for callers and metrics.
    pub reason: RefusalReason,
    /// Decided by how far the bytes got.
    pub verdict: Verdict,
    /// When the upstream asked to be called again, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// What happened.
    pub detail: String,
}

impl UpstreamError {
    /// Makes the error of an answer that began and broke off.
    pub fn broken(detail: impl Into<String>) -> Self {
        Self {
            reason: RefusalReason::UpstreamFailed,
            verdict: Verdict::Ran,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Makes the error of a request that failed before an answer began.
    ///
    /// Only a connection that was never made proves that no byte reached the upstream; any later
    /// failure leaves it open.
    fn sending(error: &reqwest::Error) -> Self {
        let (reason, verdict) = if error.is_connect() {
            (RefusalReason::UpstreamUnreachable, Verdict::NotRun)
        } else {
            (RefusalReason::UpstreamFailed, Verdict::MayHaveRun)
        };
        Self { reason, verdict, retry_after_ms: None, detail: cause(error) }
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}

/// Returns the innermost cause, which names the failed step without the address.
fn cause(error: &reqwest::Error) -> String {
    let mut source: &dyn std::error::Error = error;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string()
}
