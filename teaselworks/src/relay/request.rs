//! A caller's request, checked against the configuration, and its body.

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
use teaselworks_policy::deadline::Deadline;
use teaselworks_policy::verdict::RefusalReason;

use super::body::{self, BodyError, Outgoing};
use crate::platform::headers::{self, RequestMetadata};

/// Largest body that is read before the request is sent on, so that it can be sent again.
const HELD_BODY_SIZE_BYTES: usize = 128 << 10;

/// A request that may be served.
pub(super) struct Prepared {
    pub(super) facts: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) deadline: Deadline,
    /// The caller was refused before and came back.
    pub(super) is_late: bool,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
}

impl Prepared {
    /// Returns the rank of the request: the workspace's goes before the route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace.unwrap_or(self.route.priority)
    }
}

/// Checks the head of a request.
pub(super) fn check(
    head: Parts,
    facts: RequestMetadata,
    configuration: &Configuration,
    now: Duration,
) -> Result<Prepared, RefusalReason> {
    let host = headers::host(&head.headers, &head.uri).map_err(|_| RefusalReason::Malformed)?;
    let path = head.uri.path();
    let route = configuration.routes.find(host, path).ok_or(RefusalReason::UnknownRoute)?.clone();
    let workspace = match &facts.api_key {
        _ if route.is_anonymous || !configuration.workspaces.is_key_required() => None,
        Some(key) => {
            let workspace = configuration.workspaces.find(key);
            Some(workspace.ok_or(RefusalReason::Unauthorized)?.clone())
        }
        None => return Err(RefusalReason::Unauthorized),
    };
    let service = route.service_for(&facts.id).ok_or(RefusalReason::NoReplica)?;
    let deadline = Deadline::new(now, facts.deadline, route.timeout);
    let target = head.uri.path_and_query().ok_or(RefusalReason::Malformed)?;
    let target = Bytes::copy_from_slice(target.as_str().as_bytes());
    let target = Uri::from_maybe_shared(target).map_err(|_| RefusalReason::Malformed)?;
    let headers = detached(&head.headers);
    let method = head.method;
    let is_late = false;
    Ok(Prepared { facts, route, service, workspace, deadline, is_late, method, target, headers })
}

/// Copies headers out of the buffer that they were read into, which they would keep for as long as
/// the request lasts.
fn detached(headers: &HeaderMap) -> HeaderMap {
    let size_bytes = headers.values().map(HeaderValue::len).sum();
    let mut values = BytesMut::with_capacity(size_bytes);
    headers.values().for_each(|value| values.extend_from_slice(value.as_bytes()));
    let mut values = values.freeze();
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let bytes = values.split_to(value.len());
        // What was a value is one again.
        let Ok(value) = HeaderValue::from_maybe_shared(bytes) else { continue };
        copied.append(name.clone(), value);
    }
    copied
}

/// The body of a caller's request.
pub(super) enum RequestBody {
    /// All of it is held, so that it can be sent more than once.
    Held(Bytes),
    /// It is sent on while it arrives, once.
    Streamed {
        /// The body, until it is sent.
        body: Option<Outgoing>,
        /// Its length, where the caller stated it.
        size_bytes: Option<u64>,
    },
}

impl RequestBody {
    /// Tells whether all of it is there for another attempt.
    pub(super) fn is_held(&self) -> bool {
        matches!(self, RequestBody::Held(_))
    }

    /// Returns the body for an attempt and its length where the message must state it; `None`
    /// where it was sent already.
    pub(super) fn for_attempt(&mut self) -> Option<(Outgoing, Option<u64>)> {
        match self {
            RequestBody::Held(bytes) => Some((body::whole(bytes.clone()), None)),
            RequestBody::Streamed { body, size_bytes } => Some((body.take()?, *size_bytes)),
        }
    }

    /// Lets go of a body that is not sent again.
    pub(super) fn release(&mut self) {
        *self = RequestBody::Streamed { body: None, size_bytes: None };
    }
}

/// Reads a body, up to a size from which on it is sent on while it arrives.
pub(super) async fn read_body(
    mut incoming: Incoming,
    head: &HeaderMap,
    limits: &RequestLimits,
) -> Result<RequestBody, RefusalReason> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Held(Bytes::new()));
    }
    let size_bytes = incoming.size_hint().exact();
    if size_bytes.is_some_and(|size| size > limits.body_size_bytes) {
        return Err(RefusalReason::TooLarge);
    }
    let expected = size_bytes.map_or(0, |size| size.min(HELD_BODY_SIZE_BYTES as u64));
    let mut held = BytesMut::with_capacity(expected as usize);
    while held.len() <= HELD_BODY_SIZE_BYTES {
        let frame = tokio::time::timeout(limits.idle_timeout, incoming.frame())
            .await
            .map_err(|_| RefusalReason::BodyTimeout)?;
        let Some(frame) = frame else { return Ok(RequestBody::Held(fitted(held))) };
        let frame = frame.map_err(|_| RefusalReason::Malformed)?;
        // Trailers are for one connection only.
        let Ok(data) = frame.into_data() else { continue };
        held.extend_from_slice(&data);
        if held.len() as u64 > limits.body_size_bytes {
            return Err(RefusalReason::TooLarge);
        }
    }
    let has_length = head.contains_key(header::CONTENT_LENGTH);
    let rest = Rest {
        held: Some(held.freeze()),
        incoming,
        left_bytes: limits.body_size_bytes,
        idle_timeout: limits.idle_timeout,
    };
    Ok(RequestBody::Streamed {
        body: Some(rest.into_body()),
        size_bytes: size_bytes.filter(|_| has_length),
    })
}

/// Freezes a body without the room that it grew into.
fn fitted(held: BytesMut) -> Bytes {
    if held.len() == held.capacity() { held.freeze() } else { Bytes::copy_from_slice(&held) }
}

/// A body of which the beginning is held and the rest still arrives.
struct Rest {
    held: Option<Bytes>,
    incoming: Incoming,
    left_bytes: u64,
    idle_timeout: Duration,
}

impl Rest {
    fn into_body(self) -> Outgoing {
        let frames = stream::unfold(Some(self), |rest| async move {
            let mut rest = rest?;
            match rest.next().await? {
                Ok(data) => Some((Ok(Frame::data(data)), Some(rest))),
                Err(error) => Some((Err(error), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let data = match self.held.take() {
            Some(held) => held,
            None => match self.arriving().await? {
                Ok(data) => data,
                Err(error) => return Some(Err(error)),
            },
        };
        match self.left_bytes.checked_sub(data.len() as u64) {
            Some(left) => self.left_bytes = left,
            None => return Some(Err(BodyError::TooLarge)),
        }
        Some(Ok(data))
    }

    async fn arriving(&mut self) -> Option<Result<Bytes, BodyError>> {
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
