//! HTTP headers of requests and responses: parses those that the router uses, and selects those
//! that it forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Uri;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use teaselworks_policy::placement::{Prompt, PromptPart};
use teaselworks_policy::upstream::LoadReport;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identifier of the only upstream that may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Version of the weights that may run the request.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
/// Version of the weights that write an answer. An event at which it changes states it in its first
/// line.
const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("x-weight-versions");
/// Name of the caller's workspace, which the platform calls a tenant.
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// Number of prompt tokens and maximum number of output tokens; not the number of tokens that were
/// used.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// Number of output tokens that the caller expects.
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// Parts of the prompt in order, each as `hexadecimal identifier:number of tokens`.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Address of a replica from which the upstream may copy cached parts of the prompt.
const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Identifier of the request whose response brought the first event of the stream that the caller
/// resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Header by which a response shows that it comes from an upstream. The router checks only that it
/// is present, not its value.
const SERVER_STAMP: HeaderName = HeaderName::from_static("x-server-stamp");
/// Present if the upstream did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// `1` in the answers of a replica that is leaving.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Number of requests that the replica can reject within a second without falling over.
const SERVER_BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Time for which the replica is still cold, in milliseconds.
const COLD_REMAINING: HeaderName = HeaderName::from_static("x-cold-start-ms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that apply to a single connection and are never forwarded.
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

/// Headers that only routers may send. They are dropped from a caller's request, which could
/// otherwise name another workspace, upstream or priority, or refer to cached prompts of another
/// workspace.
const RESERVED: [HeaderName; 10] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    EXPECT_VERSION,
    HeaderName::from_static("x-cache-hold"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    KV_FETCH,
    HeaderName::from_static("kv-move"),
];

/// Values that the router uses from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier that the caller gave to this attempt of its request.
    pub id: Arc<str>,
    /// Time for which the caller waits for the response, if stated.
    pub deadline: Option<Duration>,
    /// API key of the caller, if present.
    pub api_key: Option<String>,
    /// Model that the request is for; empty if the headers name none.
    pub model: Arc<str>,
    /// Prompt, if the headers describe it.
    pub prompt: Option<Prompt>,
    /// The stream that the request resumes, if it does.
    pub resumed_stream: Option<ResumedStream>,
    /// Version of the weights that may run the request. Only other routers may state it.
    pub weight_version: Option<Box<str>>,
}

/// A stream that a request resumes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumedStream {
    /// Identifier of the request whose response brought its first event. If the headers name only the
    /// event to continue after, that of the request itself: another router forwards it, or the caller
    /// does not say.
    pub id: Arc<str>,
    /// Whether the headers name that request.
    pub is_named: bool,
}

/// Why the headers of a request are rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderError {
    /// The request identifier is missing, empty, repeated or not text.
    RequestId,
    /// The `host` header is missing, repeated, not text, or differs from the authority of the URI.
    Host,
    /// The deadline is repeated, or is not a number of milliseconds from 0 to 1e9.
    Deadline,
}

/// Parses the headers of a caller's request.
///
/// A prompt description that cannot be parsed counts as absent, because it affects only the choice
/// of the replica.
///
/// ```
/// use http::HeaderMap;
/// use teaselworks::platform::headers::{HeaderError, parse_request_headers};
///
/// assert_eq!(parse_request_headers(&HeaderMap::new()), Err(HeaderError::RequestId));
/// ```
pub fn parse_request_headers(headers: &HeaderMap) -> Result<RequestMetadata, HeaderError> {
    let id = single_value(headers, &REQUEST_ID)
        .filter(|id| !id.is_empty())
        .ok_or(HeaderError::RequestId)?;
    let deadline = match (headers.contains_key(&DEADLINE), single_value(headers, &DEADLINE)) {
        (false, _) => None,
        (true, value) => Some(value.and_then(parse_milliseconds).ok_or(HeaderError::Deadline)?),
    };
    let api_key = single_value(headers, &header::AUTHORIZATION)
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|key| key.trim().to_owned());
    let id: Arc<str> = id.into();
    let resumed_stream = match single_value(headers, &RESUMES).filter(|id| !id.is_empty()) {
        Some(stream) => Some(ResumedStream { id: stream.into(), is_named: true }),
        None => headers
            .contains_key(&LAST_EVENT_ID)
            .then(|| ResumedStream { id: id.clone(), is_named: false }),
    };
    let weight_version = single_value(headers, &EXPECT_VERSION).map(Box::from);
    let model = single_value(headers, &MODEL).unwrap_or_default().into();
    let prompt = parse_prompt(headers);
    Ok(RequestMetadata { id, deadline, api_key, model, prompt, resumed_stream, weight_version })
}

