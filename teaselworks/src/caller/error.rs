//! Refusals as typed JSON in the shape that chat clients expect.

use poem::Response;
use poem::http::StatusCode;
use serde::Serialize;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

/// Milliseconds in a second, for `Retry-After`.
const MS_PER_S: u64 = 1_000;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

/// Returns the JSON body of a refusal.
///
/// ```
/// use teaselworks::caller::error_body;
/// use teaselworks_policy::verdict::{Refusal, RefusalReason};
///
/// let refusal = Refusal::not_run(RefusalReason::QueueFull, Some(300), "The queue is full.");
/// assert!(error_body(&refusal, "a-1-1").contains("\"code\":\"queue_full\""));
/// ```
pub fn error_body(refusal: &Refusal, request_id: &str) -> String {
    let body = ErrorBody {
        error: ErrorDetail {
            message: &refusal.detail,
            kind: error_type(refusal.reason.http_status()),
            code: refusal.reason.as_str(),
            verdict: refusal.verdict.as_str(),
            retry_after_ms: refusal.retry_after_ms,
            request_id,
        },
    };
    serde_json::to_string(&body).expect("an error body has only text and numbers")
}

/// Returns the whole HTTP answer of a refusal, with `Retry-After` rounded up to whole seconds.
pub fn refusal_response(refusal: &Refusal, request_id: &str) -> Response {
    let status = StatusCode::from_u16(refusal.reason.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::builder()
        .status(status)
        .content_type("application/json")
        .header("x-request-id", request_id);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        response = response.header("retry-after", retry_after_ms.div_ceil(MS_PER_S));
    }
    response.body(error_body(refusal, request_id))
}

/// Returns the HTTP answer for a caller that ended its side before it had an answer.
///
/// Whether the request ran is not known here: it was cancelled wherever it was.
pub fn half_closed_response() -> Response {
    let refusal = Refusal {
        reason: RefusalReason::Malformed,
        verdict: Verdict::MayHaveRun,
        retry_after_ms: None,
        detail: "The connection was closed for sending before the answer began.".into(),
    };
    let body = error_body(&refusal, "");
    Response::builder().status(StatusCode::BAD_REQUEST).content_type("application/json").body(body)
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
