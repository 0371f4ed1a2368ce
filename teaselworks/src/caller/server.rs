//! The callers' port: admission to the router, then the route of the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::{Stream, stream};
use poem::http::{HeaderMap, StatusCode};
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, get, handler, post};
use teaselworks_config::configuration::key::KeyIndex;
use teaselworks_config::configuration::{Configuration, Workspace};
use teaselworks_config::settings::LimitSettings;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{call, chat, error, header, model};
use crate::caller::refusal_response;
use crate::connection::breakable;
use crate::dispatch::{Answer, AnswerPart, Dispatcher, Routing};
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Metrics;

/// Time that an error event gets to leave before its connection breaks off.
const LAST_WORD: Duration = Duration::from_millis(20);
/// Milliseconds after which a caller may return to a router that was full or stopping.
const RETURN_AFTER_MS: u64 = 1_000;

/// What the callers' port needs of the process.
pub struct CallerSettings {
    /// Name of this router.
    pub router: Name,
    /// Incarnation of this router.
    pub incarnation: u64,
    /// Limits on what callers send.
    pub limits: LimitSettings,
}

/// The callers' port of one router.
pub struct Callers {
    settings: CallerSettings,
    dispatcher: Arc<Dispatcher>,
    metrics: Arc<Metrics>,
    shutdown: Shutdown,
    requests: Arc<Semaphore>,
    sequence: AtomicU64,
}

/// A caller that was let in: who it is and what is in force for it.
pub struct Admitted {
    /// Workspace of the presented key.
    pub workspace: Name,
    /// Configuration and tables in force when the request came.
    pub routing: Arc<Routing>,
    /// Identity of the request's first attempt.
    pub attempt: AttemptId,
    /// Held until the answer has ended.
    pub permit: OwnedSemaphorePermit,
}

impl Admitted {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.routing.numbered.configuration
    }

    /// Returns the workspace's configuration.
    pub fn workspace_configuration(&self) -> &Workspace {
        &self.configuration().workspaces[&self.workspace]
    }
}

impl Callers {
    /// Makes the port of one router.
    pub fn new(
        settings: CallerSettings,
        dispatcher: Arc<Dispatcher>,
        metrics: Arc<Metrics>,
        shutdown: Shutdown,
    ) -> Arc<Self> {
        let requests = Arc::new(Semaphore::new(settings.limits.requests as usize));
        let sequence = AtomicU64::new(1);
        Arc::new(Self { settings, dispatcher, metrics, shutdown, requests, sequence })
    }

    /// Returns the routes of the callers' port.
    pub fn routes(self: &Arc<Self>) -> impl Endpoint + use<> {
        Route::new()
            .at("/v1/chat/completions", post(chat_completions))
            .at("/v1/models", get(models))
            .at("/services/:service", service_call)
            .at("/services/:service/*path", service_call)
            .at("/health", get(health_check))
            .data(self.clone())
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> &LimitSettings {
        &self.settings.limits
    }

    /// Returns the dispatcher.
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.dispatcher
    }

    fn next_attempt(&self) -> AttemptId {
        AttemptId {
            router: self.settings.router.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            attempt: 0,
        }
    }

    fn admit(&self, headers: &HeaderMap, attempt: AttemptId) -> Result<Admitted, Refusal> {
        if self.shutdown.phase() >= ShutdownPhase::Draining {
            let detail = "The router is stopping; another one takes the request.";
            return Err(Refusal::not_run(RefusalReason::Stopping, Some(0), detail));
        }
        self.check_header_size(headers)?;
        let permit = self.requests.clone().try_acquire_owned().map_err(|_| {
            let detail = "The router has too many requests in progress.";
            Refusal::not_run(RefusalReason::Overloaded, Some(RETURN_AFTER_MS), detail)
        })?;
        let routing = self.dispatcher.routing();
        if routing.numbered.version == 0 {
            let detail = "No configuration is in force yet.";
            let retry_after_ms = Some(RETURN_AFTER_MS);
            return Err(Refusal::not_run(RefusalReason::NoConfiguration, retry_after_ms, detail));
        }
        let workspace = authorize(&routing.keys, headers)?;
        Ok(Admitted { workspace, routing, attempt, permit })
    }

    fn check_header_size(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let size_bytes: usize =
            headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if size_bytes <= self.settings.limits.header_size_bytes as usize {
            return Ok(());
        }
        let detail = "The headers are too large.";
        Err(Refusal::not_run(RefusalReason::TooLarge, None, detail))
    }

    fn refuse(&self, refusal: &Refusal, request_id: &str) -> Response {
        self.metrics.add_refusal(refusal.reason, refusal.verdict);
        event::REQUEST_REFUSED.log(format_args!(
            "request={request_id} reason={} verdict={}",
            refusal.reason, refusal.verdict
        ));
        refusal_response(refusal, request_id)
    }

