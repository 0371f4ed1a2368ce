//! Sends a request elsewhere while an attempt is silent, and gives that attempt up only once another
//! recipient has the request.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use teaselworks_policy::configuration::Kind;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::verdict::Verdict;

use super::attempt::Answer;
use super::dispatch::{Dispatched, PendingAttempt, Resumption};
use super::in_flight::InFlightRequest;
use super::origin::Origin;
use super::request_state::{RequestState, request_outcome};
use super::write_gate::SendRecord;
use crate::event;

/// Number of checks for silence within the silence timeout. The timeout counts from the first check
/// after the request was written, so that a replica may be silent for up to an eighth longer.
const SILENCE_CHECKS: u32 = 8;
/// Shortest time between two checks for silence, so that a route without a target latency, whose
/// silence timeout is zero, does not check without pause.
const MIN_SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Time in which a recipient says that it does not take a request that was written to it. Engines
/// must not go on with a request for long after another one has begun to.
const TAKEOVER_TIME: Duration = Duration::from_millis(200);
/// Time between two checks of whether a request was written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What ends the time in which both a silent attempt and another one may answer.
enum First {
    /// The answer of the silent attempt began, or it failed.
    Silent(Result<Box<Answer>, Failure>),
    /// The other attempt has ended; `None` if there is nothing to send the request to.
    Elsewhere(Option<Box<Dispatched>>),
    /// The other recipient has taken the request.
    Taken,
}

/// Waits until a request was written to a recipient that did not reject it at once.
pub(super) async fn taken_over(record: &SendRecord) {
    loop {
        while !record.is_written() {
            tokio::time::sleep(WRITE_CHECK_INTERVAL).await;
        }
        tokio::time::sleep(TAKEOVER_TIME).await;
        // An idle connection that turned out to be closed is replaced by a new one.
        if record.is_written() {
            return;
        }
    }
}

impl RequestState {
    /// Waits for the answer of an attempt at a replica. If that is silent, sends the request
    /// elsewhere as well, as long as there is a place for it.
    pub(super) async fn await_answer(
        &mut self,
        mut attempt: PendingAttempt,
        resumption: &Resumption,
    ) -> Dispatched {
        if resumption.after.is_some() {
            let answer = attempt.answer.await;
            return Dispatched { answer, in_flight: attempt.in_flight };
        }
        let check_interval = (self.prepared.route.silence_timeout() / SILENCE_CHECKS)
            .max(MIN_SILENCE_CHECK_INTERVAL);
        let (mut silent_checks, mut max_silent_checks) = (0, SILENCE_CHECKS);
        loop {
            match tokio::time::timeout(check_interval, attempt.answer.as_mut()).await {
                Ok(answer) => return Dispatched { answer, in_flight: attempt.in_flight },
                // A replica that got nothing is not silent, and opening a connection has a timeout of
                // its own.
                Err(_) if !attempt.record.is_written() => continue,
                // The request may have been written just before the first check that shows it.
                Err(_) if silent_checks < max_silent_checks => {
                    silent_checks += 1;
                    continue;
                }
                Err(_) => {}
            }
            attempt = match self.replace_silent(attempt, resumption).await {
                Ok(dispatched) => return dispatched,
                Err(attempt) => attempt,
            };
            silent_checks = 0;
            max_silent_checks *= 2;
        }
    }