/// Returns the host that a request names.
///
/// Fails if the `host` header is missing, repeated or not text, or differs from the authority of
/// `uri`: a request with two hosts could take a route other than the one for which its API key is
/// checked.
pub fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Result<&'a str, HeaderError> {
    let host = single_value(headers, &header::HOST).ok_or(HeaderError::Host)?;
    match uri.authority() {
        Some(authority) if authority.as_str() != host => Err(HeaderError::Host),
        _ => Ok(host),
    }
}

/// Returns the value of a header, or `None` if it is missing, repeated or not text.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Returns the description of the prompt's parts as a request states it; empty if it is missing,
/// repeated or not text.
pub fn prompt_description(headers: &HeaderMap) -> &str {
    single_value(headers, &PROMPT_PREFIX).unwrap_or_default()
}

/// Returns the identifier of the event after which a request resumes a stream.
pub fn last_event_id(headers: &HeaderMap) -> Option<&str> {
    single_value(headers, &LAST_EVENT_ID).filter(|id| !id.is_empty())
}

/// Returns the version of the weights that the first line of an event states.
pub fn weight_version_of_line(line: &[u8]) -> Option<&str> {
    let value = line.strip_prefix(WEIGHT_VERSIONS.as_str().as_bytes())?.strip_prefix(b":")?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Parses a number of milliseconds from 0 to 1e9, which may have a fraction.
fn parse_milliseconds(value: &str) -> Option<Duration> {
    let ms: f64 = value.trim().parse().ok()?;
    (0.0..=1e9).contains(&ms).then(|| Duration::from_secs_f64(ms / 1e3))
}

/// Parses the description of a prompt; `None` if it is missing or a number in it is invalid. An
/// invalid length hint only counts as absent.
fn parse_prompt(headers: &HeaderMap) -> Option<Prompt> {
    let usage = single_value(headers, &TOKEN_USAGE)?;
    let (input, output) = usage.split_once(',')?;
    let mut parts = Vec::new();
    for part in single_value(headers, &PROMPT_PREFIX).unwrap_or_default().split(',') {
        let Some((id, tokens)) = part.trim().split_once(':') else { continue };
        let id = u64::from_str_radix(id, 16).ok()?;
        parts.push(PromptPart { id, tokens: tokens.parse().ok()? });
    }
    Some(Prompt {
        parts,
        input_tokens: input.trim().parse().ok()?,
        output_tokens: output.trim().parse().ok()?,
        output_hint: single_value(headers, &LENGTH_HINT).and_then(|hint| hint.trim().parse().ok()),
    })
}

/// Values of the headers that the router adds to a request that it sends to an upstream.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// Identifier of the only upstream that may run the request.
    pub upstream_id: &'a str,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Workspace that the caller's API key belongs to.
    pub workspace: Option<&'a str>,
    /// Priority, for engines that support one; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Address of a replica from which the upstream may copy cached parts of the prompt.
    pub holder: Option<SocketAddr>,
    /// Identifier of the event after which a resumed stream continues; replaces the caller's.
    pub last_event_id: Option<&'a str>,
    /// Version of the weights that may run the request.
    pub weight_version: Option<&'a str>,
}

