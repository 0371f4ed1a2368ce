//! A stream of events to one caller, which may join the runs of several upstreams, and its log lines.

use std::sync::Arc;

use bytes::Bytes;
use teaselworks_policy::retry::Failure;

use super::event_splitter::{EventSplitter, SplitError};
use super::in_flight::InFlightRequest;
use super::request::PreparedRequest;
use super::shared::Shared;
use crate::event;
use crate::metrics::{ResumptionOutcome, StreamEnding};
use crate::platform::headers::ResponseMetadata;

/// Number of characters to which identifiers of events are cut in the log.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// Where a run of the request takes place.
#[derive(Clone, Default)]
struct Run {
    upstream: Arc<str>,
    service: Arc<str>,
    version: Arc<str>,
}

impl Run {
    fn of(in_flight: &InFlightRequest) -> Self {
        Self {
            upstream: in_flight.upstream().clone(),
            service: in_flight.service().clone(),
            version: in_flight.version().cloned().unwrap_or_default(),
        }
    }
}

/// A resumption whose first event has not come yet.
struct Resumption {
    /// How the run before ended; `None` if that was in another answer.
    failure: Option<Failure>,
    from: Run,
}

/// The events of an answer. If it is dropped before its ending was set, the caller has left.
pub(super) struct EventStream {
    shared: Arc<Shared>,
    request: Arc<str>,
    fingerprint: u64,
    /// Identifier of the event after which the caller resumes the stream, cut for the log.
    caller_after: Option<Box<str>>,
    splitter: EventSplitter,
    /// Version of the weights that the head of an answer states.
    weight_version: Option<Box<str>>,
    /// Identifier of the first event, cut for the log.
    first_id: Option<Box<str>>,
    /// Number of runs that brought an event.
    runs: u32,
    run: Run,
    resumption: Option<Resumption>,
    ending: StreamEnding,
}

impl EventStream {
    /// Creates the stream that the answer of an attempt begins.
    pub(super) fn new(
        shared: Arc<Shared>,
        prepared: &PreparedRequest,
        in_flight: &InFlightRequest,
        weight_version: Option<Box<str>>,
    ) -> Self {
        let after = prepared.resumed_after();
        Self {
            shared,
            request: prepared.metadata.id.clone(),
            fingerprint: prepared.fingerprint,
            caller_after: after.map(|id| shorten(id).into()),
            splitter: EventSplitter::resuming(after),
            weight_version,
            first_id: None,
            runs: 0,
            run: Run::of(in_flight),
            resumption: after.map(|_| Resumption { failure: None, from: Run::default() }),
            ending: StreamEnding::CallerLeft,
        }
    }

