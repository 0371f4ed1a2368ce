//! Checks the head of a caller's request against the configuration, and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, Uri};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use teaselworks_policy::configuration::{Configuration, RequestLimits, Route, Workspace};
use teaselworks_policy::crash::{RequestContent, body_hash};
use teaselworks_policy::deadline::Deadline;
use teaselworks_policy::durations::SizeClass;
use teaselworks_policy::placement::Prompt;
use teaselworks_policy::shares::Class;
use teaselworks_policy::stream_origin::{StreamKeys, stream_key};
use teaselworks_policy::verdict::RefusalReason;

use super::Shared;
use super::body::{self, BodyError, OutgoingBody};
use crate::platform::headers::{self, RequestMetadata};

/// Largest body that is buffered before the request is sent to an upstream, so that the request can
/// be sent again. A larger one is streamed to a single upstream.
const MAX_BUFFERED_BODY_BYTES: usize = 128 << 10;

/// A request whose head passed all checks, with the route and service that it goes to.
pub(super) struct PreparedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) deadline: Deadline,
    /// Class by which an overloaded service is divided.
    pub(super) class: Class,
    /// Whether the caller probably repeats a request that was refused before: the deadline it sent
    /// is clearly shorter than usual for the route. [`check`] leaves this false; `serve` sets it.
    pub(super) is_late: bool,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    /// Hash of what the answer is computed from; 0 until the body was read.
    pub(super) fingerprint: u64,
}

impl PreparedRequest {
    /// Returns the priority by which engines order the request: by its rank where routers do, and
    /// otherwise that of its workspace, or of its route if the workspace has none.
    pub(super) fn engine_priority(&self, shared: &Shared) -> u8 {
        let by_rank = shared.fleet().engine_priority(&self.class);
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        by_rank.or(workspace).unwrap_or(self.route.priority)
    }

    /// Sets the fingerprint of the request after its body was read.
    pub(super) fn set_fingerprint(&mut self, body: &RequestBody) {
        let content = RequestContent {
            workspace: self.workspace.as_ref().map_or("", |workspace| &*workspace.name),
            host: headers::host(&self.headers, &self.target).unwrap_or_default(),
            method: self.method.as_str(),
            target: self.target.path_and_query().map_or("", |target| target.as_str()),
            model: &self.metadata.model,
            prompt: headers::prompt_description(&self.headers),
            body_hash: body.hash(),
        };
        self.fingerprint = content.fingerprint();
    }

    /// Returns the keys of the stream that answers the request.
    pub(super) fn stream_keys(&self) -> StreamKeys {
        StreamKeys { request: stream_key(&self.metadata.id), content: self.fingerprint }
    }

    /// Returns the prompt; `None` for a request of a route without prompts, whatever its headers
    /// say.
    pub(super) fn prompt(&self) -> Option<&Prompt> {
        self.metadata.prompt.as_ref().filter(|_| self.route.has_prompts)
    }

    /// Returns the identifier of the event after which the caller resumes a stream, if it does.
    pub(super) fn resumed_after(&self) -> Option<&str> {
        headers::last_event_id(&self.headers).filter(|_| self.route.is_resumable)
    }

    /// Returns the size of the request by the tokens that its headers state, whether or not its route
    /// has prompts.
    pub(super) fn size(&self) -> SizeClass {
        SizeClass::of(self.metadata.prompt.as_ref())
    }
}

