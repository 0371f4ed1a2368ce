//! One request of a caller, from its head to the head of its answer.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use teaselworks_policy::configuration::{Configuration, Kind};
use teaselworks_policy::placement::{Demand, Placement};
use teaselworks_policy::retry::{Attempts, Failure, Next, RetryReason, decide};
use teaselworks_policy::upstream::Symptom;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use super::Shared;
use super::attempt::{Answer, Attempt};
use super::body::{self, Outgoing};
use super::outcome::Progress;
use super::request::{self, Prepared, RequestBody};
use super::stream::{self, Streaming};
use super::ticket::Ticket;
use crate::event;
use crate::platform::headers;

/// Time after which a caller that came before the configuration was known should come back: a
/// router that starts knows it within a fraction of a second.
const START_RETRY: std::time::Duration = std::time::Duration::from_millis(500);
/// Largest answer that is held until it is whole, so that one that breaks off can be had again or
/// be told from a whole one.
const HELD_ANSWER_SIZE_BYTES: usize = 256 << 10;

/// Answers one request.
pub(super) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Outgoing> {
    let (head, incoming) = request.into_parts();
    let facts = match headers::read_request(&head.headers) {
        Ok(facts) => facts,
        Err(_) => {
            let progress = Progress::begin(shared, "".into());
            return refuse(progress, None, &plain(RefusalReason::Malformed), 0, None);
        }
    };
    let id = facts.id.clone();
    let mut progress = Progress::begin(shared.clone(), id.clone());
    let configuration = shared.fleet().configuration();
    let Some(configuration) = configuration else {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration, Some(START_RETRY));
        return refuse(progress, Some(&id), &refusal, 0, None);
    };
    let version = Some(configuration.version);
    let prepared = match request::check(head, facts, &configuration, shared.now()) {
        Ok(prepared) => prepared,
        Err(reason) => return refuse(progress, Some(&id), &plain(reason), 0, version),
    };
    progress.set_route(prepared.route.name.clone(), prepared.route.kind);
    if let Err(refusal) = shared.admit(&prepared.route.name, &prepared.deadline) {
        return refuse(progress, Some(&id), &refusal, 0, version);
    }
    shared.fleet().on_request(shared.now(), &prepared.service);
    let body = request::read_body(incoming, &prepared.headers, &configuration.limits).await;
    match body {
        Ok(body) => Serving::new(shared, prepared, configuration, body).run(progress).await,
        Err(reason) => refuse(progress, Some(&id), &plain(reason), 0, version),
    }
}

fn plain(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, None)
}