    /// Adds received bytes and returns the events that are now complete; empty if none is.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SplitError> {
        let had_begun = self.splitter.has_run_begun();
        let events = self.splitter.push(bytes);
        if events == Err(SplitError::NotContinued) {
            self.end_resumption(ResumptionOutcome::NotContinued);
        } else if !had_begun && self.splitter.has_run_begun() {
            self.on_run_began();
        }
        events
    }

    fn on_run_began(&mut self) {
        self.runs += 1;
        if self.runs == 1 {
            self.first_id = self.splitter.first_id().map(|id| shorten(id).into());
        }
        self.end_resumption(ResumptionOutcome::Continued);
    }

    /// Returns whether an incomplete event is buffered.
    pub(super) fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    /// Returns whether another upstream can be told where to go on.
    pub(super) fn can_resume(&self) -> bool {
        self.splitter.can_resume()
    }

    /// Returns the identifier of the last event that was forwarded; `None` if it has none.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Returns the version of the weights that wrote the last event, if it is known.
    pub(super) fn weight_version(&self) -> Option<&str> {
        self.splitter.weight_version().or(self.weight_version.as_deref())
    }

    /// Records that the current run broke off, and discards its incomplete event.
    pub(super) fn on_broken(&mut self) {
        self.splitter.discard_partial_event();
        self.end_resumption(ResumptionOutcome::NoEvent);
    }

    /// Records the outcome of the current run if it resumes the stream.
    fn end_resumption(&mut self, outcome: ResumptionOutcome) {
        if let Some(resumption) = self.resumption.take() {
            let to = self.run.clone();
            self.log_resumption(&resumption, &to, outcome, "");
        }
    }

    /// Records an attempt to resume the stream after a `failure`, to which no answer came that can.
    /// `in_flight` is missing if nothing was sent.
    pub(super) fn on_not_resumed(
        &self,
        failure: Failure,
        in_flight: Option<&InFlightRequest>,
        cause: &str,
    ) {
        let resumption = Resumption { failure: Some(failure), from: self.run.clone() };
        let (to, outcome) = match in_flight {
            Some(in_flight) => (Run::of(in_flight), ResumptionOutcome::Failed),
            None => (Run::default(), ResumptionOutcome::Refused),
        };
        self.log_resumption(&resumption, &to, outcome, cause);
    }

    /// Records that an answer resumes the stream after a `failure` of the run before.
    pub(super) fn on_resumed(
        &mut self,
        failure: Failure,
        in_flight: &InFlightRequest,
        metadata: &ResponseMetadata,
    ) {
        self.weight_version =
            self.weight_version.take().or_else(|| metadata.weight_version.clone());
        let from = std::mem::replace(&mut self.run, Run::of(in_flight));
        self.resumption = Some(Resumption { failure: Some(failure), from });
        self.splitter.start_run();
    }

    /// Sets how the stream ended.
    pub(super) fn set_ending(&mut self, ending: StreamEnding) {
        self.ending = ending;
    }

    fn log_resumption(
        &self,
        resumption: &Resumption,
        to: &Run,
        outcome: ResumptionOutcome,
        cause: &str,
    ) {
        self.shared.metrics.add_stream_resumption(outcome);
        let from = &resumption.from;
        let after = match outcome {
            // The next run has not started.
            ResumptionOutcome::Failed | ResumptionOutcome::Refused => self.splitter.last_id(),
            _ => self.splitter.after(),
        };
        let first_id = match outcome {
            ResumptionOutcome::Continued | ResumptionOutcome::NotContinued => {
                self.splitter.first_id()
            }
            _ => None,
        };
        event::STREAM_RESUMED.log(&[
            event::text("request", &self.request),
            event::text("fingerprint", &format_args!("{:x}", self.fingerprint)),
            event::text("failure", &resumption.failure.map_or("", Failure::as_str)),
            event::text("from_upstream", &from.upstream),
            event::text("from_service", &from.service),
            event::text("from_version", &from.version),
            event::text("to_upstream", &to.upstream),
            event::text("to_service", &to.service),
            event::text("to_version", &to.version),
            event::text("after_event", &shorten(after.unwrap_or(""))),
            event::text("first_event", &shorten(first_id.unwrap_or(""))),
            event::text("outcome", &outcome.as_str()),
            event::text("cause", &cause),
        ]);
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.end_resumption(ResumptionOutcome::NoEvent);
        self.shared.metrics.add_stream(self.ending, self.runs);
        // Of a stream that one run brought whole, `request_answered` tells as much.
        let is_plain = self.ending == StreamEnding::Whole && self.runs <= 1;
        if is_plain && self.caller_after.is_none() {
            return;
        }
        event::STREAM_ENDED.log(&[
            event::text("request", &self.request),
            event::text("fingerprint", &format_args!("{:x}", self.fingerprint)),
            event::text("upstream", &self.run.upstream),
            event::text("service", &self.run.service),
            event::text("version", &self.run.version),
            event::text("after_event", &self.caller_after.as_deref().unwrap_or("")),
            event::text("first_event", &self.first_id.as_deref().unwrap_or("")),
            event::text("last_event", &shorten(self.splitter.last_id().unwrap_or(""))),
            event::number("events", self.splitter.event_count()),
            event::number("runs", self.runs.into()),
            event::text("ending", &self.ending.as_str()),
        ]);
    }
}

/// Cuts an identifier for the log.
fn shorten(id: &str) -> &str {
    id.char_indices().nth(MAX_LOGGED_ID_CHARS).map_or(id, |(end, _)| &id[..end])
}
