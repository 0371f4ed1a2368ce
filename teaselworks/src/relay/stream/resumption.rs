//! Resumes a stream of events at another upstream if it breaks off or its upstream is silent.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::upstream::RequestOutcome;

use super::{Received, Source, StreamRelay, is_event_stream};
use crate::relay::attempt::Answer;
use crate::relay::body::BodyError;
use crate::relay::dispatch::{Dispatched, Resumption};
use crate::relay::request_state::request_outcome;
use crate::relay::silence::taken_over;
use crate::relay::write_gate::SendRecord;

/// What ends the time in which both a silent upstream and another one may go on with a stream.
enum First {
    /// The silent upstream sent something.
    Silent(Received),
    /// The other attempt has ended; `None` if there is nothing to resume the stream at.
    Elsewhere(Option<Box<Dispatched>>),
    /// The other upstream has taken the request.
    Taken,
}

/// Returns why an answer can't resume a stream with this status, which weights of `weight_version` wrote
/// as far as that is known; `None` if it can.
fn mismatch(
    answer: &Answer,
    status: StatusCode,
    weight_version: Option<&str>,
) -> Option<&'static str> {
    let stated = answer.metadata.weight_version.as_deref();
    if answer.status != status {
        Some("status")
    } else if !is_event_stream(&answer.headers) {
        Some("media_type")
    } else if stated.is_some() && weight_version.is_some() && stated != weight_version {
        Some("weight_version")
    } else {
        None
    }
}

impl StreamRelay {
    /// Returns where another upstream would go on; `None` if none can.
    pub(super) fn resumption(&self) -> Option<Resumption> {
        let events = self.events.as_ref().filter(|events| events.can_resume())?;
        Some(Resumption {
            after: events.last_id().map(Arc::from),
            weight_version: events.weight_version().map(Arc::from),
        })
    }

    /// Resumes the stream elsewhere while a silent upstream may still go on with it. That one is given
    /// up once another has the request.
    pub(super) async fn replace_silent(
        &mut self,
        resumption: &Resumption,
    ) -> Result<(), BodyError> {
        let Some(mut source) = self.source.take() else { return Err(BodyError::Broken) };
        // Counts if the caller leaves meanwhile.
        source.in_flight.set_outcome(RequestOutcome::NoAnswer);
        let record = SendRecord::default();
        let mut elsewhere = self.request_state.send_elsewhere(resumption, &record);
        let first = tokio::select! {
            biased;
            received = source.body.frame() => First::Silent(received),
            dispatched = elsewhere.as_mut() => First::Elsewhere(dispatched),
            () = taken_over(&record) => First::Taken,
        };
        let failure = match first {
            First::Silent(received) if !source.has_broken(&received) => {
                drop(elsewhere);
                self.request_state.on_silence_ended(&record);
                source.in_flight.clear_outcome();
                self.received = Some(received);
                self.source = Some(source);
                return Ok(());
            }
            First::Silent(_) => Failure::Broken,
            First::Taken => Failure::Silent,
            First::Elsewhere(Some(dispatched)) if dispatched.answer.is_ok() => {
                drop(elsewhere);
                if self.accept(*dispatched, Failure::Silent, resumption).await.is_ok() {
                    self.request_state.on_abandoned(&source.in_flight);
                    return Ok(());
                }
                source.in_flight.clear_outcome();
                self.source = Some(source);
                return Ok(());
            }
            First::Elsewhere(dispatched) => {
                drop(elsewhere);
                self.log_not_resumed(dispatched.as_deref());
                self.request_state.on_not_taken(dispatched).await;
                source.in_flight.clear_outcome();
                self.source = Some(source);
                return Ok(());
            }
        };
        // Closes the connection, so that the upstream stops before another one goes on.
        let Source { body, connection, in_flight, .. } = source;
        drop((body, connection));
        let dispatched = elsewhere.await;
        if failure == Failure::Silent {
            self.request_state.on_abandoned(&in_flight);
        } else if self.request_state.is_break(failure) {
            in_flight.on_broken().await;
        }
        drop(in_flight);
        if dispatched.is_none() {
            // Counted again when the failure is.
            self.request_state.runs -= 1;
        }
        self.go_on(failure, resumption, dispatched.map(|boxed| *boxed)).await
    }

