//! Forwards an answer while it arrives, and resumes a stream of events at another upstream if it
//! breaks off.

mod resumption;

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

use super::attempt::Answer;
use super::body::{BodyError, OutgoingBody};
use super::event_splitter::{EventSplitter, SplitError};
use super::event_stream::EventStream;
use super::in_flight::InFlightRequest;
use super::origin::Origin;
use super::request_progress::RequestProgress;
use super::request_state::RequestState;
use super::upstream_connection::Connection;
use crate::metrics::StreamEnding;
use crate::platform::headers;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// An answer that is forwarded while it arrives.
pub(super) struct StreamingAnswer {
    status: StatusCode,
    headers: HeaderMap,
    source: Source,
    /// Part of the body that was already read.
    buffered: Bytes,
    /// Version of the weights that write the answer, if stated.
    weight_version: Option<Box<str>>,
}

/// Frame of a body, or its end.
type Received = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The upstream connection that an answer currently arrives on.
struct Source {
    body: Incoming,
    connection: Connection,
    /// Whether the upstream closes the connection after this answer.
    is_closing: bool,
    in_flight: InFlightRequest,
}

impl Source {
    /// Returns whether what was received is not a part of the answer or its proper end.
    fn has_broken(&self, received: &Received) -> bool {
        match received {
            Some(frame) => frame.is_err(),
            None => self.connection.was_aborted(),
        }
    }
}

impl StreamingAnswer {
    /// Creates a streaming answer. `buffered` is the part of its body that was already read.
    pub(super) fn new(answer: Answer, in_flight: InFlightRequest, buffered: Bytes) -> Self {
        let Answer { status, headers, metadata, body, connection } = answer;
        let source = Source { body, connection, is_closing: metadata.closes_connection, in_flight };
        Self { status, headers, source, buffered, weight_version: metadata.weight_version }
    }
}

/// Returns whether an answer with these headers is a stream of server-sent events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    media_type.is_some_and(|media_type| media_type.starts_with(EVENT_STREAM.as_bytes()))
}

/// Returns whether a complete body is a whole stream: if it consists of events, it does not end inside
/// one and goes on after the event `after`, if there is one.
pub(super) fn is_whole(headers: &HeaderMap, bytes: &[u8], after: Option<&str>) -> bool {
    if !is_event_stream(headers) {
        return true;
    }
    let mut splitter = EventSplitter::resuming(after);
    splitter.push(bytes).is_ok() && !splitter.has_partial_event()
}

