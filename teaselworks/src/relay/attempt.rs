//! One attempt: a request sent to one upstream, up to the head of its answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::header;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use teaselworks_policy::retry::Failure;
use teaselworks_policy::upstream::{Incarnation, Upstream};

use super::Shared;
use super::body::OutgoingBody;
use super::request::PreparedRequest;
use super::upstream_connection::Connection;
use crate::platform::headers::{self, AddedHeaders, ResponseMetadata};

/// An answer whose head was checked: it belongs to the request.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) facts: ResponseMetadata,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

/// A request on its way to an upstream.
pub(super) struct Attempt<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) prepared: &'a PreparedRequest,
    pub(super) upstream: &'a Upstream,
    /// Upstream that may hold more of the prompt.
    pub(super) holder: Option<SocketAddr>,
    /// Event after which a stream goes on.
    pub(super) last_event_id: Option<&'a str>,
    /// A byte of the request may have been written.
    pub(super) was_sent: bool,
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of its answer until the request's time has passed.
    pub(super) async fn run(
        &mut self,
        body: OutgoingBody,
        size_bytes: Option<u64>,
    ) -> Result<Answer, Failure> {
        let remaining = self.prepared.deadline.remaining(self.shared.now());
        let answer = tokio::time::timeout(remaining, self.exchange(body, size_bytes)).await;
        match answer {
            Ok(answer) => answer,
            Err(_) if self.was_sent => Err(Failure::Broken),
            Err(_) => Err(Failure::Unreachable),
        }
    }

    async fn exchange(
        &mut self,
        body: OutgoingBody,
        size_bytes: Option<u64>,
    ) -> Result<Answer, Failure> {
        let mut request = self.request(body, size_bytes);
        let now = self.shared.now();
        let incarnation = self.upstream.incarnation();
        if let Some(connection) = self.shared.connections.take(now, &incarnation).await {
            match self.send(connection, request).await {
                Ok(answer) => return answer,
                // Its upstream had closed it: the request is whole and goes on a new one.
                Err(unsent) => request = *unsent,
            }
        }
        let connection = self.open(&incarnation).await.map_err(|_| Failure::Unreachable)?;
        match self.send(connection, request).await {
            Ok(answer) => answer,
            Err(_unsent) => Err(Failure::NotSent),
        }
    }

    async fn open(&self, incarnation: &Incarnation) -> io::Result<Connection> {
        let began = self.shared.now();
        let longest = self.shared.fleet().connect_times.timeout();
        let opened = self.shared.connections.open(incarnation, longest).await;
        let took = self.shared.now().saturating_sub(began);
        match &opened {
            Ok(_) => self.shared.fleet().connect_times.on_opened(took),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                self.shared.fleet().connect_times.on_timeout();
            }
            Err(_) => {}
        }
        opened
    }

    /// Sends the request on a connection; returns it where not a byte of it was written.
    async fn send(
        &mut self,
        mut connection: Connection,
        request: Request<OutgoingBody>,
    ) -> Result<Result<Answer, Failure>, Box<Request<OutgoingBody>>> {
        if connection.sender.ready().await.is_err() {
            return Err(Box::new(request));
        }
        self.was_sent = true;
        let answer = match connection.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                let Some(unsent) = error.take_message() else { return Ok(Err(Failure::Broken)) };
                self.was_sent = false;
                return Err(Box::new(unsent));
            }
        };
        let (head, body) = answer.into_parts();
        let facts = headers::parse_response_headers(head.status.as_u16(), &head.headers);
        connection.set_keep_alive(facts.keep_alive);
        let checked = check(&facts, head.status, &self.prepared.facts.id);
        let headers = headers::caller_response_headers(&head.headers);
        let answer = Answer { status: head.status, headers, facts, body, connection };
        Ok(checked.map(|()| answer))
    }

    fn request(&self, body: OutgoingBody, size_bytes: Option<u64>) -> Request<OutgoingBody> {
        let prepared = self.prepared;
        let passing = AddedHeaders {
            upstream: &self.upstream.id,
            remaining: prepared.deadline.remaining(self.shared.now()),
            workspace: prepared.workspace.as_ref().map(|workspace| &*workspace.name),
            priority: prepared.route.has_prompts.then(|| prepared.priority()),
            holder: self.holder,
            last_event_id: self.last_event_id,
        };
        let mut passed = headers::upstream_request_headers(&prepared.headers, &passing);
        if let Some(size) = size_bytes {
            passed.insert(header::CONTENT_LENGTH, HeaderValue::from(size));
        }
        let mut request = Request::new(body);
        *request.method_mut() = prepared.method.clone();
        *request.uri_mut() = prepared.target.clone();
        *request.headers_mut() = passed;
        request
    }
}

/// Checks that an answer is one to the request, and that it was run; an upstream may send a second
/// answer on a kept connection.
fn check(facts: &ResponseMetadata, status: StatusCode, request_id: &str) -> Result<(), Failure> {
    let is_foreign = match &facts.id {
        Some(id) => **id != *request_id,
        // An upstream that turns a request away may not have read its identifier.
        None => !facts.is_not_run,
    };
    if is_foreign {
        return Err(Failure::Foreign);
    }
    if facts.is_not_run {
        return Err(if facts.is_misdirected { Failure::Moved } else { Failure::Rejected });
    }
    let is_unsigned = !facts.is_signed || facts.is_encoded;
    if is_unsigned && status.is_success() {
        return Err(Failure::Foreign);
    }
    if !facts.is_signed {
        return Err(Failure::Failed);
    }
    Ok(())
}
