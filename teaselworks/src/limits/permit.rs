//! Permission for one request by its workspace's limits.

use std::sync::Arc;

use teaselworks_policy::admission::limits::{Limits, Permit};
use teaselworks_policy::name::Name;

use super::service::LimitsService;

/// Permission for one request; dropping it ends the request, charged by its estimate.
///
/// A permit that is not given back holds a place of its workspace until the request's deadline at
/// its owner, and for ever at this router.
#[derive(Debug)]
pub struct HeldPermit {
    held: Option<Held>,
}

/// What a permit of a workspace with limits holds.
#[derive(Debug)]
struct Held {
    service: Arc<LimitsService>,
    permit: Permit,
    limits: Limits,
    lender: Option<Name>,
}

impl HeldPermit {
    /// Makes the permit of a workspace without limits.
    pub(super) fn unlimited() -> Self {
        Self { held: None }
    }

    /// Makes a permit; `lender` is the router to be told of its end.
    pub(super) fn limited(
        service: Arc<LimitsService>,
        permit: Permit,
        limits: Limits,
        lender: Option<Name>,
    ) -> Self {
        Self { held: Some(Held { service, permit, limits, lender }) }
    }

    /// Ends the request and replaces its estimate by the tokens used.
    pub fn settle(mut self, used_tokens: u64) {
        if let Some(held) = &mut self.held {
            held.service.settle(&mut held.permit, &held.limits, used_tokens);
        }
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if let Some(Held { service, permit, lender, .. }) = self.held.take() {
            service.release(permit, lender);
        }
    }
}
