//! Headers of requests and answers: what they say to the router, and what is passed on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Uri;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use teaselworks_policy::placement::{Part, Prompt};
use teaselworks_policy::upstream::LoadReport;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identifier of the upstream that alone may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// Prompt tokens and the most output tokens; says nothing of tokens that were used.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Address of a replica to copy kept parts of the prompt from.
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Signature of the upstream's answer.
const STAMP: HeaderName = HeaderName::from_static("x-server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that only routers send. What a caller puts there is dropped: it could name the memory of
/// another workspace's request.
const RESERVED: [HeaderName; 10] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    HeaderName::from_static("x-expect-version"),
    HeaderName::from_static("x-cache-hold"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    FETCH_FROM,
    HeaderName::from_static("kv-move"),
];

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of this attempt of the caller.
    pub id: Arc<str>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Prompt, where it is described.
    pub prompt: Option<Prompt>,
}

/// Why a head cannot be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// The identifier is missing, repeated or no text.
    RequestId,
    /// The host is missing or repeated.
    Host,
    /// The deadline is repeated, or no number of milliseconds.
    Deadline,
}

/// Reads the head of a caller's request.
///
/// A description of a prompt that cannot be read is taken as none: it decides only the placing.
///
/// ```
/// use http::HeaderMap;
/// use teaselworks::platform::headers::{HeadError, parse_request_headers};
///
/// assert_eq!(parse_request_headers(&HeaderMap::new()), Err(HeadError::RequestId));
/// ```
pub fn parse_request_headers(headers: &HeaderMap) -> Result<RequestMetadata, HeadError> {
    let id =
        single(headers, &REQUEST_ID).filter(|id| !id.is_empty()).ok_or(HeadError::RequestId)?;
    let deadline = match (headers.contains_key(&DEADLINE), single(headers, &DEADLINE)) {
        (false, _) => None,
        (true, value) => Some(value.and_then(milliseconds).ok_or(HeadError::Deadline)?),
    };
    let api_key = single(headers, &header::AUTHORIZATION)
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|key| key.trim().to_owned());
    Ok(RequestMetadata { id: id.into(), deadline, api_key, prompt: prompt(headers) })
}

/// Returns the host that a request names.
///
/// Two hosts would let a request take another route than the one that its key is checked for.
pub fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Result<&'a str, HeadError> {
    let named = single(headers, &header::HOST).ok_or(HeadError::Host)?;
    match uri.authority() {
        Some(authority) if authority.as_str() != named => Err(HeadError::Host),
        _ => Ok(named),
    }
}

fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

fn milliseconds(value: &str) -> Option<Duration> {
    let ms: f64 = value.trim().parse().ok()?;
    (0.0..=1e9).contains(&ms).then(|| Duration::from_secs_f64(ms / 1e3))
}

fn prompt(headers: &HeaderMap) -> Option<Prompt> {
    let usage = single(headers, &TOKEN_USAGE)?;
    let (input, output) = usage.split_once(',')?;
    let mut parts = Vec::new();
    for part in single(headers, &PROMPT_PREFIX).unwrap_or_default().split(',') {
        let Some((id, tokens)) = part.trim().split_once(':') else { continue };
        let id = u64::from_str_radix(id, 16).ok()?;
        parts.push(Part { id, tokens: tokens.parse().ok()? });
    }
    Some(Prompt {
        parts,
        input_tokens: input.trim().parse().ok()?,
        output_tokens: output.trim().parse().ok()?,
    })
}

/// What a router adds to a request that it passes on.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// Upstream that alone may run it.
    pub upstream: &'a str,
    /// Time that is left.
    pub remaining: Duration,
    /// Workspace that holds the caller's key.
    pub workspace: Option<&'a str>,
    /// Rank, where engines take one.
    pub priority: Option<u8>,
    /// Upstream from which it may take what that one keeps of the prompt.
    pub holder: Option<SocketAddr>,
    /// Event after which a stream goes on, in place of the caller's.
    pub last_event_id: Option<&'a str>,
}

