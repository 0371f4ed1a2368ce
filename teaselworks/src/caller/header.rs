//! Headers of callers: key, deadline, priority, conversation and idempotency key.

use std::time::Duration;

use poem::http::HeaderMap;
use teaselworks_config::settings::LimitSettings;
use teaselworks_policy::verdict::{Priority, Refusal, RefusalReason};

/// Time the caller gives the answer, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Priority the caller asks for.
const PRIORITY: &str = "x-priority";
/// Conversation that the chat continues.
const CONVERSATION: &str = "x-conversation-id";
/// Affinity token from an earlier answer.
const AFFINITY: &str = "x-affinity";
/// Key under which a call runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest conversation id or idempotency key taken.
const ID_SIZE_BYTES: usize = 256;

/// Returns the caller's key from the `Authorization` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

/// Returns the time the caller gives, within the limits; fails on a value that is no number.
pub fn deadline(headers: &HeaderMap, limits: &LimitSettings) -> Result<Duration, Refusal> {
    let Some(value) = text(headers, DEADLINE)? else {
        return Ok(Duration::from_millis(limits.default_deadline_ms));
    };
    let deadline_ms: u64 =
        value.parse().map_err(|_| malformed("X-Deadline-Ms must be a number of milliseconds."))?;
    Ok(Duration::from_millis(deadline_ms.min(limits.longest_deadline_ms)))
}

/// Returns the priority asked for, never above the workspace's own.
pub fn priority(headers: &HeaderMap, workspace: Priority) -> Result<Priority, Refusal> {
    let asked = match text(headers, PRIORITY)? {
        None => workspace,
        Some("high") => Priority::High,
        Some("normal") => Priority::Normal,
        Some("low") => Priority::Low,
        Some(_) => return Err(malformed("X-Priority must be high, normal or low.")),
    };
    Ok(asked.max(workspace))
}

/// Returns the conversation that the chat continues.
pub fn conversation(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    bounded(headers, CONVERSATION)
}

/// Returns the affinity token of an earlier answer; one that cannot be read is ignored.
pub fn affinity(headers: &HeaderMap) -> Option<&str> {
    headers.get(AFFINITY)?.to_str().ok()
}

/// Returns the idempotency key of a call.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    bounded(headers, IDEMPOTENCY_KEY)
}

/// Returns the length that a body announces, in bytes; `None` for a chunked one.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// Makes the refusal of a request that cannot be understood.
pub fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::Malformed, None, detail)
}

fn bounded<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = text(headers, name)?;
    if value.is_some_and(|value| value.is_empty() || value.len() > ID_SIZE_BYTES) {
        return Err(malformed(format!("{name} must have 1 to {ID_SIZE_BYTES} characters.")));
    }
    Ok(value)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value.to_str().map_err(|_| malformed(format!("{name} must be plain text.")))?;
    Ok(Some(value.trim()))
}
