//! Sends a request to one upstream or router and waits for the head of the answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::upstream::{Incarnation, Upstream};

use super::Shared;
use super::body::OutgoingBody;
use super::dispatch::Resumption;
use super::origin::MAX_RUNS;
use super::request::PreparedRequest;
use super::upstream_connection::Connection;
use super::write_gate::SendRecord;
use crate::event;
use crate::net::{CONNECT_TIMEOUT, response_head};
use crate::platform::headers::{self, AddedHeaders, ResponseMetadata};

/// The answer of an upstream, whose head was checked to belong to the request.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) metadata: ResponseMetadata,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

/// Where a request is sent.
pub(super) enum Recipient {
    /// A replica of the service.
    Replica {
        upstream: Arc<Upstream>,
        /// Address of an upstream that may have more of the prompt in its key-value cache.
        holder: Option<SocketAddr>,
    },
    /// Another router, which forwards the request to a replica.
    Router {
        address: SocketAddr,
        /// How many times it may have the request run.
        max_runs: u32,
    },
}

impl Recipient {
    /// Returns the key of the recipient's connections.
    fn incarnation(&self) -> Incarnation {
        match self {
            Recipient::Replica { upstream, .. } => upstream.incarnation(),
            Recipient::Router { address, .. } => {
                Incarnation { id: address.to_string().into(), address: *address, started: None }
            }
        }
    }
}

/// One attempt to have a request answered.
pub(super) struct Attempt {
    shared: Arc<Shared>,
    prepared: Arc<PreparedRequest>,
    recipient: Recipient,
    resumption: Resumption,
    /// Time by which the recipient's deadline is shorter than the request's.
    reply_margin: Duration,
    /// Time after the deadline for which the recipient's answer is awaited.
    reply_wait: Duration,
    /// Whether any byte of the request was written.
    record: SendRecord,
}

impl Attempt {
    /// Creates an attempt that is not sent yet. `record` shows whether any byte of it was written.
    pub(super) fn new(
        shared: &Arc<Shared>,
        prepared: &Arc<PreparedRequest>,
        recipient: Recipient,
        resumption: Resumption,
        reply_wait: Duration,
        record: SendRecord,
    ) -> Self {
        let reply_margin = shared.fleet().connect_times.reply_margin();
        Self {
            shared: shared.clone(),
            prepared: prepared.clone(),
            recipient,
            resumption,
            reply_margin,
            reply_wait,
            record,
        }
    }

    /// Sends the request and waits for the head of the answer until the request's deadline, and a
    /// little longer if any of the request was written: the recipient may just be answering that it has
    /// not run it.
    ///
    /// `size_bytes` is the length to send as `content-length` if the body doesn't state it itself.
    pub(super) async fn run(
        mut self,
        body: OutgoingBody,
        size_bytes: Option<u64>,
    ) -> Result<Answer, Failure> {
        let remaining = self.prepared.deadline.remaining(self.shared.now());
        let record = self.record.clone();
        let reply_wait = self.reply_wait;
        let mut exchange = std::pin::pin!(self.exchange(body, size_bytes));
        if let Ok(answer) = tokio::time::timeout(remaining, exchange.as_mut()).await {
            return answer;
        }
        if record.close() {
            return Err(Failure::Unreachable);
        }
        // Counted from now, and not from the deadline: a process that was not scheduled meanwhile has
        // yet to read what has arrived.
        tokio::time::timeout(reply_wait, exchange).await.unwrap_or(Err(Failure::Broken))
    }

    /// Sends the request on an idle connection. If there is none, or it was closed before any byte
    /// of the request was written, opens a new one unless the link to the service is down.
    async fn exchange(
        &mut self,
        body: OutgoingBody,
        size_bytes: Option<u64>,
    ) -> Result<Answer, Failure> {
        let mut request = self.build_request(body, size_bytes);
        let now = self.shared.now();
        let incarnation = self.recipient.incarnation();
        if let Some(connection) = self.shared.connections.take(now, &incarnation).await {
            match self.send(connection, request).await {
                Ok(answer) => return answer,
                // The upstream had closed the connection: no byte of the request was written, so it
                // can be sent on a new connection.
                Err(unsent) => request = *unsent,
            }
        }
        let is_replica = matches!(self.recipient, Recipient::Replica { .. });
        if is_replica && self.shared.fleet().is_link_down(&self.prepared.service) {
            return Err(Failure::Unreachable);
        }
        let connection =
            self.open_connection(&incarnation).await.map_err(|_| Failure::Unreachable)?;
        // Opening the connection has taken some of the time that the headers state.
        headers::set_remaining(request.headers_mut(), self.remaining_upstream());
        match self.send(connection, request).await {
            Ok(answer) => answer,
            Err(_unsent) => Err(Failure::NotSent),
        }
    }

