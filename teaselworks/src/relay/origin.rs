//! Where requests come from: callers, or other routers that forward them.

use http::HeaderName;

/// Header of a forwarded request: how many times the router that gets it may have it run.
pub(super) const MAX_RUNS: HeaderName = HeaderName::from_static("teaselworks-max-runs");

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another router, which does not reach the replicas of the request's service.
    Router {
        /// How many times the request may run.
        max_runs: u32,
    },
}
