//! One request of a caller, from its head to the head of its answer.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselworks_policy::configuration::Kind;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::upstream::RequestOutcome;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::Shared;
use super::attempt::{Answer, Attempt};
use super::body::{self, OutgoingBody};
use super::in_flight::InFlightRequest;
use super::io::Activity;
use super::request::{self, RequestBody};
use super::request_progress::RequestProgress;
use super::serving::{Serving, symptom};
use super::stream::{self, Streaming};
use crate::platform::headers;

/// Time after which a caller that came before the configuration was known should come back: a
/// router that starts knows it within a fraction of a second.
const START_RETRY: std::time::Duration = std::time::Duration::from_millis(500);
/// Largest answer that is held until it is whole, so that one that breaks off can be had again or
/// be told from a whole one.
const HELD_ANSWER_SIZE_BYTES: usize = 256 << 10;

/// Answers one request; tells `activity` where all of it was read.
pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    activity: &Activity,
) -> Response<OutgoingBody> {
    let (head, incoming) = request.into_parts();
    let facts = match headers::parse_request_headers(&head.headers) {
        Ok(facts) => facts,
        Err(_) => {
            let progress = RequestProgress::begin(shared, "".into());
            return refuse(progress, None, &plain(RefusalReason::Malformed), 0, None);
        }
    };
    let id = facts.id.clone();
    let mut progress = RequestProgress::begin(shared.clone(), id.clone());
    let Some(configuration) = shared.configuration().await else {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration, Some(START_RETRY));
        return refuse(progress, Some(&id), &refusal, 0, None);
    };
    let version = Some(configuration.version);
    let mut prepared = match request::check(head, facts, &configuration, shared.now()) {
        Ok(prepared) => prepared,
        Err(reason) => return refuse(progress, Some(&id), &plain(reason), 0, version),
    };
    progress.set_route(prepared.route.name.clone(), prepared.route.kind);
    if let Err(refusal) = shared.admit(&prepared.route.name, &prepared.deadline) {
        return refuse(progress, Some(&id), &refusal, 0, version);
    }
    prepared.is_late = shared.fleet().on_request(
        shared.now(),
        &prepared.service,
        &prepared.route,
        prepared.facts.deadline,
    );
    let body = request::read_body(incoming, &prepared.headers, &configuration.limits).await;
    if body.as_ref().is_ok_and(RequestBody::is_buffered) {
        activity.set_reusable(true);
    }
    match body {
        Ok(body) => Serving::new(shared, prepared, configuration, body).run(progress).await,
        Err(reason) => refuse(progress, Some(&id), &plain(reason), 0, version),
    }
}

fn plain(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, None)
}

fn refuse(
    progress: RequestProgress,
    id: Option<&str>,
    refusal: &Refusal,
    attempts: u32,
    version: Option<u64>,
) -> Response<OutgoingBody> {
    progress.refused(refusal, attempts, version);
    let status = StatusCode::from_u16(refusal.http_status());
    let mut response = Response::new(body::from_bytes(Bytes::new()));
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() = headers::router_response_headers(id, refusal.retry_after);
    response
}

/// An answer that an upstream gave whole.
struct Whole {
    upstream: Arc<str>,
    status: StatusCode,
    headers: HeaderMap,
    bytes: Bytes,
}

/// What an attempt brought.
enum Received {
    Whole(Whole),
    Begun(Box<Streaming>),
    Failed(Failure, Option<Whole>),
}