/// Least urgent priority that engines accept.
const LEAST_URGENT_PRIORITY: u8 = 9;

/// Returns the headers of a caller's request as they are sent to an upstream, without those that
/// frame the body.
pub fn upstream_request_headers(headers: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    let options = connection_options(headers);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || RESERVED.contains(name)
            || *name == header::AUTHORIZATION
            || *name == header::CONTENT_LENGTH
            || *name == header::EXPECT
            || *name == DEADLINE
            || options.iter().any(|option| name.as_str() == option);
        if is_dropped {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    set_remaining(&mut forwarded, added.remaining);
    insert_if_valid(&mut forwarded, EXPECT_INSTANCE, added.upstream_id);
    if let Some(workspace) = added.workspace {
        insert_if_valid(&mut forwarded, TENANT, workspace);
    }
    if let Some(priority) = added.priority {
        forwarded
            .insert(PRIORITY, HeaderValue::from(u16::from(priority.min(LEAST_URGENT_PRIORITY))));
    }
    if let Some(holder) = added.holder {
        insert_if_valid(&mut forwarded, KV_FETCH, &holder.to_string());
    }
    set_resumption(&mut forwarded, added.last_event_id, added.weight_version);
    forwarded
}

/// Returns the headers of a caller's request as they are sent to another router, which forwards it,
/// without those that frame the body.
///
/// `remaining` is the time left until the deadline of the request. `last_event_id` replaces the
/// caller's when a stream is resumed, by weights of `weight_version` if that is known.
pub fn router_request_headers(
    headers: &HeaderMap,
    remaining: Duration,
    last_event_id: Option<&str>,
    weight_version: Option<&str>,
) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    let options = connection_options(headers);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || RESERVED.contains(name)
            || [header::CONTENT_LENGTH, header::EXPECT].contains(name)
            || options.iter().any(|option| name.as_str() == option);
        if !is_dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    set_remaining(&mut forwarded, remaining);
    set_resumption(&mut forwarded, last_event_id, weight_version);
    forwarded
}

/// States where a stream goes on and which weights may write the rest, as far as that is known.
fn set_resumption(
    headers: &mut HeaderMap,
    last_event_id: Option<&str>,
    weight_version: Option<&str>,
) {
    if let Some(id) = last_event_id {
        insert_if_valid(headers, LAST_EVENT_ID, id);
    }
    if let Some(version) = weight_version {
        insert_if_valid(headers, EXPECT_VERSION, version);
    }
}

/// States the time left until the deadline of a request in its headers.
pub fn set_remaining(headers: &mut HeaderMap, remaining: Duration) {
    headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
}

/// Inserts a header unless its value contains characters that a header cannot carry.
fn insert_if_valid(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names in the configuration may contain such characters. The header is then left out, and an
    // upstream that needs it rejects the request.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the options of the `connection` header, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let mut options = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        options.extend(value.split(',').map(|option| option.trim().to_ascii_lowercase()));
    }
    options
}

/// Values that the router uses from the status and the headers of an upstream's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub id: Option<Box<str>>,
    /// The response has the `x-server-stamp` header, which shows that it comes from an upstream.
    /// The value of the header is not checked.
    pub has_server_stamp: bool,
    /// The upstream did not run the request.
    pub is_not_run: bool,
    /// The address now belongs to an upstream other than the one that the request named.
    pub is_misdirected: bool,
    /// The body has a content encoding, which upstreams never use. A successful response with one
    /// therefore counts as not coming from the upstream.
    pub is_encoded: bool,
    /// Load that the upstream reports.
    pub load: Option<LoadReport>,
    /// The upstream is leaving and wants no new requests.
    pub is_leaving: bool,
    /// The upstream is brittle: it falls over if it rejects more requests than this within a second.
    pub max_rejections: Option<u32>,
    /// Time for which the upstream says it is still cold.
    pub cold_remaining: Option<Duration>,
    /// Version of the weights that write the answer, if stated.
    pub weight_version: Option<Box<str>>,
    /// Identifier of the upstream that answered, if stated.
    pub upstream_id: Option<Box<str>>,
    /// Time for which an upstream that rejected a request wants no other one from this router.
    pub rest: Option<Duration>,
    /// The upstream closes the connection after the response.
    pub closes_connection: bool,
    /// Time for which the upstream keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
}

