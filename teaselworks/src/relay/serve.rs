//! Serves one request of a caller: checks it, sends it to upstreams until one answers, and returns
//! the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselworks_policy::configuration::Kind;
use teaselworks_policy::fleet::CallerRequest;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::stop::Acceptance;
use teaselworks_policy::stream_origin::StreamOrigin;
use teaselworks_policy::upstream::RequestOutcome;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::Shared;
use super::attempt::{Answer, is_not_run_status};
use super::body::{self, OutgoingBody};
use super::dispatch::Dispatched;
use super::in_flight::InFlightRequest;
use super::io::Activity;
use super::origin::Origin;
use super::request::{self, PreparedRequest, RequestBody};
use super::request_progress::RequestProgress;
use super::request_state::{RequestState, request_outcome};
use super::stream::{self, StreamingAnswer};
use crate::kernel::ShutdownPhase;
use crate::platform::headers;

/// Retry-after time of requests that are refused because no configuration is known yet. A router
/// that starts up receives the configuration within a fraction of a second.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry-after time of requests for which this router knows no service or no version of its
/// software. Both become known by a change of the configuration or at another router.
const UNKNOWN_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Size up to which an answer is buffered until it is complete. If a buffered answer breaks off,
/// the request can be retried, or the caller gets an error status instead of a truncated answer.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;
/// Largest answer of which a stopping router passes on only the whole.
const MAX_WHOLE_ANSWER_BYTES: usize = 4 << 20;

/// Serves one request and returns the response.
///
/// Marks the connection as reusable in `activity` if the request body was read to its end.
pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    activity: &Activity,
    origin: Origin,
) -> Response<OutgoingBody> {
    let (head, incoming) = request.into_parts();
    let metadata = match headers::parse_request_headers(&head.headers) {
        Ok(metadata) => metadata,
        Err(_) => {
            let progress = RequestProgress::begin(shared, "".into(), origin);
            return refuse(
                progress,
                None,
                &not_run_refusal(RefusalReason::Malformed, None),
                0,
                None,
            );
        }
    };
    let id = metadata.id.clone();
    let caller_timeout = metadata.deadline;
    let mut progress = RequestProgress::begin(shared.clone(), id.clone(), origin);
    let Some(configuration) = shared.configuration().await else {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration, Some(STARTUP_RETRY_AFTER));
        return refuse(progress, Some(&id), &refusal, 0, None);
    };
    let version = Some(configuration.version);
    let mut prepared = match request::check(head, metadata, &configuration, shared.now()) {
        Ok(prepared) => prepared,
        Err(reason) => {
            let refusal = not_run_refusal(reason, caller_timeout);
            return refuse(progress, Some(&id), &refusal, 0, version);
        }
    };
    progress.set_request(&prepared);
    if let Err(refusal) = shared.admit(&prepared, origin) {
        return refuse(progress, Some(&id), &refusal, 0, version);
    }
    // The router that the caller sent the request to has counted it already.
    if origin == Origin::Caller {
        let request = CallerRequest {
            route: &prepared.route,
            class: &prepared.class,
            prompt: prepared.prompt(),
            timeout: prepared.metadata.deadline,
        };
        prepared.is_late = shared.fleet().on_request(shared.now(), &prepared.service, &request);
        progress.set_request(&prepared);
    }
    let body = request::read_body(incoming, &prepared.headers, &configuration.limits).await;
    if body.as_ref().is_ok_and(RequestBody::is_buffered) {
        activity.set_reusable(true);
    }
    let body = match body {
        Ok(body) => body,
        Err(reason) => {
            let refusal = not_run_refusal(reason, caller_timeout);
            return refuse(progress, Some(&id), &refusal, 0, version);
        }
    };
    prepared.set_fingerprint(&body);
    let stream_origin = match bind_to_origin(&shared, &mut prepared).await {
        Ok(stream_origin) => stream_origin,
        Err(reason) => {
            let refusal = not_run_refusal(reason, caller_timeout);
            return refuse(progress, Some(&id), &refusal, 0, version);
        }
    };
    // The service of a resumed stream is the one that began it.
    progress.set_request(&prepared);
    let state = RequestState::new(shared, prepared, configuration, body, origin, stream_origin);
    state.run(progress).await
}

