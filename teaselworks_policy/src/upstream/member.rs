//! One replica of a service, with its state in the view of this router.

use std::sync::Arc;
use std::time::Duration;

use crate::placement::hash_upstream_id;

use super::{ColdState, Health, Load, Reachability, Upstream, incarnation_hash};

/// One replica of a service, as a member of the service's pool.
#[derive(Debug)]
pub struct Member {
    /// The replica, as its entry in the list of upstreams describes it.
    pub upstream: Arc<Upstream>,
    /// Hash of the identifier, from which the rendezvous scores are computed.
    pub id_hash: u64,
    /// Number of requests at the replica.
    pub load: Load,
    /// Health, which decides whether the replica gets requests.
    pub health: Health,
    /// Failures of requests of all routers since the replica last responded.
    pub reach: Reachability,
    /// Whether the replica is cold, and how many requests it may get then.
    pub cold: ColdState,
    /// Exponential moving average of the time from sending a request to the end of its answer;
    /// `None` before the first answer.
    pub mean_request_time: Option<Duration>,
    /// Whether the replica is about to stop and takes no new requests.
    pub is_draining: bool,
    /// Whether the replica's entry in the list of upstreams cannot be decoded at the moment, so
    /// that it takes no new requests.
    pub is_suspended: bool,
    /// Whether the replica has said with an answer that it is leaving. Its entry may still list it
    /// as ready.
    pub(super) is_leaving: bool,
    /// Whether the operator has evacuated the replica's zone.
    pub(crate) is_evacuated: bool,
    /// Whether the replica's software version is new to this router, so that it begins no resumable
    /// streams yet.
    pub(crate) is_unsettled: bool,
    /// Time until which the replica wants no request from this router.
    pub(super) resting_until: Option<Duration>,
    /// Whether the replica has started, with an empty prompt cache, and answered no request since.
    pub has_empty_cache: bool,
}

impl Member {
    pub(super) fn new(upstream: Upstream, has_empty_cache: bool) -> Self {
        Self {
            id_hash: hash_upstream_id(&upstream.id),
            is_draining: upstream.is_draining,
            upstream: Arc::new(upstream),
            load: Load::default(),
            health: Health::default(),
            reach: Reachability::default(),
            cold: ColdState::default(),
            mean_request_time: None,
            is_suspended: false,
            is_leaving: false,
            is_evacuated: false,
            is_unsettled: false,
            resting_until: None,
            has_empty_cache,
        }
    }

    /// Returns whether the replica takes new requests, whatever its health.
    pub fn takes_requests(&self) -> bool {
        !self.is_evacuated && self.is_in_service()
    }

    /// Returns whether the replica would take new requests if its zone were not evacuated.
    pub fn is_in_service(&self) -> bool {
        !self.is_draining && !self.is_leaving && !self.is_suspended
    }

    /// Returns the time for which the replica still wants no request from this router.
    pub fn remaining_rest(&self, now: Duration) -> Option<Duration> {
        self.resting_until?.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }

    /// Returns a hash that differs between starts of the same replica.
    pub(super) fn incarnation_hash(&self) -> u64 {
        incarnation_hash(self.upstream.started, self.id_hash)
    }
}