fn refuse(
    progress: Progress,
    id: Option<&str>,
    refusal: &Refusal,
    attempts: u32,
    version: Option<u64>,
) -> Response<Outgoing> {
    progress.refused(refusal, attempts, version);
    let status = StatusCode::from_u16(refusal.http_status());
    let mut response = Response::new(body::whole(Bytes::new()));
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() = headers::own_answer(id, refusal.retry_after);
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
enum Brought {
    Whole(Whole),
    Begun(Box<Streaming>),
    Failed(Failure, Option<Whole>),
}

/// A request that is being served.
pub(super) struct Serving {
    pub(super) shared: Arc<Shared>,
    pub(super) prepared: Prepared,
    configuration: Arc<Configuration>,
    pub(super) body: RequestBody,
    tried: Vec<Arc<str>>,
    runs: u32,
}

impl Serving {
    fn new(
        shared: Arc<Shared>,
        prepared: Prepared,
        configuration: Arc<Configuration>,
        body: RequestBody,
    ) -> Self {
        Self { shared, prepared, configuration, body, tried: Vec::new(), runs: 0 }
    }

    /// Returns the number of upstreams that the request was sent to.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    async fn run(mut self, progress: Progress) -> Response<Outgoing> {
        // The last failure that an upstream answered itself; it is passed on where nothing better
        // follows.
        let mut failed: Option<Whole> = None;
        loop {
            let placement = match self.place(None) {
                Ok(placement) => placement,
                Err(refusal) => return self.give_up(progress, failed, refusal),
            };
            let ticket = self.ticket(&placement);
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
                let silence = self.prepared.route.longest_silence();
                let mut running = std::pin::pin!(attempt.run(body, size_bytes));
                match tokio::time::timeout(silence, running.as_mut()).await {
                    Ok(answer) => answer,
                    Err(_) if self.takes_repeat() => Err(Failure::Silent),
                    Err(_) => running.await,
                }
            };
            let (failure, whole) = match self.receive(answer, ticket, &progress).await {
                Brought::Whole(whole) => return self.pass_on(progress, whole),
                Brought::Begun(streaming) => return stream::respond(*streaming, self, progress),
                Brought::Failed(failure, whole) => (failure, whole),
            };
            failed = whole.or(failed);
            if let Err(refusal) = self.next(failure, false) {
                return self.give_up(progress, failed, refusal);
            }
        }
    }

    /// Chooses an upstream.
    pub(super) fn place(&mut self, resumed_after: Option<&str>) -> Result<Placement, Refusal> {
        let now = self.shared.now();
        let deadline = &self.prepared.deadline;
        let demand = Demand {
            prompt: self.prepared.facts.prompt.as_ref().filter(|_| self.prepared.route.has_prompts),
            zone: &self.shared.zone,
            tried: &self.tried,
            remaining: deadline.remaining(now),
            latest_return: deadline.latest_return(now),
        };
        let mut placement = self.shared.fleet().place(now, &self.prepared.service, &demand)?;
        placement.holder = placement.holder.filter(|_| self.copies_prompts());
        let report_age = placement.report_age.map_or(-1, |age| age.as_millis() as i64);
        event::REQUEST_PLACED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("service", &self.prepared.service),
            event::text("upstream", &placement.upstream.id),
            event::text("reason", &placement.reason.as_str()),
            event::text("load", &format_args!("{:.1}", placement.load)),
            event::text("bound", &format_args!("{:.1}", placement.bound)),
            event::text("report_age_ms", &report_age),
            event::text(
                "holder",
                &placement.holder.map(|address| address.to_string()).as_deref().unwrap_or(""),
            ),
            event::number("attempt", u64::from(self.attempts()) + 1),
            event::number("configuration", self.configuration.version),
            event::number("remaining_ms", deadline.remaining(now).as_millis() as u64),
            event::text("after_event", &resumed_after.unwrap_or("")),
        ]);
        self.tried.push(placement.upstream.id.clone());
        Ok(placement)
    }

    /// Tells whether the engines of the service can copy prompts from each other.
    fn copies_prompts(&self) -> bool {
        let service = self.configuration.services.get(&self.prepared.service);
        service.is_some_and(|service| service.copies_prompts)
    }

    /// Takes over the count of a placement.
    pub(super) fn ticket(&self, placement: &Placement) -> Ticket {
        Ticket::new(self.shared.clone(), self.prepared.service.clone(), placement)
    }

    /// Judges what came back, and reads a whole answer to its end.
    async fn receive(
        &mut self,
        answer: Result<Answer, Failure>,
        mut ticket: Ticket,
        progress: &Progress,
    ) -> Brought {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                ticket.observe(symptom(failure));
                return Brought::Failed(failure, None);
            }
        };
        progress.first_byte();
        if let Some(load) = answer.facts.load {
            ticket.report(load);
        }
        let is_stream = self.prepared.route.kind == Kind::Stream && answer.status.is_success();
        if is_stream {
            return Brought::Begun(Box::new(Streaming::new(answer, ticket, Bytes::new())));
        }
        self.read_whole(answer, ticket).await
    }

    async fn read_whole(&mut self, mut answer: Answer, mut ticket: Ticket) -> Brought {
        let mut bytes = BytesMut::new();
        loop {
            let remaining = self.prepared.deadline.remaining(self.shared.now());
            let frame = tokio::time::timeout(remaining, answer.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if !answer.connection.was_cut() => break,
                Ok(None | Some(Err(_))) | Err(_) => {
                    ticket.observe(Symptom::Broken);
                    return Brought::Failed(Failure::Broken, None);
                }
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > HELD_ANSWER_SIZE_BYTES {
                return Brought::Begun(Box::new(Streaming::new(answer, ticket, bytes.freeze())));
            }
        }
        let Answer { status, headers, facts, connection, .. } = answer;
        if !facts.closes {
            self.shared.connections.give_back(self.shared.now(), connection);
        }
        let upstream = ticket.upstream().clone();
        let whole = Whole { upstream, status, headers, bytes: bytes.freeze() };
        if !status.is_server_error() && !is_promise(status) {
            ticket.observe(Symptom::Answered);
            return Brought::Whole(whole);
        }
        ticket.observe(Symptom::Failed);
        Brought::Failed(Failure::Failed, Some(whole))
    }

    /// Decides what follows a failed attempt, or a stream that broke off; a refusal where nothing
    /// does.
    pub(super) fn next(&mut self, failure: Failure, is_begun: bool) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::MayHaveRun {
            self.runs += 1;
        }
        let now = self.shared.now();
        // A body that was sent on while it arrived is gone: no other upstream can be offered it.
        let offers = if self.body.is_held() { self.attempts() } else { u32::MAX };
        let attempts = Attempts {
            may_repeat: self.prepared.route.may_repeat(),
            offers,
            runs: self.runs,
            max_runs: self.prepared.route.max_attempts,
            remaining: self.prepared.deadline.remaining(now),
        };
        let latest = self.prepared.deadline.latest_return(now);
        let service = &self.prepared.service;
        let mut fleet = self.shared.fleet();
        let retry_after = fleet.return_after(service, latest);
        let (reason, is_repeat) = match decide(failure, &attempts, Some(retry_after)) {
            Next::Retry { is_repeat, .. } if is_begun => (RetryReason::Resumed, is_repeat),
            Next::Retry { reason, is_repeat } => (reason, is_repeat),
            Next::GiveUp(refusal) => {
                drop(fleet);
                self.log_failure(failure, &refusal);
                return Err(refusal);
            }
        };
        let is_paid = failure == Failure::Silent;
        if is_repeat && !is_paid && !fleet.try_repeat(now, service) {
            drop(fleet);
            let refusal = Refusal::not_run(RefusalReason::RetryBudget, Some(retry_after));
            self.log_failure(failure, &refusal);
            return Err(self.honest(refusal));
        }
        drop(fleet);
        self.shared.metrics.add_retry(reason);
        event::ATTEMPT_RETRIED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("reason", &reason.as_str()),
            event::number("attempt", self.attempts().into()),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
        ]);
        Ok(())
    }

    /// Tells whether a silent attempt is given up for another one, and takes that from the retry
    /// budget. Silence alone is no reason to end a request.
    pub(super) fn takes_repeat(&self) -> bool {
        let route = &self.prepared.route;
        let now = self.shared.now();
        let remaining = self.prepared.deadline.remaining(now);
        let has_run_left = self.runs + 1 < route.max_attempts;
        route.may_repeat()
            && self.body.is_held()
            && has_run_left
            && remaining > route.target_latency
            && self.shared.fleet().try_repeat(now, &self.prepared.service)
    }

    /// Logs a failed attempt that no other follows.
    fn log_failure(&self, failure: Failure, refusal: &Refusal) {
        event::ATTEMPT_FAILED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
            event::text("failure", &RetryReason::from(failure).as_str()),
            event::text("verdict", &failure.verdict()),
            event::text("reason", &refusal.reason),
            event::number("attempt", self.attempts().into()),
            event::number("max_runs", self.prepared.route.max_attempts.into()),
        ]);
    }

    /// Turns a refusal into one that does not promise what an earlier attempt may have broken.
    fn honest(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 || refusal.verdict == Verdict::MayHaveRun {
            return refusal;
        }
        Refusal::may_have_run(RefusalReason::UpstreamFailed)
    }

    fn give_up(
        self,
        progress: Progress,
        failed: Option<Whole>,
        refusal: Refusal,
    ) -> Response<Outgoing> {
        if let Some(whole) = failed.filter(|whole| !is_promise(whole.status)) {
            return self.pass_on(progress, whole);
        }
        let refusal = self.honest(refusal);
        let version = Some(self.configuration.version);
        refuse(progress, Some(&self.prepared.facts.id), &refusal, self.attempts(), version)
    }

    fn pass_on(&self, progress: Progress, whole: Whole) -> Response<Outgoing> {
        progress.answered(whole.status.as_u16(), &whole.upstream, self.attempts());
        let mut response = Response::new(body::whole(whole.bytes));
        *response.status_mut() = whole.status;
        *response.headers_mut() = whole.headers;
        response
    }
}

/// Tells whether callers take a status as a promise that the request was not run.
fn is_promise(status: StatusCode) -> bool {
    [408, 421, 429, 503].contains(&status.as_u16())
}

pub(super) fn symptom(failure: Failure) -> Symptom {
    match failure {
        // A replica that is full and one that is ill turn requests away alike; against its peers the
        // ill one does so more often.
        Failure::Rejected | Failure::Failed => Symptom::Failed,
        Failure::Unreachable
        | Failure::NotSent
        | Failure::Moved
        | Failure::Broken
        | Failure::Silent
        | Failure::Foreign => Symptom::Broken,
    }
}