/// Finds out where the stream began that a request resumes, and sends the request to the service
/// that began it. Returns `None` for a request that resumes no stream.
///
/// # Errors
///
/// - `UnknownStream`: no router is known that can tell, and more than one origin is possible.
/// - `NoReplica`: the route no longer sends requests to that service.
async fn bind_to_origin(
    shared: &Shared,
    prepared: &mut PreparedRequest,
) -> Result<Option<Arc<StreamOrigin>>, RefusalReason> {
    let resumed = match &prepared.metadata.resumed_stream {
        Some(resumed) if prepared.route.is_resumable => resumed.clone(),
        _ => return Ok(None),
    };
    let origin = shared.find_stream_origin(prepared, &resumed).await;
    let origin = origin.ok_or(RefusalReason::UnknownStream)?;
    if !prepared.route.has_target(&origin.service) {
        return Err(RefusalReason::NoReplica);
    }
    prepared.service = origin.service.clone();
    Ok(Some(origin))
}

/// Returns a refusal of a request for which no replica was looked for. It has a retry-after time if
/// its status is 503: at most a third of `caller_timeout`, since the retry needs the rest.
fn not_run_refusal(reason: RefusalReason, caller_timeout: Option<Duration>) -> Refusal {
    let refusal = Refusal::not_run(reason, None);
    let max_retry_after = caller_timeout.map_or(UNKNOWN_TARGET_RETRY_AFTER, |timeout| timeout / 3);
    let is_unavailable = refusal.http_status() == StatusCode::SERVICE_UNAVAILABLE.as_u16();
    let retry_after = is_unavailable.then(|| UNKNOWN_TARGET_RETRY_AFTER.min(max_retry_after));
    Refusal { retry_after, ..refusal }
}

/// Records the refusal and returns the router's own response for it.
fn refuse(
    progress: RequestProgress,
    id: Option<&str>,
    refusal: &Refusal,
    attempts: u32,
    version: Option<u64>,
) -> Response<OutgoingBody> {
    let status = match progress.origin() {
        Origin::Router { .. } if refusal.is_local() => Ok(StatusCode::MISDIRECTED_REQUEST),
        Origin::Caller | Origin::Router { .. } => StatusCode::from_u16(refusal.http_status()),
    };
    progress.refused(refusal, attempts, version);
    let mut response = Response::new(body::from_bytes(Bytes::new()));
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() = headers::router_response_headers(id, refusal.retry_after);
    response
}

/// The complete answer of an upstream.
struct CompleteAnswer {
    upstream: Arc<str>,
    status: StatusCode,
    headers: HeaderMap,
    bytes: Bytes,
}

/// Result of one attempt.
enum AttemptResult {
    /// The answer is complete and can be forwarded.
    Complete(CompleteAnswer),
    /// The answer is forwarded while it arrives.
    Stream(Box<StreamingAnswer>),
    /// The attempt failed, with the error answer of the upstream if a complete one arrived.
    Failed(Failure, Option<CompleteAnswer>),
}

/// How the attempts of a request ended.
enum Outcome {
    /// The answer is complete and can be forwarded.
    Complete(CompleteAnswer),
    /// The answer is forwarded while it arrives.
    Stream(Box<StreamingAnswer>),
    /// No attempt succeeded; the last complete error answer of an upstream is forwarded if there is
    /// one.
    GivenUp(Refusal, Option<CompleteAnswer>),
}

