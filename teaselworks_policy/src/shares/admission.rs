//! Decision on a request to a service that may be overloaded.

use crate::verdict::RefusalReason;

/// Decision on a request, before a replica is chosen for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The service is not overloaded, or the request passes the decision.
    Normal,
    /// The plan of the overloaded service has room for the request.
    Planned {
        /// Whether only a part of the requests of its class is admitted.
        is_marginal: bool,
        /// Part of the admitted load at the service that has the same or a more urgent rank.
        ahead_share: f64,
    },
    /// The request is refused.
    Refused(RefusalReason),
}
