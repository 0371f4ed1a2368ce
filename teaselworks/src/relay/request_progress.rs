//! Logs and counts each request exactly once, however it ends.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::configuration::Kind;
use teaselworks_policy::durations::SizeClass;
use teaselworks_policy::shares::Class;
use teaselworks_policy::verdict::Refusal;

use super::Shared;
use super::body::BodyError;
use super::origin::Origin;
use super::request::PreparedRequest;
use crate::event;

/// What is known of a request whose head passed all checks.
struct KnownRequest {
    route: Arc<str>,
    kind: Kind,
    service: Arc<str>,
    class: Class,
    size: SizeClass,
    is_late: bool,
}

/// A request in progress.
///
/// If it is dropped before its end was recorded, it is logged and counted as a request whose caller
/// disconnected before the answer was complete.
pub(super) struct RequestProgress {
    shared: Arc<Shared>,
    id: Arc<str>,
    known: Option<KnownRequest>,
    arrived_at: Duration,
    time_to_first_byte: Option<Duration>,
    has_ended: bool,
    origin: Origin,
}

impl RequestProgress {
    /// Counts a request as in progress from now on.
    pub(super) fn begin(shared: Arc<Shared>, id: Arc<str>, origin: Origin) -> Self {
        shared.metrics.add_in_progress(1);
        let arrived_at = shared.now();
        Self {
            shared,
            id,
            known: None,
            arrived_at,
            time_to_first_byte: None,
            has_ended: false,
            origin,
        }
    }

    /// Returns where the request came from.
    pub(super) fn origin(&self) -> Origin {
        self.origin
    }

    /// Sets what is known of the request; what was known before is replaced.
    pub(super) fn set_request(&mut self, request: &PreparedRequest) {
        self.known = Some(KnownRequest {
            route: request.route.name.clone(),
            kind: request.route.kind,
            service: request.service.clone(),
            class: request.class.clone(),
            size: request.size(),
            is_late: request.is_late,
        });
    }

    /// Records the time from the arrival of the request to the head of its answer.
    pub(super) fn record_first_byte(&mut self) {
        let elapsed = self.elapsed();
        self.time_to_first_byte = Some(elapsed);
        self.shared.metrics.record_first_byte(elapsed);
    }

    /// Ends the request with the complete answer of an upstream.
    pub(super) fn answered(mut self, status: u16, upstream: &str, attempts: u32) {
        self.has_ended = true;
        let elapsed = self.elapsed();
        let first_byte = self.time_to_first_byte.unwrap_or(elapsed);
        if let Some(known) = &self.known {
            self.shared.metrics.add_answer(known.kind, elapsed);
            let now = self.shared.now();
            self.shared.fleet().on_answered(now, &known.route, known.size, elapsed);
        }
        event::REQUEST_ANSWERED.log(&[
            event::text("request", &self.id),
            event::text("route", &self.route_name()),
            event::number("status", status.into()),
            event::text("upstream", &upstream),
            event::number("attempts", attempts.into()),
            event::number("first_byte_ms", first_byte.as_millis() as u64),
            event::number("elapsed_ms", elapsed.as_millis() as u64),
        ]);
    }

    /// Ends the request with a refusal by the router.
    pub(super) fn refused(mut self, refusal: &Refusal, attempts: u32, version: Option<u64>) {
        self.has_ended = true;
        self.shared.metrics.add_refusal(refusal);
        let known = self.known.as_ref();
        if let (Some(known), Origin::Caller) = (known, self.origin) {
            let rank = known.class.rank;
            self.shared.metrics.add_refused_request(&known.service, rank, refusal.reason);
        }
        let rank = known.map_or(-1, |known| i32::from(known.class.rank));
        let workspace = known.and_then(|known| known.class.workspace.as_deref()).unwrap_or("");
        let retry_after = refusal.retry_after.unwrap_or_default();
        event::REQUEST_REFUSED.log(&[
            event::text("request", &self.id),
            event::text("route", &self.route_name()),
            event::text("service", &known.map_or("", |known| &*known.service)),
            event::text("rank", &rank),
            event::text("workspace", &workspace),
            event::text("is_late", &known.is_some_and(|known| known.is_late)),
            event::text("reason", &refusal.reason),
            event::text("verdict", &refusal.verdict),
            event::number("status", refusal.http_status().into()),
            event::number("retry_after_ms", retry_after.as_millis() as u64),
            event::number("attempts", attempts.into()),
            event::number("configuration", version.unwrap_or_default()),
            event::number("elapsed_ms", self.elapsed().as_millis() as u64),
        ]);
    }

    /// Ends the request with an incomplete answer; the caller's connection is closed.
    pub(super) fn broken(mut self, cause: BodyError, upstream: &str, attempts: u32) {
        self.has_ended = true;
        self.shared.metrics.add_broken_answer();
        event::ANSWER_BROKEN.log(&[
            event::text("request", &self.id),
            event::text("route", &self.route_name()),
            event::text("cause", &cause),
            event::text("upstream", &upstream),
            event::number("attempts", attempts.into()),
            event::number("elapsed_ms", self.elapsed().as_millis() as u64),
        ]);
    }

    fn route_name(&self) -> &str {
        self.known.as_ref().map_or("", |known| &known.route)
    }

    fn elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.arrived_at)
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        self.shared.metrics.add_in_progress(-1);
        if self.has_ended {
            return;
        }
        self.shared.metrics.add_caller_left();
        event::CALLER_LEFT.log(&[
            event::text("request", &self.id),
            event::text("route", &self.route_name()),
            event::number("elapsed_ms", self.elapsed().as_millis() as u64),
        ]);
    }
}