impl Serving {
    async fn run(mut self, mut progress: RequestProgress) -> Response<OutgoingBody> {
        // The last failure that an upstream answered itself; it is passed on where nothing better
        // follows.
        let mut failed: Option<Whole> = None;
        loop {
            let placement = match self.place(None) {
                Ok(placement) => placement,
                Err(refusal) => return self.give_up(progress, failed, refusal),
            };
            let in_flight = self.in_flight(&placement);
            let Some((body, size_bytes)) = self.body.for_attempt() else {
                let refusal = Refusal::may_have_run(RefusalReason::UpstreamFailed);
                return self.give_up(progress, failed, refusal);
            };
            let mut attempt = Attempt {
                shared: &self.shared,
                prepared: &self.prepared,
                upstream: &placement.upstream,
                holder: placement.holder,
                last_event_id: None,
                was_sent: false,
            };
            let answer = {
                let silence = self.prepared.route.silence_timeout();
                let mut running = std::pin::pin!(attempt.run(body, size_bytes));
                match tokio::time::timeout(silence, running.as_mut()).await {
                    Ok(answer) => answer,
                    Err(_) if self.takes_repeat() => Err(Failure::Silent),
                    Err(_) => running.await,
                }
            };
            let (failure, whole) = match self.receive(answer, in_flight, &mut progress).await {
                Received::Whole(whole) => return self.pass_on(progress, whole),
                Received::Begun(streaming) => return stream::respond(*streaming, self, progress),
                Received::Failed(failure, whole) => (failure, whole),
            };
            failed = whole.or(failed);
            if let Err(refusal) = self.next(failure, false) {
                return self.give_up(progress, failed, refusal);
            }
        }
    }

    /// Judges what came back, and reads a whole answer to its end.
    async fn receive(
        &mut self,
        answer: Result<Answer, Failure>,
        mut in_flight: InFlightRequest,
        progress: &mut RequestProgress,
    ) -> Received {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                in_flight.set_outcome(symptom(failure));
                return Received::Failed(failure, None);
            }
        };
        progress.record_first_byte();
        in_flight.on_first_byte();
        if let Some(load) = answer.facts.load {
            in_flight.on_load_report(load);
        }
        let is_stream = self.prepared.route.kind == Kind::Stream && answer.status.is_success();
        if is_stream {
            return Received::Begun(Box::new(Streaming::new(answer, in_flight, Bytes::new())));
        }
        self.read_whole(answer, in_flight).await
    }

    async fn read_whole(&mut self, mut answer: Answer, mut in_flight: InFlightRequest) -> Received {
        let mut bytes = BytesMut::new();
        loop {
            let remaining = self.prepared.deadline.remaining(self.shared.now());
            let frame = tokio::time::timeout(remaining, answer.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if !answer.connection.was_cut() => break,
                Ok(None | Some(Err(_))) | Err(_) => {
                    in_flight.set_outcome(RequestOutcome::NoAnswer);
                    return Received::Failed(Failure::Broken, None);
                }
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > HELD_ANSWER_SIZE_BYTES {
                return Received::Begun(Box::new(Streaming::new(
                    answer,
                    in_flight,
                    bytes.freeze(),
                )));
            }
        }
        let Answer { status, headers, facts, connection, .. } = answer;
        if !facts.closes_connection {
            connection.release(self.shared.now());
        }
        let upstream = in_flight.upstream().clone();
        let whole = Whole { upstream, status, headers, bytes: bytes.freeze() };
        if !status.is_server_error() && !is_promise(status) {
            in_flight.set_outcome(RequestOutcome::Answered);
            return Received::Whole(whole);
        }
        in_flight.set_outcome(RequestOutcome::Error);
        Received::Failed(Failure::Failed, Some(whole))
    }

    fn give_up(
        self,
        progress: RequestProgress,
        failed: Option<Whole>,
        refusal: Refusal,
    ) -> Response<OutgoingBody> {
        if let Some(whole) = failed.filter(|whole| !is_promise(whole.status)) {
            return self.pass_on(progress, whole);
        }
        let refusal = self.honest(refusal);
        let version = Some(self.configuration.version);
        refuse(progress, Some(&self.prepared.facts.id), &refusal, self.attempts(), version)
    }

    fn pass_on(&self, progress: RequestProgress, whole: Whole) -> Response<OutgoingBody> {
        progress.answered(whole.status.as_u16(), &whole.upstream, self.attempts());
        let mut response = Response::new(body::from_bytes(whole.bytes));
        *response.status_mut() = whole.status;
        *response.headers_mut() = whole.headers;
        response
    }
}

/// Tells whether callers take a status as a promise that the request was not run.
fn is_promise(status: StatusCode) -> bool {
    [408, 421, 429, 503].contains(&status.as_u16())
}