/// Returns the response to the caller: the head of the answer, and a body that forwards the rest.
pub(super) fn respond(
    answer: StreamingAnswer,
    mut request_state: RequestState,
    progress: RequestProgress,
) -> Response<OutgoingBody> {
    let events = is_event_stream(&answer.headers).then(|| {
        let shared = request_state.shared.clone();
        let version = answer.weight_version.clone();
        EventStream::new(shared, &request_state.prepared, &answer.source.in_flight, version)
    });
    request_state.release_request();
    let remaining = request_state.prepared.deadline.remaining(request_state.shared.now());
    // An answer that begins after the deadline is forwarded if it is ready.
    let remaining =
        if remaining.is_zero() { request_state.remaining_for_answer() } else { remaining };
    let StreamingAnswer { status, mut headers, source, buffered, .. } = answer;
    if let Origin::Router { .. } = request_state.origin {
        headers::set_upstream_id(&mut headers, source.in_flight.upstream());
    }
    let relay = StreamRelay {
        buffered: Some(buffered).filter(|buffered| !buffered.is_empty()),
        status,
        source: Some(source),
        received: None,
        events,
        deadline_timer: Box::pin(tokio::time::sleep(remaining)),
        silence_timer: Box::pin(tokio::time::sleep(request_state.prepared.route.silence_timeout())),
        last_arrival: request_state.shared.now(),
        request_state,
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
                relay.abort(error);
                Some((Err(error), None))
            }
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Forwards the body of an answer to the caller.
struct StreamRelay {
    /// Part of the body that was already read and is yet to be forwarded.
    buffered: Option<Bytes>,
    /// Status of the answer.
    status: StatusCode,
    /// `None` between the loss of one upstream and the answer of the next.
    source: Option<Source>,
    /// What a silent upstream sent while the stream was to be resumed elsewhere.
    received: Option<Received>,
    /// Splits the body into complete events; `None` if it is not a stream of events and so can't be
    /// resumed.
    events: Option<EventStream>,
    /// Fires at the request's deadline. There is one timer for the whole answer, since a timer for
    /// each event would cost more than forwarding the event.
    deadline_timer: Pin<Box<Sleep>>,
    /// Fires when the silence timeout may have passed. It is not reset when data arrives; when it
    /// fires, it is reset to the silence timeout after the last arrival.
    silence_timer: Pin<Box<Sleep>>,
    /// Time at which data last arrived.
    last_arrival: Duration,
    request_state: RequestState,
    progress: RequestProgress,
}

impl StreamRelay {
    /// Returns the next data to forward; `None` at the end of the answer. A stream of events that
    /// ends inside an event is resumed at another upstream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let data = match self.next_chunk().await? {
                Some(data) => data,
                None if self.has_partial_event() => {
                    self.resume(Failure::Broken).await?;
                    continue;
                }
                None => return Ok(None),
            };
            let data = match &mut self.events {
                Some(events) => match events.push(&data) {
                    Ok(data) => data,
                    Err(SplitError::TooLarge) => return Err(BodyError::TooLarge),
                    Err(SplitError::NotContinued) => {
                        self.resume(Failure::Foreign).await?;
                        continue;
                    }
                },
                None => data,
            };
            if !data.is_empty() {
                self.on_event();
                return Ok(Some(data));
            }
        }
    }

    /// Records where the stream began if this is its first event.
    fn on_event(&mut self) {
        let source = self.source.as_ref().filter(|_| self.events.is_some());
        let version = source.and_then(|source| source.in_flight.version());
        if let Some(version) = version {
            self.request_state.on_first_event(version);
        }
    }

    /// Returns the next data from the upstream; `None` at the end of the body. Resumes the answer
    /// at another upstream if this one breaks off.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(buffered) = self.buffered.take() {
            return Ok(Some(buffered));
        }
        loop {
            let Some(source) = &mut self.source else { return Err(BodyError::Broken) };
            let frame = match self.received.take() {
                Some(received) => received,
                None => tokio::select! {
                    biased;
                    frame = source.body.frame() => frame,
                    () = &mut self.deadline_timer => return Err(BodyError::Deadline),
                    () = &mut self.silence_timer => {
                        self.on_silence().await?;
                        continue;
                    }
                },
            };
            self.last_arrival = self.request_state.shared.now();
            match frame {
                None if source.connection.was_aborted() => self.resume(Failure::Broken).await?,
                None => return Ok(None),
                // Trailers concern only the upstream connection and are not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        source.in_flight.on_data();
                        return Ok(Some(data));
                    }
                    Err(_trailers) => {}
                },
                Some(Err(_)) => self.resume(Failure::Broken).await?,
            }
        }
    }

    /// Resumes the answer at another upstream if no data has arrived within the silence timeout, a
    /// retry is allowed and there is a place for it. Otherwise sets the timer again.
    async fn on_silence(&mut self) -> Result<(), BodyError> {
        let silence_timeout = self.request_state.prepared.route.silence_timeout();
        let now = self.request_state.shared.now();
        let silent_for = now.saturating_sub(self.last_arrival);
        if silent_for < silence_timeout {
            self.silence_timer.as_mut().reset(Instant::now() + (silence_timeout - silent_for));
            return Ok(());
        }
        self.silence_timer.as_mut().reset(Instant::now() + silence_timeout);
        let is_at_router =
            self.source.as_ref().is_some_and(|source| source.in_flight.is_at_router());
        // The router that forwards the request decides on a silent replica.
        if is_at_router {
            return Ok(());
        }
        let Some(resumption) = self.resumption() else { return Ok(()) };
        self.replace_silent(&resumption).await
    }

    /// Returns whether an incomplete event is buffered.
    fn has_partial_event(&self) -> bool {
        self.events.as_ref().is_some_and(EventStream::has_partial_event)
    }

    /// Records that the answer was forwarded completely, and releases the connection to the
    /// upstream for later requests unless the upstream closes it.
    fn finish(self) {
        let Self { source, events, request_state, progress, status, .. } = self;
        if let Some(mut events) = events {
            events.set_ending(StreamEnding::Whole);
        }
        let Some(Source { mut in_flight, connection, is_closing, body }) = source else { return };
        drop(body);
        in_flight.on_complete(&request_state.prepared);
        let attempts = request_state.attempts();
        progress.answered(status.as_u16(), in_flight.upstream(), attempts);
        if !is_closing {
            connection.release(request_state.shared.now());
        }
    }

    /// Records that the answer is incomplete; the caller's connection is closed before the end of
    /// the body. If the request's deadline passed, no outcome is set: that says nothing about the
    /// health of the upstream.
    fn abort(self, cause: BodyError) {
        let Self { source, events, request_state, progress, .. } = self;
        if let Some(mut events) = events {
            events.set_ending(match cause {
                BodyError::Deadline => StreamEnding::Deadline,
                BodyError::Broken | BodyError::TooLarge => StreamEnding::Broken,
            });
        }
        let upstream = source.as_ref().map(|source| source.in_flight.upstream().clone());
        if let Some(mut source) = source.filter(|_| cause != BodyError::Deadline) {
            source.in_flight.set_outcome(RequestOutcome::NoAnswer);
        }
        progress.broken(cause, upstream.as_deref().unwrap_or(""), request_state.attempts());
    }
}
