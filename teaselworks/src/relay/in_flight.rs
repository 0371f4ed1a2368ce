//! Counts a request as in flight at an upstream until its attempt ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::crash::{ReplicaEnd, SharedParts, WRITING_TIME};
use teaselworks_policy::placement::Placement;
use teaselworks_policy::upstream::{Incarnation, LoadReport, RequestOutcome};

use super::Shared;
use super::request::PreparedRequest;
use crate::event;
use crate::metrics::CrashAttribution;

/// What the crash of a replica is attributed to.
pub(super) struct RequestIdentity {
    /// Identifier that the caller gave to this attempt of its request.
    pub(super) id: Arc<str>,
    /// Hash of what the answer is computed from.
    pub(super) fingerprint: u64,
    /// Parts of the prompt that other requests may share, if the upstream is an engine.
    pub(super) parts: Option<SharedParts>,
}

/// A request that counts as in flight at an upstream.
///
/// Dropping it ends the attempt: it reports the outcome and the duration to the fleet's state.
pub(super) struct InFlightRequest {
    shared: Arc<Shared>,
    service: Arc<str>,
    incarnation: Incarnation,
    /// Software version of the upstream; `None` if another router forwards the request.
    version: Option<Arc<str>>,
    started_at: Duration,
    outcome: Option<RequestOutcome>,
    /// Whether another router forwards the request, so that it says nothing about an upstream.
    is_at_router: bool,
    /// The request; `None` if another router forwards it.
    request: Option<RequestIdentity>,
    /// When the head of the answer arrived.
    first_byte_at: Option<Duration>,
    /// Whether the answer has been written for long enough to speak for the parts of the prompt.
    is_written: bool,
    /// Whether the answer resumes a stream that broke off, so that it is only a part of the answer.
    is_resumed: bool,
}

impl InFlightRequest {
    /// Takes over a placement, which already counted the request at its upstream.
    pub(super) fn new(
        shared: Arc<Shared>,
        service: Arc<str>,
        placement: &Placement,
        request: RequestIdentity,
    ) -> Self {
        let started_at = shared.now();
        Self {
            shared,
            service,
            incarnation: placement.upstream.incarnation(),
            version: Some(placement.upstream.version.clone()),
            started_at,
            outcome: None,
            is_at_router: false,
            request: Some(request),
            first_byte_at: None,
            is_written: false,
            is_resumed: false,
        }
    }

    /// Tracks a request that the router at `address` forwards.
    pub(super) fn at_router(shared: Arc<Shared>, service: Arc<str>, address: SocketAddr) -> Self {
        let started_at = shared.now();
        let incarnation = Incarnation { id: address.to_string().into(), address, started: None };
        Self {
            shared,
            service,
            incarnation,
            version: None,
            started_at,
            outcome: None,
            is_at_router: true,
            request: None,
            first_byte_at: None,
            is_written: false,
            is_resumed: false,
        }
    }

    /// Returns whether another router forwards the request.
    pub(super) fn is_at_router(&self) -> bool {
        self.is_at_router
    }

    /// Returns the identifier of the upstream.
    pub(super) fn upstream(&self) -> &Arc<str> {
        &self.incarnation.id
    }

    /// Returns the service that the request is for.
    pub(super) fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Returns the software version of the upstream; `None` if another router forwards the request.
    pub(super) fn version(&self) -> Option<&Arc<str>> {
        self.version.as_ref()
    }

    /// Sets the outcome of the request. Without one, the attempt says nothing about the health of
    /// the upstream.
    pub(super) fn set_outcome(&mut self, outcome: RequestOutcome) {
        if outcome == RequestOutcome::Answered {
            self.on_written();
        }
        self.outcome = Some(outcome);
    }

    /// Takes back the outcome of an attempt that was taken for ended.
    pub(super) fn clear_outcome(&mut self) {
        self.outcome = None;
    }

    /// Records that the answer to the request is complete, and the slot time that it took if a replica
    /// gave the whole answer.
    pub(super) fn on_complete(&mut self, request: &PreparedRequest) {
        self.set_outcome(RequestOutcome::Answered);
        if let Some(request) = &self.request {
            self.shared.on_request_answered(request.fingerprint, self.started_at);
        }
        if self.is_at_router || self.is_resumed {
            return;
        }
        let slot_time = self.shared.now().saturating_sub(self.started_at);
        let ratio =
            self.shared.fleet().on_slot_time(&request.route.name, request.prompt(), slot_time);
        self.shared.metrics.record_demand_error(ratio);
    }