    async fn answer(&self, admitted: Result<Answer, Refusal>, request_id: &str) -> Response {
        let mut answer = match admitted {
            Ok(answer) => answer,
            Err(refusal) => return self.refuse(&refusal, request_id),
        };
        match answer.parts.recv().await {
            Some(AnswerPart::Head(head)) => stream_response(head, answer, request_id),
            Some(AnswerPart::Refusal(refusal)) => self.refuse(&refusal, request_id),
            Some(AnswerPart::Data(_) | AnswerPart::End) | None => {
                unreachable!("the dispatcher begins each answer with a head or a refusal")
            }
        }
    }
}

fn authorize(keys: &KeyIndex, headers: &HeaderMap) -> Result<Name, Refusal> {
    let workspace = header::bearer(headers).and_then(|key| keys.find(key));
    workspace.ok_or_else(|| {
        let detail = "The request needs a key that a workspace holds.";
        Refusal::not_run(RefusalReason::Unauthorized, None, detail)
    })
}

fn stream_response(
    head: teaselworks_wire::message::ReplyHead,
    answer: Answer,
    request_id: &str,
) -> Response {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status).header("x-request-id", request_id);
    for header in &head.headers {
        response = response.header(header.name.as_str(), header.value.as_str());
    }
    let request_id = request_id.to_owned();
    response.body(breakable(body_stream(answer, request_id)))
}

/// How far the body of an answer has been sent.
enum BodyState {
    /// Parts come.
    Open(Answer),
    /// Everything that could be told was sent; the connection is broken off next.
    Broken,
    /// Nothing follows.
    Ended,
}

/// Streams the parts of an answer.
///
/// An answer that cannot be completed must not look complete: the stream then ends with an error,
/// which breaks the connection off before the body's end, after an error event where the body is
/// a stream of events.
fn body_stream(
    answer: Answer,
    request_id: String,
) -> impl Stream<Item = Result<bytes::Bytes, std::io::Error>> {
    let events = answer.events;
    // Shared, since it is at hand for each part, and needed for a refusal alone.
    let request_id: Arc<str> = request_id.into();
    stream::unfold(BodyState::Open(answer), move |state| {
        let request_id = request_id.clone();
        async move {
            let mut answer = match state {
                BodyState::Open(answer) => answer,
                BodyState::Broken => {
                    // Whatever is not on its way when the connection breaks is lost.
                    tokio::time::sleep(LAST_WORD).await;
                    return Some((Err(cut()), BodyState::Ended));
                }
                BodyState::Ended => return None,
            };
            match answer.parts.recv().await {
                Some(AnswerPart::Data(bytes)) => Some((Ok(bytes), BodyState::Open(answer))),
                Some(AnswerPart::Refusal(refusal)) if events => {
                    Some((Ok(error_event(&refusal, &request_id)), BodyState::Broken))
                }
                Some(AnswerPart::End) => None,
                Some(AnswerPart::Refusal(_) | AnswerPart::Head(_)) | None => {
                    Some((Err(cut()), BodyState::Ended))
                }
            }
        }
    })
}

fn error_event(refusal: &Refusal, request_id: &str) -> bytes::Bytes {
    let body = error::error_body(refusal, request_id);
    format!("event: error\ndata: {body}\n\n").into()
}

fn cut() -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::ConnectionAborted, "the answer is not whole")
}

#[handler]
async fn chat_completions(request: &Request, body: Body, callers: Data<&Arc<Callers>>) -> Response {
    let attempt = callers.next_attempt();
    let request_id = attempt.request_id();
    let answer = match callers.admit(request.headers(), attempt) {
        Ok(admitted) => chat::start(callers.0, admitted, request.headers(), body).await,
        Err(refusal) => Err(refusal),
    };
    callers.answer(answer, &request_id).await
}

#[handler]
async fn service_call(request: &Request, body: Body, callers: Data<&Arc<Callers>>) -> Response {
    let attempt = callers.next_attempt();
    let request_id = attempt.request_id();
    let answer = match callers.admit(request.headers(), attempt) {
        Ok(admitted) => call::start(callers.0, admitted, request, body).await,
        Err(refusal) => Err(refusal),
    };
    callers.answer(answer, &request_id).await
}

#[handler]
async fn models(request: &Request, callers: Data<&Arc<Callers>>) -> Response {
    let attempt = callers.next_attempt();
    let request_id = attempt.request_id();
    match callers.admit(request.headers(), attempt) {
        Ok(admitted) => model::list(&admitted),
        Err(refusal) => callers.refuse(&refusal, &request_id),
    }
}

#[handler]
async fn health_check(callers: Data<&Arc<Callers>>) -> Response {
    health(&callers.shutdown)
}

/// Answers the balancer's health check: 200 while serving, 503 from the start of a planned stop.
pub fn health(shutdown: &Shutdown) -> Response {
    match shutdown.phase() {
        ShutdownPhase::Running => Response::builder().status(StatusCode::OK).body("ok\n"),
        _ => Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("stopping\n"),
    }
}