    async fn open_connection(&self, incarnation: &Incarnation) -> io::Result<Connection> {
        match self.recipient {
            Recipient::Replica { .. } => {
                let id = &self.prepared.metadata.id;
                self.shared.open_connection(&self.prepared.service, incarnation, id).await
            }
            Recipient::Router { .. } => {
                self.shared.connections.open(incarnation, CONNECT_TIMEOUT).await
            }
        }
    }

    /// Sends the request on a connection and waits for the head of the answer.
    ///
    /// The outer result is an error, which returns the request, if no byte of it was written. The
    /// inner result is that of the attempt.
    async fn send(
        &mut self,
        mut connection: Connection,
        request: Request<OutgoingBody>,
    ) -> Result<Result<Answer, Failure>, Box<Request<OutgoingBody>>> {
        if connection.sender.ready().await.is_err() {
            return Err(Box::new(request));
        }
        self.record.set_connection(connection.gate.clone());
        let answer = match connection.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                return match error.take_message() {
                    Some(unsent) => Err(Box::new(unsent)),
                    None if self.record.close() => Ok(Err(Failure::NotSent)),
                    None => Ok(Err(Failure::Broken)),
                };
            }
        };
        if let Err(error) = response_head::check(&answer) {
            event::ANSWER_INVALID.log(&[
                event::text("request", &self.prepared.metadata.id),
                event::text("upstream", &self.recipient.incarnation().id),
                event::text("cause", &error),
            ]);
            return Ok(Err(Failure::Foreign));
        }
        let (head, body) = answer.into_parts();
        let metadata = headers::parse_response_headers(head.status.as_u16(), &head.headers);
        connection.set_keep_alive(metadata.keep_alive);
        let checked = self.check_answer(&metadata, head.status);
        if matches!(checked, Ok(()) | Err(Failure::Rejected)) {
            self.on_statements(&metadata);
        }
        if checked == Err(Failure::Rejected) {
            self.on_rejected(&metadata, head.status);
        }
        let headers = headers::caller_response_headers(&head.headers);
        let answer = Answer { status: head.status, headers, metadata, body, connection };
        Ok(checked.map(|()| answer))
    }

    /// Builds the request that is sent to the recipient.
    fn build_request(&self, body: OutgoingBody, size_bytes: Option<u64>) -> Request<OutgoingBody> {
        let prepared = &self.prepared;
        let mut forwarded = match &self.recipient {
            Recipient::Replica { upstream, holder } => {
                self.replica_request_headers(upstream, *holder)
            }
            Recipient::Router { max_runs, .. } => self.router_request_headers(*max_runs),
        };
        if let Some(size) = size_bytes {
            forwarded.insert(header::CONTENT_LENGTH, HeaderValue::from(size));
        }
        let mut request = Request::new(body);
        *request.method_mut() = prepared.method.clone();
        *request.uri_mut() = prepared.target.clone();
        *request.headers_mut() = forwarded;
        request
    }

    /// Returns the time left to state to the recipient.
    fn remaining_upstream(&self) -> Duration {
        self.prepared.deadline.remaining_upstream(self.shared.now(), self.reply_margin)
    }

    fn router_request_headers(&self, max_runs: u32) -> HeaderMap {
        let remaining = self.remaining_upstream();
        let mut headers = headers::router_request_headers(
            &self.prepared.headers,
            remaining,
            self.resumption.after.as_deref(),
            self.resumption.weight_version.as_deref(),
        );
        headers.insert(MAX_RUNS, HeaderValue::from(max_runs));
        headers
    }

    fn replica_request_headers(
        &self,
        upstream: &Upstream,
        holder: Option<SocketAddr>,
    ) -> HeaderMap {
        let prepared = &self.prepared;
        let added = AddedHeaders {
            upstream_id: &upstream.id,
            remaining: self.remaining_upstream(),
            workspace: prepared.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: prepared.route.has_prompts.then(|| prepared.engine_priority(&self.shared)),
            holder,
            last_event_id: self.resumption.after.as_deref(),
            weight_version: self.resumption.weight_version.as_deref(),
        };
        headers::upstream_request_headers(&prepared.headers, &added)
    }

    /// Records what the replica which answered, maybe through another router, says about itself.
    fn on_statements(&self, metadata: &ResponseMetadata) {
        let service = &self.prepared.service;
        let id = match &self.recipient {
            Recipient::Replica { upstream, .. } => Some(&*upstream.id),
            Recipient::Router { .. } => metadata.upstream_id.as_deref(),
        };
        if let Some(id) = id.filter(|_| metadata.is_leaving) {
            self.shared.on_leaving(service, id);
        }
        if let (Some(id), Some(remaining)) = (id, metadata.cold_remaining) {
            self.shared.on_cold(service, id, remaining);
        }
        if let Some(max_rejections) = metadata.max_rejections {
            self.shared.on_brittle(service, max_rejections);
        }
    }

    /// Records the rest that a replica requests, and that a brittle one gets in any case.
    fn on_rejected(&self, metadata: &ResponseMetadata, status: StatusCode) {
        let incarnation = self.recipient.incarnation();
        let now = self.shared.now();
        let service = &self.prepared.service;
        let backoff = self.shared.fleet().on_rejected(now, service, &incarnation);
        if let Some(rest) = metadata.rest {
            self.shared.fleet().on_rest(now, service, &incarnation, rest);
        }
        let rest_ms = metadata.rest.max(backoff).map_or(-1, |rest| rest.as_millis() as i64);
        event::ATTEMPT_REJECTED.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("upstream", &incarnation.id),
            event::number("status", status.as_u16().into()),
            event::text("rest_ms", &rest_ms),
        ]);
    }

    /// Checks that an answer belongs to the request and comes from where it was sent.
    fn check_answer(&self, metadata: &ResponseMetadata, status: StatusCode) -> Result<(), Failure> {
        let id = &self.prepared.metadata.id;
        match self.recipient {
            Recipient::Replica { .. } => check_replica_answer(metadata, status, id),
            Recipient::Router { .. } => check_router_answer(metadata, status, id),
        }
    }
}