/// Least urgent rank that engines know.
const LAST_PRIORITY: u8 = 9;

/// Returns the headers of a request as they are passed on, without those of framing.
pub fn upstream_request_headers(headers: &HeaderMap, passing: &AddedHeaders<'_>) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 4);
    let named = connection_options(headers);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || RESERVED.contains(name)
            || *name == header::AUTHORIZATION
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || *name == DEADLINE
            || named.iter().any(|option| name.as_str() == option);
        if is_dropped {
            continue;
        }
        passed.append(name.clone(), value.clone());
    }
    passed.insert(DEADLINE, HeaderValue::from(passing.remaining.as_millis() as u64));
    insert(&mut passed, EXPECT_INSTANCE, passing.upstream);
    if let Some(workspace) = passing.workspace {
        insert(&mut passed, TENANT, workspace);
    }
    if let Some(priority) = passing.priority {
        passed.insert(PRIORITY, HeaderValue::from(u16::from(priority.min(LAST_PRIORITY))));
    }
    if let Some(holder) = passing.holder {
        insert(&mut passed, FETCH_FROM, &holder.to_string());
    }
    if let Some(id) = passing.last_event_id {
        insert(&mut passed, LAST_EVENT_ID, id);
    }
    passed
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names of the configuration may hold what no header can; such a header is left out, and the
    // upstream refuses what it needs it for.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let mut options = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        options.extend(value.split(',').map(|option| option.trim().to_ascii_lowercase()));
    }
    options
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that it answers.
    pub id: Option<Box<str>>,
    /// It bears the upstream's signature.
    pub is_signed: bool,
    /// The upstream did not run the request.
    pub is_not_run: bool,
    /// Another upstream has the address.
    pub is_misdirected: bool,
    /// The body is encoded, which no upstream does.
    pub is_encoded: bool,
    /// Load of the upstream.
    pub load: Option<LoadReport>,
    /// The connection will be closed after the answer.
    pub closes_connection: bool,
    /// Time for which the upstream keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// Status by which an upstream says that the request was meant for another.
const MISDIRECTED: u16 = 421;

/// Reads the head of an upstream's answer.
pub fn parse_response_headers(status: u16, headers: &HeaderMap) -> ResponseMetadata {
    let is_misdirected = status == MISDIRECTED;
    ResponseMetadata {
        id: single(headers, &REQUEST_ID).map(Box::from),
        is_signed: headers.contains_key(&STAMP),
        is_not_run: is_misdirected || headers.contains_key(&NOT_EXECUTED),
        is_misdirected,
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
        load: single(headers, &LOAD).and_then(load),
        closes_connection: connection_options(headers).iter().any(|option| option == "close"),
        keep_alive: single(headers, &KEEP_ALIVE).and_then(keep_alive),
    }
}

fn load(value: &str) -> Option<LoadReport> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(LoadReport { running, waiting })
}

fn keep_alive(value: &str) -> Option<Duration> {
    for option in value.split(',') {
        let Some(timeout) = option.trim().strip_prefix("timeout=") else { continue };
        return timeout.parse().ok().map(Duration::from_secs);
    }
    None
}

/// Returns the headers of an answer as callers get them, without those of framing.
pub fn caller_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut answered = HeaderMap::with_capacity(headers.len());
    let named = connection_options(headers);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || [LOAD, INSTANCE, header::CONTENT_LENGTH].contains(name)
            || named.iter().any(|option| name.as_str() == option);
        if !is_dropped {
            answered.append(name.clone(), value.clone());
        }
    }
    answered
}

/// Returns the headers of an answer of the router's own to a request.
pub fn router_response_headers(id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(id) = id {
        insert(&mut headers, REQUEST_ID, id);
    }
    if let Some(after) = retry_after {
        insert(&mut headers, header::RETRY_AFTER, &format!("{:.3}", after.as_secs_f64()));
    }
    headers
}
