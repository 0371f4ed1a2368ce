//! Sends a request to a replica, or through another router while no replica of its service can be
//! reached from this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use teaselworks_policy::placement::Placement;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::attempt::{Answer, Attempt, Recipient};
use super::in_flight::InFlightRequest;
use super::origin::Origin;
use super::request_state::RequestState;
use super::write_gate::SendRecord;
use crate::event;

/// Maximum number of routers that are queried to forward one request.
const MAX_DETOURS: usize = 8;

/// The result of one attempt, at a replica or through another router.
pub(super) struct Dispatched {
    pub(super) answer: Result<Answer, Failure>,
    pub(super) in_flight: InFlightRequest,
}

impl Dispatched {
    /// Returns whether the answer is an error of the recipient.
    pub(super) fn is_error(&self) -> bool {
        self.answer.as_ref().is_ok_and(|answer| answer.status.is_server_error())
    }
}

/// An attempt at a replica whose answer has not begun.
pub(super) struct PendingAttempt {
    pub(super) answer: BoxFuture<'static, Result<Answer, Failure>>,
    pub(super) in_flight: InFlightRequest,
    pub(super) record: SendRecord,
}

/// Where a stream that is resumed goes on.
#[derive(Clone, Debug, Default)]
pub(super) struct Resumption {
    /// Identifier of the last complete event.
    pub(super) after: Option<Arc<str>>,
    /// Version of the weights that wrote it.
    pub(super) weight_version: Option<Arc<str>>,
}

impl RequestState {
    /// Makes one attempt. Returns a refusal if there is nothing to send the request to.
    ///
    /// `resumption` is given if the answer has begun.
    pub(super) async fn dispatch(
        &mut self,
        resumption: Option<Resumption>,
    ) -> Result<Dispatched, Refusal> {
        let now = self.shared.now();
        // A request that is sent without any time left may be read by a replica that then has no
        // time to reject it.
        if self.prepared.deadline.remaining(now).is_zero() {
            return Err(self.unsent(RefusalReason::Deadline));
        }
        self.admit_attempt(resumption.is_some())?;
        let resumption = self.resumption_or_stated(resumption);
        if !self.shared.fleet().needs_detour(now, &self.prepared.service) {
            let (placement, in_flight) = self.place(resumption.after.as_deref())?;
            let record = SendRecord::default();
            let attempt = self.start_attempt(&placement, in_flight, &resumption, record)?;
            let dispatched = self.await_answer(attempt, &resumption).await;
            if !self.has_failed_for_link(&dispatched) {
                return Ok(dispatched);
            }
        }
        match self.origin {
            Origin::Caller => {
                self.admit_detour(resumption.after.as_deref())?;
                self.send_through_router(&resumption, SendRecord::default()).await
            }
            Origin::Router { .. } => Err(self.unsent(RefusalReason::Unreachable)),
        }
    }

    /// Returns where a stream goes on. The router that the caller sent the request to may have begun
    /// the answer, and states the weights that wrote it.
    fn resumption_or_stated(&self, resumption: Option<Resumption>) -> Resumption {
        let stated = match self.origin {
            Origin::Caller => None,
            Origin::Router { .. } => self.prepared.metadata.weight_version.as_deref(),
        };
        let mut resumption = resumption.unwrap_or_default();
        resumption.weight_version = resumption.weight_version.or(stated.map(Arc::from));
        resumption
    }

    /// Returns whether nothing was sent because no new connection to a replica can be opened.
    fn has_failed_for_link(&self, dispatched: &Dispatched) -> bool {
        dispatched.answer.as_ref().is_err_and(|failure| !failure.was_sent())
            && self.shared.fleet().is_link_down(&self.prepared.service)
    }

    /// Sends the request to a replica that was chosen. Fails if the body can't be sent again.
    pub(super) fn start_attempt(
        &mut self,
        placement: &Placement,
        in_flight: InFlightRequest,
        resumption: &Resumption,
        record: SendRecord,
    ) -> Result<PendingAttempt, Refusal> {
        self.on_placed(placement, resumption.after.as_deref());
        let (body, size_bytes) =
            self.body.for_attempt().ok_or(Refusal::may_have_run(RefusalReason::UpstreamFailed))?;
        let recipient =
            Recipient::Replica { upstream: placement.upstream.clone(), holder: placement.holder };
        let attempt = self.new_attempt(recipient, resumption, record.clone());
        Ok(PendingAttempt { answer: Box::pin(attempt.run(body, size_bytes)), in_flight, record })
    }

    fn new_attempt(
        &self,
        recipient: Recipient,
        resumption: &Resumption,
        record: SendRecord,
    ) -> Attempt {
        // A stream that is resumed has begun: its caller gets no status any more.
        let reply_wait =
            if resumption.after.is_some() { Duration::ZERO } else { self.reply_wait() };
        let resumption = resumption.clone();
        Attempt::new(&self.shared, &self.prepared, recipient, resumption, reply_wait, record)
    }

    /// Asks one router after the other to forward the request, until one has taken it.
    pub(super) async fn send_through_router(
        &mut self,
        resumption: &Resumption,
        record: SendRecord,
    ) -> Result<Dispatched, Refusal> {
        for _ in 0..MAX_DETOURS {
            let now = self.shared.now();
            let remaining = self.prepared.deadline.remaining(now);
            if remaining.is_zero() {
                return Err(self.unsent(RefusalReason::Deadline));
            }
            let router = self.shared.fleet().choose_detour(now, &self.prepared.service);
            let (Some(router), Some((body, size_bytes))) = (router, self.body.for_attempt()) else {
                break;
            };
            self.log_detour(router, remaining);
            let recipient = Recipient::Router { address: router, max_runs: self.remaining_runs() };
            let attempt = self.new_attempt(recipient, resumption, record.clone());
            let answer = attempt.run(body, size_bytes).await;
            let is_unavailable = answer
                .as_ref()
                .is_err_and(|failure| !failure.was_sent() || *failure == Failure::Moved);
            if is_unavailable {
                let now = self.shared.now();
                self.shared.fleet().on_detour_unavailable(now, &self.prepared.service, router);
                continue;
            }
            self.hand_over(router);
            let in_flight = InFlightRequest::at_router(
                self.shared.clone(),
                self.prepared.service.clone(),
                router,
            );
            return Ok(Dispatched { answer, in_flight });
        }
        Err(self.unsent(RefusalReason::Unreachable))
    }

    /// Returns the refusal of a request that is not sent to anything, or not again.
    pub(super) fn unsent(&self, reason: RefusalReason) -> Refusal {
        let now = self.shared.now();
        let max_retry_after = self.prepared.deadline.max_retry_after(now);
        let service = &self.prepared.service;
        let retry_after = self.shared.fleet().schedule_retry_after(now, service, max_retry_after);
        Refusal::not_run(reason, Some(retry_after))
    }

    fn log_detour(&self, router: SocketAddr, remaining: Duration) {
        self.shared.metrics.add_detour();
        event::DETOUR_TAKEN.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("service", &self.prepared.service),
            event::text("router", &router),
            event::number("attempt", u64::from(self.attempts()) + 1),
            event::number("remaining_ms", remaining.as_millis() as u64),
        ]);
    }
}