    /// Logs that no other upstream takes up the stream, which goes on where it is.
    fn log_not_resumed(&self, dispatched: Option<&Dispatched>) {
        let (Some(events), Some(dispatched)) = (&self.events, dispatched) else { return };
        let cause = dispatched.answer.as_ref().err().map_or("", |failure| failure.as_str());
        events.on_not_resumed(Failure::Silent, Some(&dispatched.in_flight), cause);
    }

    /// Resumes the stream at another upstream after the last complete event. Fails if the answer is
    /// not a stream of events or no retry is allowed.
    pub(super) async fn resume(&mut self, failure: Failure) -> Result<(), BodyError> {
        // Closes the connection, so that the old upstream stops before another one resumes.
        if let Some(mut source) = self.source.take() {
            if self.request_state.is_break(failure) {
                source.in_flight.on_broken().await;
            }
            source.in_flight.set_outcome(RequestOutcome::NoAnswer);
        }
        let Some(events) = &mut self.events else { return Err(BodyError::Broken) };
        events.on_broken();
        let Some(resumption) = self.resumption() else {
            if let Some(events) = &self.events {
                events.on_not_resumed(failure, None, "no_event_id");
            }
            return Err(BodyError::Broken);
        };
        self.go_on(failure, &resumption, None).await
    }

    /// Resumes a stream whose upstream was given up after a `failure`. `dispatched` is the first attempt
    /// to do so, if one was made already.
    async fn go_on(
        &mut self,
        mut failure: Failure,
        resumption: &Resumption,
        mut dispatched: Option<Dispatched>,
    ) -> Result<(), BodyError> {
        loop {
            let attempt = match dispatched.take() {
                Some(attempt) => attempt,
                None => self.dispatch(failure, resumption).await?,
            };
            match self.accept(attempt, failure, resumption).await {
                Ok(()) => return Ok(()),
                Err(next) => failure = next,
            }
        }
    }

    /// Makes another attempt to resume a stream after a `failure`, if a retry is allowed.
    async fn dispatch(
        &mut self,
        failure: Failure,
        resumption: &Resumption,
    ) -> Result<Dispatched, BodyError> {
        self.request_state.authorize_retry(failure, true).map_err(|_| BodyError::Broken)?;
        let dispatched = self.request_state.dispatch(Some(resumption.clone())).await;
        dispatched.map_err(|refusal| {
            if let Some(events) = &self.events {
                events.on_not_resumed(failure, None, refusal.reason.as_str());
            }
            BodyError::Broken
        })
    }

    /// Goes on with the answer of an attempt to resume the stream after a `failure`. Returns how the
    /// attempt failed if its answer can't resume the stream.
    async fn accept(
        &mut self,
        dispatched: Dispatched,
        failure: Failure,
        resumption: &Resumption,
    ) -> Result<(), Failure> {
        let Dispatched { answer, mut in_flight } = dispatched;
        let Some(events) = &mut self.events else { return Err(Failure::Broken) };
        let weight_version = resumption.weight_version.as_deref();
        let answer = match answer {
            Ok(answer) => answer,
            Err(attempt_failure) => {
                events.on_not_resumed(failure, Some(&in_flight), attempt_failure.as_str());
                if self.request_state.is_break(attempt_failure) {
                    in_flight.on_broken().await;
                }
                // A replica whose weights have another version is not at fault.
                if attempt_failure != Failure::Moved || weight_version.is_none() {
                    in_flight.set_outcome(request_outcome(attempt_failure));
                }
                return Err(attempt_failure);
            }
        };
        if let Some(cause) = mismatch(&answer, self.status, weight_version) {
            events.on_not_resumed(failure, Some(&in_flight), cause);
            in_flight.set_outcome(RequestOutcome::Error);
            return Err(Failure::Failed);
        }
        // Discards the incomplete event of the run before, which comes again.
        events.on_broken();
        events.on_resumed(failure, &in_flight, &answer.metadata);
        in_flight.on_resumed();
        if let Some(load) = answer.metadata.load {
            in_flight.on_load_report(load);
        }
        let Answer { metadata, body, connection, .. } = answer;
        let is_closing = metadata.closes_connection;
        self.source = Some(Source { body, connection, is_closing, in_flight });
        self.last_arrival = self.request_state.shared.now();
        Ok(())
    }
}
