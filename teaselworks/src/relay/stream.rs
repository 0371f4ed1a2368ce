//! Passes on an answer while it arrives, and goes on at another upstream where one breaks off.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::upstream::RequestOutcome;
use tokio::time::{Instant, Sleep};

use super::EventSplitter;
use super::attempt::{Answer, Attempt};
use super::body::{BodyError, OutgoingBody};
use super::in_flight::InFlightRequest;
use super::request_progress::RequestProgress;
use super::serving::{Serving, symptom};
use super::upstream_connection::Connection;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// An answer that has begun.
pub(super) struct Streaming {
    status: StatusCode,
    headers: HeaderMap,
    source: Source,
    first: Bytes,
}

/// Where an answer comes from at the moment.
struct Source {
    body: Incoming,
    connection: Connection,
    closes: bool,
    in_flight: InFlightRequest,
}

impl Streaming {
    /// Takes an answer of which `first` was read already.
    pub(super) fn new(answer: Answer, in_flight: InFlightRequest, first: Bytes) -> Self {
        let Answer { status, headers, facts, body, connection } = answer;
        let source = Source { body, connection, closes: facts.closes_connection, in_flight };
        Self { status, headers, source, first }
    }

    fn has_events(&self) -> bool {
        let media_type = self.headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
        media_type.is_some_and(|media_type| media_type.starts_with(EVENT_STREAM.as_bytes()))
    }
}

/// Answers with the head of an answer and a body that passes on the rest.
pub(super) fn respond(
    streaming: Streaming,
    mut serving: Serving,
    progress: RequestProgress,
) -> Response<OutgoingBody> {
    serving.release_request();
    let splitter = streaming.has_events().then(EventSplitter::default);
    let remaining = serving.prepared.deadline.remaining(serving.shared.now());
    let Streaming { status, headers, source, first } = streaming;
    let relay = StreamRelay {
        first: Some(first).filter(|first| !first.is_empty()),
        status,
        source: Some(source),
        splitter,
        deadline: Box::pin(tokio::time::sleep(remaining)),
        silence: Box::pin(tokio::time::sleep(serving.prepared.route.silence_timeout())),
        last_at: serving.shared.now(),
        serving,
        progress,
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
            Ok(None) => {
                relay.finish();
                None
            }
            Err(error) => {
                relay.break_off(error);
                Some((Err(error), None))
            }
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer on its way.
struct StreamRelay {
    first: Option<Bytes>,
    status: StatusCode,
    source: Option<Source>,
    splitter: Option<EventSplitter>,
    /// Fires at the end of the request's time. One timer for the whole answer: one for each event
    /// would cost more than passing it on.
    deadline: Pin<Box<Sleep>>,
    /// Fires when the answer may have been silent for too long; set again from the last arrival only
    /// then.
    silence: Pin<Box<Sleep>>,
    last_at: Duration,
    serving: Serving,
    progress: RequestProgress,
}

impl StreamRelay {
    /// Returns what is to be sent next, or the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let data = match self.arriving().await? {
                Some(data) => data,
                None if self.has_part() => {
                    self.resume(Failure::Broken).await?;
                    continue;
                }
                None => return Ok(None),
            };
            let data = match &mut self.splitter {
                Some(splitter) => splitter.push(&data).ok_or(BodyError::TooLarge)?,
                None => data,
            };
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Returns what arrives next, from another upstream where this one breaks off.
    async fn arriving(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            let Some(source) = &mut self.source else { return Err(BodyError::Broken) };
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                () = &mut self.deadline => return Err(BodyError::Deadline),
                () = &mut self.silence => {
                    self.on_silence().await?;
                    continue;
                }
            };
            self.last_at = self.serving.shared.now();
            match frame {
                None if source.connection.was_cut() => self.resume(Failure::Broken).await?,
                None => return Ok(None),
                // Trailers are for one connection only.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Ok(Some(data)),
                    Err(_trailers) => {}
                },
                Some(Err(_)) => self.resume(Failure::Broken).await?,
            }
        }
    }

    /// Goes on elsewhere where the answer has been silent for too long and may be resumed.
    async fn on_silence(&mut self) -> Result<(), BodyError> {
        let longest = self.serving.prepared.route.silence_timeout();
        let now = self.serving.shared.now();
        let silent = now.saturating_sub(self.last_at);
        if silent < longest {
            self.silence.as_mut().reset(Instant::now() + (longest - silent));
            return Ok(());
        }
        self.silence.as_mut().reset(Instant::now() + longest);
        if self.splitter.is_some() && self.serving.takes_repeat() {
            self.resume(Failure::Silent).await?;
            self.last_at = self.serving.shared.now();
        }
        Ok(())
    }

    fn has_part(&self) -> bool {
        self.splitter.as_ref().is_some_and(EventSplitter::has_partial_event)
    }

    /// Goes on at another upstream after the last whole event.
    async fn resume(&mut self, mut failure: Failure) -> Result<(), BodyError> {
        // The connection is closed before another upstream goes on with the work.
        if let Some(mut source) = self.source.take() {
            source.in_flight.set_outcome(RequestOutcome::NoAnswer);
        }
        let Some(splitter) = &mut self.splitter else { return Err(BodyError::Broken) };
        splitter.discard_partial_event();
        let last_id = splitter.last_id().map(str::to_owned);
        loop {
            self.serving.next(failure, true).map_err(|_| BodyError::Broken)?;
            let after = last_id.as_deref();
            let placement = self.serving.place(after).map_err(|_| BodyError::Broken)?;
            let mut in_flight = self.serving.in_flight(&placement);
            let (body, size_bytes) = self.serving.body.for_attempt().ok_or(BodyError::Broken)?;
            let mut attempt = Attempt {
                shared: &self.serving.shared,
                prepared: &self.serving.prepared,
                upstream: &placement.upstream,
                holder: placement.holder,
                last_event_id: after,
                was_sent: false,
            };
            let answer = match attempt.run(body, size_bytes).await {
                Ok(answer) if answer.status == self.status => answer,
                Ok(_) => {
                    in_flight.set_outcome(RequestOutcome::Error);
                    failure = Failure::Failed;
                    continue;
                }
                Err(attempt_failure) => {
                    in_flight.set_outcome(symptom(attempt_failure));
                    failure = attempt_failure;
                    continue;
                }
            };
            if let Some(load) = answer.facts.load {
                in_flight.on_load_report(load);
            }
            let Answer { facts, body, connection, .. } = answer;
            self.source =
                Some(Source { body, connection, closes: facts.closes_connection, in_flight });
            return Ok(());
        }
    }

    /// Ends an answer that is whole, and keeps its connection.
    fn finish(self) {
        let Self { source, serving, progress, status, .. } = self;
        let Some(Source { mut in_flight, connection, closes, body }) = source else { return };
        drop(body);
        in_flight.set_outcome(RequestOutcome::Answered);
        let attempts = serving.attempts();
        progress.answered(status.as_u16(), in_flight.upstream(), attempts);
        if !closes {
            connection.release(serving.shared.now());
        }
    }

    /// Ends an answer that is not whole; its caller sees a broken connection.
    fn break_off(self, cause: BodyError) {
        let Self { source, serving, progress, .. } = self;
        let upstream = source.as_ref().map(|source| source.in_flight.upstream().clone());
        if let Some(mut source) = source.filter(|_| cause != BodyError::Deadline) {
            source.in_flight.set_outcome(RequestOutcome::NoAnswer);
        }
        progress.broken(cause, upstream.as_deref().unwrap_or(""), serving.attempts());
    }
}
