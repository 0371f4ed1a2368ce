//! Sends a request to a replica, or through another router while no replica of its service can be
//! reached from this one.

use std::net::SocketAddr;
use std::time::Duration;

use teaselworks_policy::retry::Failure;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::attempt::{Answer, Attempt, Recipient};
use super::in_flight::InFlightRequest;
use super::origin::Origin;
use super::request_state::RequestState;
use crate::event;

/// Maximum number of routers that are queried to forward one request.
const MAX_DETOURS: usize = 8;
/// Number of checks for silence within the silence timeout. The timeout counts from the first check
/// after the request was written, so that a replica may be silent for up to an eighth longer.
const SILENCE_CHECKS: u32 = 8;
/// Shortest time between two checks for silence, so that a route without a target latency, whose
/// silence timeout is zero, does not check without pause.
const MIN_SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The result of one attempt, at a replica or through another router.
pub(super) struct Dispatched {
    pub(super) answer: Result<Answer, Failure>,
    pub(super) in_flight: InFlightRequest,
}

/// Where a stream that is resumed goes on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Resumption<'a> {
    /// Identifier of the last complete event.
    pub(super) after: Option<&'a str>,
    /// Version of the weights that wrote it.
    pub(super) weight_version: Option<&'a str>,
}

impl RequestState {
    /// Makes one attempt. Returns a refusal if there is nothing to send the request to.
    ///
    /// `resumption` is given if the answer has begun.
    pub(super) async fn dispatch(
        &mut self,
        resumption: Option<Resumption<'_>>,
    ) -> Result<Dispatched, Refusal> {
        let now = self.shared.now();
        // A request that is sent without any time left may be read by a replica that then has no
        // time to reject it.
        if self.prepared.deadline.remaining(now).is_zero() {
            return Err(self.unsent(RefusalReason::Deadline));
        }
        if resumption.is_none() {
            self.admit_attempt()?;
        }
        let max_retry_after = self.prepared.deadline.max_retry_after(now);
        let (id, fingerprint) = (&self.prepared.metadata.id, self.prepared.fingerprint);
        self.shared.admit_fingerprint(id, fingerprint, max_retry_after)?;
        // The router that the caller sent the request to may have begun the answer.
        let stated = match self.origin {
            Origin::Caller => None,
            Origin::Router { .. } => self.prepared.metadata.weight_version.clone(),
        };
        let mut resumption = resumption.unwrap_or_default();
        resumption.weight_version = resumption.weight_version.or(stated.as_deref());
        if !self.shared.fleet().needs_detour(now, &self.prepared.service) {
            let dispatched = self.send_to_replica(resumption).await?;
            if !self.has_failed_for_link(&dispatched) {
                return Ok(dispatched);
            }
        }
        match self.origin {
            Origin::Caller => {
                self.admit_detour(resumption.after)?;
                self.send_through_router(resumption).await
            }
            Origin::Router { .. } => Err(self.unsent(RefusalReason::Unreachable)),
        }
    }

    /// Returns whether nothing was sent because no new connection to a replica can be opened.
    fn has_failed_for_link(&self, dispatched: &Dispatched) -> bool {
        dispatched.answer.as_ref().is_err_and(|failure| !failure.was_sent())
            && self.shared.fleet().is_link_down(&self.prepared.service)
    }

    async fn send_to_replica(&mut self, resumption: Resumption<'_>) -> Result<Dispatched, Refusal> {
        let placement = self.place(resumption.after)?;
        let in_flight = self.track_in_flight(&placement);
        let (body, size_bytes) =
            self.body.for_attempt().ok_or(Refusal::may_have_run(RefusalReason::UpstreamFailed))?;
        let recipient =
            Recipient::Replica { upstream: &placement.upstream, holder: placement.holder };
        // A stream that is resumed has begun: its caller gets no status any more.
        let reply_wait =
            if resumption.after.is_some() { Duration::ZERO } else { self.reply_wait() };
        let mut attempt =
            Attempt::new(&self.shared, &self.prepared, recipient, resumption, reply_wait);
        if resumption.after.is_some() {
            let answer = attempt.run(body, size_bytes).await;
            return Ok(Dispatched { answer, in_flight });
        }
        let check_interval = (self.prepared.route.silence_timeout() / SILENCE_CHECKS)
            .max(MIN_SILENCE_CHECK_INTERVAL);
        let mut silent_checks = 0;
        let record = attempt.record();
        let mut answer = std::pin::pin!(attempt.run(body, size_bytes));
        let answer = loop {
            match tokio::time::timeout(check_interval, answer.as_mut()).await {
                Ok(answer) => break answer,
                // A replica that got nothing is not silent, and opening a connection has a timeout of
                // its own.
                Err(_) if !record.is_written() => {}
                // The request may have been written just before the first check that shows it.
                Err(_) if silent_checks < SILENCE_CHECKS => silent_checks += 1,
                Err(_) if self.try_take_silence_retry() => break Err(Failure::Silent),
                Err(_) => break answer.await,
            }
        };
        Ok(Dispatched { answer, in_flight })
    }

    /// Asks one router after the other to forward the request, until one has taken it.
    async fn send_through_router(
        &mut self,
        resumption: Resumption<'_>,
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
            let reply_wait =
                if resumption.after.is_some() { Duration::ZERO } else { self.reply_wait() };
            let mut attempt =
                Attempt::new(&self.shared, &self.prepared, recipient, resumption, reply_wait);
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