    /// Sends the request elsewhere while a silent attempt may still be answered. Returns that attempt
    /// as the error if it goes on.
    async fn replace_silent(
        &mut self,
        mut attempt: PendingAttempt,
        resumption: &Resumption,
    ) -> Result<Dispatched, PendingAttempt> {
        let record = SendRecord::default();
        let may_run_at_both = self.may_run_at_both();
        let mut elsewhere = self.send_elsewhere(resumption, &record);
        let first = tokio::select! {
            biased;
            answer = attempt.answer.as_mut() => First::Silent(answer.map(Box::new)),
            dispatched = elsewhere.as_mut() => First::Elsewhere(dispatched),
            () = taken_over(&record), if !may_run_at_both => First::Taken,
        };
        let PendingAttempt { mut answer, mut in_flight, record: attempt_record } = attempt;
        let (failure, dispatched) = match first {
            First::Silent(Ok(answer)) => {
                drop(elsewhere);
                self.on_silence_ended(&record);
                return Ok(Dispatched { answer: Ok(*answer), in_flight });
            }
            First::Silent(Err(failure)) => (failure, elsewhere.await),
            First::Taken => {
                // Closes the connection, so that the replica stops.
                drop(answer);
                (Failure::Silent, elsewhere.await)
            }
            First::Elsewhere(Some(dispatched)) if dispatched.answer.is_ok() => {
                drop(elsewhere);
                // An error is no place: the silent replica gets as much time again to do better.
                let patience = self.prepared.route.silence_timeout();
                if dispatched.is_error()
                    && let Ok(Ok(answer)) = tokio::time::timeout(patience, answer.as_mut()).await
                {
                    return Ok(Dispatched { answer: Ok(answer), in_flight });
                }
                (Failure::Silent, Some(dispatched))
            }
            First::Elsewhere(dispatched) => {
                drop(elsewhere);
                self.on_not_taken(dispatched).await;
                return Err(PendingAttempt { answer, in_flight, record: attempt_record });
            }
        };
        let Some(dispatched) = dispatched else {
            // Counted again when the failure is.
            self.runs -= 1;
            return Ok(Dispatched { answer: Err(failure), in_flight });
        };
        if failure == Failure::Silent {
            self.on_abandoned(&in_flight);
        } else if failure.verdict() == Verdict::NotRun {
            self.runs -= 1;
        } else if self.is_break(failure) {
            in_flight.on_broken().await;
        }
        in_flight.set_outcome(request_outcome(failure));
        Ok(*dispatched)
    }

    /// Returns whether a silent replica may still answer after another one has taken the request. A slow
    /// service would answer nothing in time if each attempt began anew. Engines must not go on with a
    /// request that another one works on.
    fn may_run_at_both(&self) -> bool {
        let route = &self.prepared.route;
        route.kind == Kind::Idempotent && !route.has_prompts
    }

    /// Sends the request elsewhere while an attempt is silent, which counts as a run from then on.
    /// Returns `None` if there is no place for it, or no retry is allowed.
    pub(super) fn send_elsewhere<'a>(
        &'a mut self,
        resumption: &'a Resumption,
        record: &SendRecord,
    ) -> BoxFuture<'a, Option<Box<Dispatched>>> {
        self.runs += 1;
        let record = record.clone();
        async move {
            let has_begun = resumption.after.is_some();
            if !self.may_be_sent_elsewhere() || self.admit_attempt(has_begun).is_err() {
                return None;
            }
            let now = self.shared.now();
            if self.shared.fleet().needs_detour(now, &self.prepared.service) {
                let is_caller = self.origin == Origin::Caller;
                let is_admitted =
                    is_caller && self.admit_detour(resumption.after.as_deref()).is_ok();
                if !is_admitted || !self.try_take_silence_retry(has_begun) {
                    return None;
                }
                return self.send_through_router(resumption, record).await.ok().map(Box::new);
            }
            let (placement, in_flight) = self.place(resumption.after.as_deref()).ok()?;
            if !self.try_take_silence_retry(has_begun) {
                return None;
            }
            let attempt = self.start_attempt(&placement, in_flight, resumption, record).ok()?;
            Some(Box::new(self.await_answer(attempt, resumption).await))
        }
        .boxed()
    }

    /// Records that the answer of a silent attempt arrived, so that the request is not needed
    /// elsewhere. That may have run it if it was written there.
    pub(super) fn on_silence_ended(&mut self, elsewhere: &SendRecord) {
        if elsewhere.close() {
            self.runs -= 1;
        }
    }

    /// Records that nobody took a request whose silent attempt goes on.
    pub(super) async fn on_not_taken(&mut self, dispatched: Option<Box<Dispatched>>) {
        let Some(dispatched) = dispatched else {
            self.runs -= 1;
            return;
        };
        let Dispatched { answer, mut in_flight } = *dispatched;
        let Err(failure) = answer else { return };
        if failure.verdict() == Verdict::NotRun {
            self.runs -= 1;
        }
        if self.is_break(failure) {
            in_flight.on_broken().await;
        }
        in_flight.set_outcome(request_outcome(failure));
    }

    /// Records that a silent attempt is given up.
    pub(super) fn on_abandoned(&self, in_flight: &InFlightRequest) {
        event::ATTEMPT_ABANDONED.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("upstream", in_flight.upstream()),
            event::text("service", in_flight.service()),
        ]);
    }
}