/// Checks the head of a request and finds its route, service and workspace.
///
/// # Errors
///
/// - `Malformed`: the host is missing or invalid, or the target has no path.
/// - `UnknownRoute`: no route matches the host and path.
/// - `Unauthorized`: the route needs an API key and the request has none, or an unknown one.
/// - `NoReplica`: the route sends the request to no service.
pub(super) fn check(
    head: Parts,
    metadata: RequestMetadata,
    configuration: &Configuration,
    now: Duration,
) -> Result<PreparedRequest, RefusalReason> {
    let host = headers::host(&head.headers, &head.uri).map_err(|_| RefusalReason::Malformed)?;
    let path = head.uri.path();
    let route = configuration.routes.find(host, path).ok_or(RefusalReason::UnknownRoute)?.clone();
    let workspace = match &metadata.api_key {
        _ if route.is_anonymous || !configuration.workspaces.is_key_required() => None,
        Some(key) => {
            let workspace = configuration.workspaces.find(key);
            Some(workspace.ok_or(RefusalReason::Unauthorized)?.clone())
        }
        None => return Err(RefusalReason::Unauthorized),
    };
    let service = route.service_for(&metadata.id).ok_or(RefusalReason::NoReplica)?;
    let deadline = Deadline::new(now, metadata.deadline, route.timeout);
    let target = head.uri.path_and_query().ok_or(RefusalReason::Malformed)?;
    let target = Bytes::copy_from_slice(target.as_str().as_bytes());
    let target = Uri::from_maybe_shared(target).map_err(|_| RefusalReason::Malformed)?;
    let headers = copy_headers(&head.headers);
    let method = head.method;
    let is_late = false;
    let class = Class::new(workspace.as_deref(), route.priority);
    Ok(PreparedRequest {
        metadata,
        route,
        service,
        workspace,
        deadline,
        class,
        is_late,
        method,
        target,
        headers,
        fingerprint: 0,
    })
}

/// Copies the headers into a buffer of their own. Otherwise they would keep the connection's whole
/// read buffer alive until the request ends.
fn copy_headers(headers: &HeaderMap) -> HeaderMap {
    let size_bytes = headers.values().map(HeaderValue::len).sum();
    let mut values = BytesMut::with_capacity(size_bytes);
    headers.values().for_each(|value| values.extend_from_slice(value.as_bytes()));
    let mut values = values.freeze();
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let bytes = values.split_to(value.len());
        // Never fails: the bytes come from a valid header value.
        let Ok(value) = HeaderValue::from_maybe_shared(bytes) else { continue };
        copied.append(name.clone(), value);
    }
    copied
}

/// The body of a caller's request.
pub(super) enum RequestBody {
    /// The complete body is buffered, so that it can be sent more than once.
    Buffered(Bytes),
    /// The body is sent to one upstream while it arrives, and cannot be sent again.
    Streamed {
        /// The body; `None` once it was sent or released.
        body: Option<OutgoingBody>,
        /// Length of the body, if the caller sent a `Content-Length`.
        size_bytes: Option<u64>,
        /// Hash of the beginning of the body.
        beginning_hash: u64,
    },
}

impl RequestBody {
    /// Returns whether the complete body is buffered, so that another attempt can send it.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered(_))
    }

    /// Returns the hash of the body, or of its beginning if it is not buffered.
    fn hash(&self) -> u64 {
        match self {
            RequestBody::Buffered(bytes) => body_hash(bytes),
            RequestBody::Streamed { beginning_hash, .. } => *beginning_hash,
        }
    }

    /// Returns the body for an attempt, and the length that the attempt has to set as its
    /// `Content-Length`. Returns `None` if a streamed body was sent already.
    pub(super) fn for_attempt(&mut self) -> Option<(OutgoingBody, Option<u64>)> {
        match self {
            RequestBody::Buffered(bytes) => Some((body::from_bytes(bytes.clone()), None)),
            RequestBody::Streamed { body, size_bytes, .. } => Some((body.take()?, *size_bytes)),
        }
    }

    /// Frees the body, which is not sent again.
    pub(super) fn release(&mut self) {
        *self = RequestBody::Streamed { body: None, size_bytes: None, beginning_hash: 0 };
    }
}