    /// Records that the upstream broke off, which a part of the prompt may have caused if the answer
    /// had not been written for a while.
    ///
    /// If the replica has ended, that counts against the request, whatever was written. Returns once
    /// another router remembers that, so that it precedes the next attempt of this router or the caller.
    pub(super) async fn on_broken(&self) {
        let Some(request) = &self.request else { return };
        let attribution = self.attribution(request);
        let end = ReplicaEnd {
            incarnation: self.incarnation.hash(),
            sent_at: self.started_at,
            ended_at: self.shared.now(),
            has_begun: self.first_byte_at.is_some(),
        };
        if let (Some(parts), CrashAttribution::Parts) = (&request.parts, attribution) {
            self.shared.on_crashed(parts, end.incarnation, end.sent_at);
        }
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let (incarnation, fingerprint) = (self.incarnation.clone(), request.fingerprint);
        // The caller may leave meanwhile, which cancels everything else.
        let recording = shared.record_if_ended(service, incarnation, fingerprint, end);
        let recording = tokio::spawn(recording);
        let has_ended = recording.await.unwrap_or(false);
        self.log_broken(request, attribution, has_ended);
    }

    /// Returns what the end of the attempt is attributed to.
    fn attribution(&self, request: &RequestIdentity) -> CrashAttribution {
        // Requests also break off where the router's own link fails.
        if self.shared.fleet().is_link_down(&self.service) {
            CrashAttribution::Link
        } else if request.parts.is_none() {
            CrashAttribution::NoParts
        } else if self.is_written {
            CrashAttribution::Written
        } else {
            CrashAttribution::Parts
        }
    }

    fn log_broken(
        &self,
        request: &RequestIdentity,
        attribution: CrashAttribution,
        has_ended: bool,
    ) {
        let now = self.shared.now();
        let written = self.first_byte_at.map(|at| now.saturating_sub(at));
        self.shared.metrics.add_broken_attempt(attribution);
        event::ATTEMPT_BROKEN.log(&[
            event::text("request", &request.id),
            event::text("fingerprint", &format_args!("{:x}", request.fingerprint)),
            event::text("upstream", &self.incarnation.id),
            event::text("service", &self.service),
            event::text("attribution", &attribution.as_str()),
            event::text("has_ended", &has_ended),
            event::number("sent_ms", now.saturating_sub(self.started_at).as_millis() as u64),
            event::text("written_ms", &written.map_or(-1, |time| time.as_millis() as i64)),
        ]);
    }

    /// Records that the answer was written for a while, or is complete.
    fn on_written(&mut self) {
        let parts = self.request.as_ref().and_then(|request| request.parts.as_ref());
        let Some(parts) = parts.filter(|_| !self.is_written) else { return };
        self.is_written = true;
        self.shared.on_written(parts, self.first_byte_at.unwrap_or(self.started_at));
    }

    /// Records that the head of the answer arrived, and after what time.
    pub(super) fn on_first_byte(&mut self) {
        if self.is_at_router {
            return;
        }
        let now = self.shared.now();
        self.first_byte_at = Some(now);
        self.shared.fleet().on_first_byte(now, &self.service, now.saturating_sub(self.started_at));
    }

    /// Records that an answer arrived that resumes a stream. Its wait is no measure of that of new
    /// requests.
    pub(super) fn on_resumed(&mut self) {
        self.is_resumed = true;
        self.first_byte_at = Some(self.shared.now());
    }

    /// Records that a part of the body arrived.
    pub(super) fn on_data(&mut self) {
        if self.is_at_router {
            return;
        }
        let now = self.shared.now();
        self.shared.fleet().on_data(now, &self.service);
        if self.first_byte_at.is_some_and(|at| now.saturating_sub(at) >= WRITING_TIME) {
            self.on_written();
        }
    }

    /// Records the load that the upstream reported with its answer.
    pub(super) fn on_load_report(&self, report: LoadReport) {
        let now = self.shared.now();
        self.shared.fleet().on_load_report(now, &self.service, &self.incarnation, report);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.is_at_router {
            return;
        }
        let now = self.shared.now();
        let elapsed = now.saturating_sub(self.started_at);
        let is_ejected = self.shared.fleet().on_attempt_end(
            now,
            &self.service,
            &self.incarnation,
            self.outcome,
            elapsed,
        );
        if is_ejected {
            self.shared.metrics.add_ejection();
            event::UPSTREAM_EJECTED.log(&[
                event::text("upstream", &self.incarnation.id),
                event::text("service", &self.service),
                event::text("reason", &"failed"),
            ]);
        }
    }
}
