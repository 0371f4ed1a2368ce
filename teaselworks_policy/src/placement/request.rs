//! Input of a placement, and its result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Prompt;
use crate::shares::{Admission, Class};
use crate::upstream::{Member, ServiceLoad, Upstream};
use crate::verdict::Refusal;

/// Limits on the placement of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Multiple of the mean load of a service that the load of a replica should not exceed, apart
    /// from a few requests. Placement uses only part of what this allows above the mean.
    pub load_factor: f64,
    /// Number of live routers, including this one.
    pub routers: u32,
}

/// A request for which a replica is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Prompt of the request, if the service consists of model engines.
    pub prompt: Option<&'a Prompt>,
    /// Availability zone of this router.
    pub zone: &'a str,
    /// Identifiers of the upstreams that were already tried for the request.
    pub tried: &'a [Arc<str>],
    /// Version of the software of the only replicas that may go on with the stream; `None` for a
    /// request that has no event yet.
    pub version: Option<&'a str>,
    /// Whether the request begins a stream that may be resumed elsewhere. Such a stream begins only at
    /// a software version that other routers know, too.
    pub begins_stream: bool,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Longest retry-after time that leaves the caller enough time for the retry to be answered.
    pub max_retry_after: Duration,
    /// Whether the answer has begun or an earlier attempt may have run. Such a request is placed
    /// even if new requests are refused for overload.
    pub has_started: bool,
    /// Whether the caller was probably refused before and is retrying: its timeout is clearly
    /// shorter than usual for the route.
    pub is_late: bool,
    /// Class by which an overloaded service is divided; `None` if the request passes that decision.
    pub class: Option<&'a Class>,
    /// Decision of the division of an overloaded service on the request.
    pub admission: Admission,
}

/// Reason for the choice of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// The replica is the first in the order of the request's key.
    Home,
    /// Replicas before it in the key's order are full or over the load bound.
    Spill,
    /// The replica has the least load of those that were compared.
    LeastLoad,
    /// The replica is cold and has room, and no other replica takes the request.
    ColdRoom,
}

impl PlacementReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PlacementReason::Home => "home",
            PlacementReason::Spill => "spill",
            PlacementReason::LeastLoad => "least_load",
            PlacementReason::ColdRoom => "cold_room",
        }
    }
}

/// A chosen replica and the data behind the choice.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Chosen replica.
    pub upstream: Arc<Upstream>,
    /// Reason for the choice.
    pub reason: PlacementReason,
    /// Estimated number of requests at the replica. For a request without a prompt, this number
    /// plus the penalty for another zone, divided by the slots of the replica.
    pub load: f64,
    /// Upper bound on `load` that applied; infinite for a request without a prompt.
    pub bound: f64,
    /// Age of the replica's last load report, if there is one.
    pub report_age: Option<Duration>,
    /// Address of another replica that may have more of the prompt cached.
    pub holder: Option<SocketAddr>,
    /// Whether the first replica in the key's order was passed over because it is cold.
    pub is_home_cold: bool,
    /// Load of the service before the request was placed.
    pub service_load: ServiceLoad,
}

/// The refusal of a request, and the load of the service if a replica could have been chosen.
pub(crate) struct Refused {
    pub(crate) refusal: Refusal,
    pub(crate) service_load: Option<ServiceLoad>,
}

/// A replica and the data behind its choice, without the holder of the prompt.
pub(super) struct Choice<'a> {
    pub(super) member: &'a Member,
    pub(super) reason: PlacementReason,
    pub(super) load: f64,
    pub(super) bound: f64,
}

impl Choice<'_> {
    pub(super) fn to_placement(&self, now: Duration, service_load: ServiceLoad) -> Placement {
        let Self { member, reason, load, bound } = *self;
        let report_age = member.load.report_age(now);
        let upstream = member.upstream.clone();
        Placement {
            upstream,
            reason,
            load,
            bound,
            report_age,
            holder: None,
            is_home_cold: false,
            service_load,
        }
    }
}