/// Reads a body into memory if it is at most [`MAX_BUFFERED_BODY_BYTES`] long. Of a longer body,
/// only the beginning is read here, and the rest while the request is sent to an upstream.
///
/// # Errors
///
/// - `TooLarge`: the body exceeds the configured size limit.
/// - `BodyTimeout`: no data arrived within the idle timeout.
/// - `Malformed`: the connection failed, or the body's framing is invalid.
pub(super) async fn read_body(
    mut incoming: Incoming,
    head: &HeaderMap,
    limits: &RequestLimits,
) -> Result<RequestBody, RefusalReason> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let size_bytes = incoming.size_hint().exact();
    if size_bytes.is_some_and(|size| size > limits.body_size_bytes) {
        return Err(RefusalReason::TooLarge);
    }
    let capacity = size_bytes.map_or(0, |size| size.min(MAX_BUFFERED_BODY_BYTES as u64));
    let mut buffered = BytesMut::with_capacity(capacity as usize);
    while buffered.len() <= MAX_BUFFERED_BODY_BYTES {
        let frame = tokio::time::timeout(limits.idle_timeout, incoming.frame())
            .await
            .map_err(|_| RefusalReason::BodyTimeout)?;
        let Some(frame) = frame else { return Ok(RequestBody::Buffered(freeze_exact(buffered))) };
        let frame = frame.map_err(|_| RefusalReason::Malformed)?;
        // Trailers are not forwarded: they apply to one connection only.
        let Ok(data) = frame.into_data() else { continue };
        buffered.extend_from_slice(&data);
        if buffered.len() as u64 > limits.body_size_bytes {
            return Err(RefusalReason::TooLarge);
        }
    }
    let has_length = head.contains_key(header::CONTENT_LENGTH);
    let beginning_hash = body_hash(&buffered);
    let partial = PartialBody {
        buffered: Some(buffered.freeze()),
        incoming,
        remaining_bytes: limits.body_size_bytes,
        idle_timeout: limits.idle_timeout,
    };
    Ok(RequestBody::Streamed {
        body: Some(partial.into_body()),
        size_bytes: size_bytes.filter(|_| has_length),
        beginning_hash,
    })
}

/// Freezes a buffer; copies it if it has unused capacity, which it would otherwise keep.
fn freeze_exact(buffered: BytesMut) -> Bytes {
    if buffered.len() == buffered.capacity() {
        buffered.freeze()
    } else {
        Bytes::copy_from_slice(&buffered)
    }
}

/// A body whose beginning is buffered while the rest is still arriving.
struct PartialBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    remaining_bytes: u64,
    idle_timeout: Duration,
}

impl PartialBody {
    /// Turns this into a body that sends the buffered beginning and then the rest as it arrives.
    fn into_body(self) -> OutgoingBody {
        let frames = stream::unfold(Some(self), |partial| async move {
            let mut partial = partial?;
            match partial.next_data().await? {
                Ok(data) => Some((Ok(Frame::data(data)), Some(partial))),
                Err(error) => Some((Err(error), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next data to send, the buffered beginning first, or `None` at the end of the
    /// body. Fails if the body exceeds its size limit.
    async fn next_data(&mut self) -> Option<Result<Bytes, BodyError>> {
        let data = match self.buffered.take() {
            Some(buffered) => buffered,
            None => match self.receive().await? {
                Ok(data) => data,
                Err(error) => return Some(Err(error)),
            },
        };
        match self.remaining_bytes.checked_sub(data.len() as u64) {
            Some(remaining) => self.remaining_bytes = remaining,
            None => return Some(Err(BodyError::TooLarge)),
        }
        Some(Ok(data))
    }

    /// Reads the next data from the caller, within the idle timeout.
    async fn receive(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let frame = tokio::time::timeout(self.idle_timeout, self.incoming.frame()).await;
            let Ok(frame) = frame else { return Some(Err(BodyError::Deadline)) };
            match frame?.map(Frame::into_data) {
                Ok(Ok(data)) => return Some(Ok(data)),
                Ok(Err(_trailers)) => {}
                Err(_) => return Some(Err(BodyError::Broken)),
            }
        }
    }
}