impl RequestState {
    /// Returns the response to the caller: the answer of an upstream, or the router's own.
    ///
    /// An answer that has not begun when a stopping router is about to exit is given up, since the
    /// caller would get nothing otherwise.
    async fn run(mut self, mut progress: RequestProgress) -> Response<OutgoingBody> {
        let shared = self.shared.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.request_answer(&mut progress) => outcome,
            () = shared.shutdown.reached(ShutdownPhase::Closing) => {
                Outcome::GivenUp(self.closing_refusal(), None)
            }
        };
        match outcome {
            Outcome::Complete(answer) => self.forward(progress, answer),
            Outcome::Stream(answer) => stream::respond(*answer, self, progress),
            Outcome::GivenUp(refusal, error_answer) => {
                self.give_up(progress, error_answer, refusal)
            }
        }
    }

    /// Sends the request to one upstream after the other until one answers or no retry is allowed.
    async fn request_answer(&mut self, progress: &mut RequestProgress) -> Outcome {
        // Last complete error answer of an upstream. The caller gets it if no later attempt
        // succeeds.
        let mut last_error_answer: Option<CompleteAnswer> = None;
        loop {
            let dispatched = match self.dispatch(None).await {
                Ok(dispatched) => dispatched,
                Err(refusal) => return Outcome::GivenUp(refusal, last_error_answer),
            };
            let (failure, error_answer) = match self.receive(dispatched, progress).await {
                AttemptResult::Complete(answer) => return Outcome::Complete(answer),
                AttemptResult::Stream(answer) => return Outcome::Stream(answer),
                AttemptResult::Failed(failure, error_answer) => (failure, error_answer),
            };
            last_error_answer = error_answer.or(last_error_answer);
            if let Err(refusal) = self.authorize_retry(failure, false) {
                return Outcome::GivenUp(refusal, last_error_answer);
            }
        }
    }

    /// Returns the result of an attempt. Reads the answer to its end, unless it is the successful
    /// answer of a stream route.
    ///
    /// Also records the outcome of a failed attempt, or the load that the upstream reports with its
    /// answer, in the state of the fleet.
    async fn receive(
        &mut self,
        dispatched: Dispatched,
        progress: &mut RequestProgress,
    ) -> AttemptResult {
        let Dispatched { answer, mut in_flight } = dispatched;
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                if self.is_break(failure) {
                    in_flight.on_broken().await;
                }
                // A replica whose weights have another version is not at fault.
                let is_for_weights =
                    failure == Failure::Moved && self.prepared.metadata.weight_version.is_some();
                if !is_for_weights {
                    in_flight.set_outcome(request_outcome(failure));
                }
                return AttemptResult::Failed(failure, None);
            }
        };
        progress.record_first_byte();
        in_flight.on_first_byte();
        if let Some(load) = answer.metadata.load {
            in_flight.on_load_report(load);
        }
        let is_stream = self.prepared.route.kind == Kind::Stream && answer.status.is_success();
        if !is_stream || self.acceptance != Acceptance::Unchanged {
            return self.read_to_end(answer, in_flight).await;
        }
        // As long as nothing was sent to the caller, an answer that breaks off can end with a status.
        let first_frame = answer.body.frame().now_or_never();
        let buffered = match first_frame {
            Some(Some(Ok(frame))) => {
                in_flight.on_data();
                frame.into_data().unwrap_or_default()
            }
            Some(None) if !answer.connection.was_aborted() => Bytes::new(),
            Some(None | Some(Err(_))) => return self.fail_broken(in_flight).await,
            None => Bytes::new(),
        };
        AttemptResult::Stream(Box::new(StreamingAnswer::new(answer, in_flight, buffered)))
    }

    /// Returns the result of an attempt whose answer broke off before any of it was sent to the caller.
    async fn fail_broken(&mut self, mut in_flight: InFlightRequest) -> AttemptResult {
        if self.is_break(Failure::Broken) {
            in_flight.on_broken().await;
        }
        in_flight.set_outcome(RequestOutcome::NoAnswer);
        AttemptResult::Failed(Failure::Broken, None)
    }

    /// Reads the answer to its end within the time left for it. An answer larger than
    /// [`MAX_BUFFERED_ANSWER_BYTES`] is forwarded while the rest of it arrives, unless the caller may
    /// get only the whole of it.
    ///
    /// A complete answer counts as a failed attempt if its status is a server error, or one from
    /// which callers conclude that the request was not run.
    async fn read_to_end(
        &mut self,
        mut answer: Answer,
        mut in_flight: InFlightRequest,
    ) -> AttemptResult {
        let mut bytes = BytesMut::new();
        loop {
            let remaining = self.remaining_for_answer();
            let frame = tokio::time::timeout(remaining, answer.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if !answer.connection.was_aborted() => break,
                Ok(None | Some(Err(_))) | Err(_) => return self.fail_broken(in_flight).await,
            };
            in_flight.on_data();
            bytes.extend_from_slice(&data);
            let is_whole_only = self.acceptance == Acceptance::WholeAnswerOnly;
            if is_whole_only && bytes.len() > MAX_WHOLE_ANSWER_BYTES {
                return AttemptResult::Failed(Failure::Broken, None);
            }
            if !is_whole_only && bytes.len() > MAX_BUFFERED_ANSWER_BYTES {
                return AttemptResult::Stream(Box::new(StreamingAnswer::new(
                    answer,
                    in_flight,
                    bytes.freeze(),
                )));
            }
        }
        let Answer { status, headers, metadata, connection, .. } = answer;
        if self.prepared.route.kind == Kind::Stream && status.is_success() {
            if !stream::is_whole(&headers, &bytes, self.prepared.resumed_after()) {
                in_flight.set_outcome(RequestOutcome::NoAnswer);
                return AttemptResult::Failed(Failure::Broken, None);
            }
            if let Some(version) = in_flight.version() {
                self.on_first_event(version);
            }
        }
        if !metadata.closes_connection {
            connection.release(self.shared.now());
        }
        let upstream = in_flight.upstream().clone();
        let answer = CompleteAnswer { upstream, status, headers, bytes: bytes.freeze() };
        // The other router has retried the request where that is allowed.
        if in_flight.is_at_router() && !(is_not_run_status(status) && self.has_possible_run()) {
            return AttemptResult::Complete(answer);
        }
        if !status.is_server_error() && !is_not_run_status(status) {
            in_flight.on_complete(&self.prepared);
            return AttemptResult::Complete(answer);
        }
        in_flight.set_outcome(RequestOutcome::Error);
        AttemptResult::Failed(Failure::Failed, Some(answer))
    }

    /// Ends the request without success: forwards the last error answer of an upstream or refuses
    /// the request.
    ///
    /// An error answer whose status means that the request was not run is not forwarded, since the
    /// attempt may have run it.
    fn give_up(
        self,
        progress: RequestProgress,
        last_error_answer: Option<CompleteAnswer>,
        refusal: Refusal,
    ) -> Response<OutgoingBody> {
        if let Some(answer) = last_error_answer.filter(|answer| !is_not_run_status(answer.status)) {
            return self.forward(progress, answer);
        }
        let refusal = self.correct_verdict(refusal);
        let version = Some(self.configuration.version);
        refuse(progress, Some(&self.prepared.metadata.id), &refusal, self.attempts(), version)
    }

    /// Forwards a complete answer to the caller.
    fn forward(&self, progress: RequestProgress, answer: CompleteAnswer) -> Response<OutgoingBody> {
        progress.answered(answer.status.as_u16(), &answer.upstream, self.attempts());
        let mut response = Response::new(body::from_bytes(answer.bytes));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        if let Origin::Router { .. } = self.origin {
            headers::set_upstream_id(response.headers_mut(), &answer.upstream);
        }
        response
    }
}