/// HTTP status 421 (Misdirected Request): the request names another upstream.
const MISDIRECTED_REQUEST: u16 = 421;

/// HTTP status 503 (Service Unavailable).
const SERVICE_UNAVAILABLE: u16 = 503;

/// Parses the status and the headers of an upstream's response.
pub fn parse_response_headers(status: u16, headers: &HeaderMap) -> ResponseMetadata {
    let is_misdirected = status == MISDIRECTED_REQUEST;
    ResponseMetadata {
        id: single_value(headers, &REQUEST_ID).map(Box::from),
        has_server_stamp: headers.contains_key(&SERVER_STAMP),
        is_not_run: is_misdirected || headers.contains_key(&NOT_EXECUTED),
        is_misdirected,
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
        load: single_value(headers, &SERVER_LOAD).and_then(parse_load),
        is_leaving: single_value(headers, &SERVER_LEAVING) == Some("1"),
        max_rejections: single_value(headers, &SERVER_BRITTLE)
            .and_then(|value| value.trim().parse().ok()),
        cold_remaining: single_value(headers, &COLD_REMAINING).and_then(parse_milliseconds),
        weight_version: single_value(headers, &WEIGHT_VERSIONS).map(Box::from),
        upstream_id: single_value(headers, &INSTANCE_ID).map(Box::from),
        rest: (status == SERVICE_UNAVAILABLE)
            .then(|| single_value(headers, &header::RETRY_AFTER).and_then(parse_seconds))
            .flatten(),
        closes_connection: connection_options(headers).iter().any(|option| option == "close"),
        keep_alive: single_value(headers, &KEEP_ALIVE).and_then(parse_keep_alive),
    }
}

/// Parses the numbers of running and waiting requests; further numbers are ignored.
fn parse_load(value: &str) -> Option<LoadReport> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(LoadReport { running, waiting })
}

/// Parses a number of seconds from 0 to 1e6, which may have a fraction.
fn parse_seconds(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    (0.0..=1e6).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Parses the `timeout` option of a `keep-alive` header, which is in seconds.
fn parse_keep_alive(value: &str) -> Option<Duration> {
    for option in value.split(',') {
        let Some(timeout) = option.trim().strip_prefix("timeout=") else { continue };
        return timeout.parse().ok().map(Duration::from_secs);
    }
    None
}

/// Returns the headers of an upstream's response as they are sent to the caller, without those that
/// frame the body.
pub fn caller_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    let options = connection_options(headers);
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP.contains(name)
            || [SERVER_LOAD, INSTANCE_ID, header::CONTENT_LENGTH].contains(name)
            || options.iter().any(|option| name.as_str() == option);
        if !is_dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Names the upstream that answered in the headers of a response to another router.
pub fn set_upstream_id(headers: &mut HeaderMap, id: &str) {
    insert_if_valid(headers, INSTANCE_ID, id);
}

/// Returns the headers of a response that the router generates itself.
///
/// `id` is the identifier of the request; `retry_after` is sent in seconds with three decimals.
pub fn router_response_headers(id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(id) = id {
        insert_if_valid(&mut headers, REQUEST_ID, id);
    }
    if let Some(after) = retry_after {
        insert_if_valid(&mut headers, header::RETRY_AFTER, &format!("{:.3}", after.as_secs_f64()));
    }
    headers
}
