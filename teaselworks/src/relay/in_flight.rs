//! The count of a request at an upstream, which ends with its last user.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::placement::Placement;
use teaselworks_policy::upstream::{Incarnation, LoadReport, RequestOutcome};

use super::Shared;
use crate::event;

/// A request that is counted at an upstream until this value is dropped.
pub(super) struct InFlight {
    shared: Arc<Shared>,
    service: Arc<str>,
    incarnation: Incarnation,
    began: Duration,
    outcome: Option<RequestOutcome>,
}

impl InFlight {
    /// Takes over the count that placing made.
    pub(super) fn new(shared: Arc<Shared>, service: Arc<str>, placement: &Placement) -> Self {
        let began = shared.now();
        let incarnation = placement.upstream.incarnation();
        Self { shared, service, incarnation, began, outcome: None }
    }

    /// Returns the upstream.
    pub(super) fn upstream(&self) -> &Arc<str> {
        &self.incarnation.id
    }

    /// Notes what became of the request; without it nothing is learnt from it.
    pub(super) fn observe(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }

    /// Notes that the answer has begun.
    pub(super) fn first_byte(&self) {
        let now = self.shared.now();
        self.shared.fleet().on_first_byte(now, &self.service, now.saturating_sub(self.began));
    }

    /// Takes what the upstream said of its load.
    pub(super) fn report(&self, report: LoadReport) {
        let now = self.shared.now();
        self.shared.fleet().on_load_report(now, &self.service, &self.incarnation, report);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let held = now.saturating_sub(self.began);
        let ejected = self.shared.fleet().on_attempt_end(
            now,
            &self.service,
            &self.incarnation,
            self.outcome,
            held,
        );
        if ejected {
            self.shared.metrics.add_ejection();
            event::UPSTREAM_EJECTED.log(&[
                event::text("upstream", &self.incarnation.id),
                event::text("service", &self.service),
                event::text("reason", &"failed"),
            ]);
        }
    }
}
