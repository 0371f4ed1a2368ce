//! Calls to plain services: any method below `/services/{service}`.

use std::sync::Arc;

use poem::http::HeaderMap;
use poem::{Body, Request};
use teaselworks_config::configuration::Service;
use teaselworks_config::settings::LimitSettings;
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::message::Header;

use super::chat::may_use;
use super::server::{Admitted, Callers};
use super::{body, header};
use crate::dispatch::{Answer, CallBody, CallWork, Entry, Work};
use crate::upstream::CONTENT_LENGTH;

/// Path below which services are reached.
const PREFIX: &str = "/services/";

/// Headers of one connection, and those that belong to the router, are not passed on.
const OWN_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Reads a call and hands it to the dispatcher.
pub async fn start(
    callers: &Arc<Callers>,
    admitted: Admitted,
    request: &Request,
    body: Body,
) -> Result<Answer, Refusal> {
    let headers = request.headers();
    let time = header::deadline(headers, callers.limits())?;
    let priority = header::priority(headers, admitted.workspace_configuration().priority)?;
    let given_key = header::idempotency_key(headers)?.map(str::to_owned);
    let target = Path::of(request);
    let (service, known) = service(&admitted, &target.service)?;
    let method = request.method().as_str().to_owned();
    let at_most_once = is_non_idempotent(&known, &method, &target.path);
    let announced_bytes = header::content_length(headers);
    let body = read(callers.limits(), body, announced_bytes, at_most_once).await?;
    let work = CallWork {
        service,
        method,
        path: target.path,
        headers: passed_on(headers, body.length_bytes(announced_bytes)),
        body,
        at_most_once,
        idempotency_key: given_key,
    };
    let entry = Entry::new(admitted, priority, time, Work::Call(work));
    Ok(callers.dispatcher().start(entry))
}

/// Reads a body as far as it is held here.
///
/// The record of a call that runs at most once bears a digest of its body, and is written before
/// the first byte goes out; so that one is held whole.
async fn read(
    limits: &LimitSettings,
    body: Body,
    announced_bytes: Option<u64>,
    at_most_once: bool,
) -> Result<CallBody, Refusal> {
    if at_most_once {
        return Ok(CallBody::Whole(body::read(body, limits).await?));
    }
    body::check_announced(announced_bytes, limits.service_body_size_bytes)?;
    body::begin(body, limits).await
}

/// The service and the path that a call names.
struct Path {
    service: String,
    path: String,
}

impl Path {
    fn of(request: &Request) -> Self {
        let uri = request.original_uri();
        let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        Self { service: service.to_owned(), path: format!("/{path}{query}") }
    }
}

fn service(admitted: &Admitted, asked: &str) -> Result<(Name, Service), Refusal> {
    let known = admitted.configuration().services.get_key_value(asked);
    let allowed = may_use(&admitted.workspace_configuration().services, asked);
    match known {
        Some((name, service)) if allowed => Ok((name.clone(), service.clone())),
        _ => {
            let detail = format!("The workspace has no service {asked}.");
            Err(Refusal::not_run(RefusalReason::UnknownTarget, None, detail))
        }
    }
}

/// Tells whether the configuration lists a call as one that may not be repeated.
///
/// A service may take `/b%6Fok` or `//book` for `/book`. Compared letter by letter such a call
/// would pass as one that may be repeated, and a slot be booked twice.
fn is_non_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let path = normal_path(path);
    for pattern in &service.non_idempotent {
        if pattern.method == method && path.starts_with(&pattern.path_prefix) {
            return true;
        }
    }
    false
}

/// Returns a path without its query, with escapes decoded and empty and dot segments resolved.
fn normal_path(path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = decode(path.as_bytes());
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

/// Decodes `%XX` escapes; what is no escape, or no text once decoded, stays recognisable.
fn decode(path: &[u8]) -> String {
    let mut bytes = Vec::with_capacity(path.len());
    let mut at = 0;
    while at < path.len() {
        let escape = path.get(at + 1..at + 3).filter(|_| path[at] == b'%');
        let digits = escape.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                at += 3;
            }
            None => {
                bytes.push(path[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the headers passed on, with the body's length where it is known: the owner holds a short
/// body whole, and a service can tell a longer one that breaks off.
fn passed_on(headers: &HeaderMap, length_bytes: Option<u64>) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, value) in headers {
        if OWN_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let Ok(value) = value.to_str() else {
            continue;
        };
        passed.push(Header { name: name.as_str().to_owned(), value: value.to_owned() });
    }
    if let Some(length_bytes) = length_bytes {
        passed.push(Header { name: CONTENT_LENGTH.into(), value: length_bytes.to_string() });
    }
    passed
}