/// Checks that an answer belongs to the request, that it comes from an upstream, and that the
/// upstream ran the request.
///
/// An answer can belong to another request: an upstream may send a second answer to an earlier
/// request on a kept-alive connection.
fn check_replica_answer(
    metadata: &ResponseMetadata,
    status: StatusCode,
    request_id: &str,
) -> Result<(), Failure> {
    let is_foreign = match &metadata.id {
        Some(id) => **id != *request_id,
        // An upstream that rejects a request may do so before it has read the identifier.
        None => !metadata.is_not_run,
    };
    if is_foreign {
        return Err(Failure::Foreign);
    }
    if metadata.is_not_run {
        return Err(if metadata.is_misdirected { Failure::Moved } else { Failure::Rejected });
    }
    // The server stamp shows that an answer comes from an upstream, and upstreams never use a
    // content encoding.
    let is_unverified = !metadata.has_server_stamp || metadata.is_encoded;
    if is_unverified && status.is_success() {
        return Err(Failure::Foreign);
    }
    // The body of an answer that is not passed on is not read: it may be of any length.
    if !metadata.has_server_stamp || is_not_run_status(status) {
        return Err(Failure::Failed);
    }
    Ok(())
}

/// Returns whether callers conclude from the status that the request was not run.
pub(super) fn is_not_run_status(status: StatusCode) -> bool {
    [408, 421, 429, 503].contains(&status.as_u16())
}

/// Checks that an answer comes from a router that took the request. A router also passes on its own
/// refusals, which have no server stamp.
fn check_router_answer(
    metadata: &ResponseMetadata,
    status: StatusCode,
    request_id: &str,
) -> Result<(), Failure> {
    if metadata.id.as_deref() != Some(request_id) {
        return Err(Failure::Foreign);
    }
    if metadata.is_misdirected {
        return Err(Failure::Moved);
    }
    if status.is_success() && (!metadata.has_server_stamp || metadata.is_encoded) {
        return Err(Failure::Foreign);
    }
    Ok(())
}
