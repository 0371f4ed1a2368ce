//! Request bodies: read whole within a size and a time, or begun and sent on while they arrive.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use poem::Body;
use teaselworks_config::settings::LimitSettings;
use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::header::malformed;
use super::source::{BodySource, too_large};
use crate::dispatch::{CallBody, REPLAY_SIZE_BYTES, StreamedBody};

/// Reads a whole body; refuses one that is too large, too slow or broken off.
pub async fn read(body: Body, limits: &LimitSettings) -> Result<Bytes, Refusal> {
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    // A sender that trickles bytes would hold memory and a request slot for as long as it likes;
    // the caller sees 408 instead.
    match tokio::time::timeout(timeout, collect(body, limits.body_size_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::not_run(
            RefusalReason::BodyTimeout,
            None,
            format!("The body did not arrive within {} ms.", limits.body_timeout_ms),
        )),
    }
}

async fn collect(body: Body, size_bytes: u64) -> Result<Bytes, Refusal> {
    let mut stream = Box::pin(body.into_bytes_stream());
    let mut collected = BytesMut::new();
    while let Some(part) = stream.next().await {
        let part = part.map_err(|_| malformed("The body broke off."))?;
        if (collected.len() + part.len()) as u64 > size_bytes {
            return Err(too_large(size_bytes));
        }
        collected.extend_from_slice(&part);
    }
    Ok(collected.freeze())
}

/// Reads the beginning of a body; the rest of one that does not end there is sent on while it
/// arrives.
pub async fn begin(body: Body, limits: &LimitSettings) -> Result<CallBody, Refusal> {
    let mut source = BodySource::new(body, limits);
    let mut first = BytesMut::new();
    while first.len() < REPLAY_SIZE_BYTES {
        let part = match source.next().await {
            None => return Ok(CallBody::Whole(first.freeze())),
            Some(Ok(part)) => part,
            Some(Err(refusal)) => return Err(refusal),
        };
        first.extend_from_slice(&part);
    }
    let mut first = first.freeze();
    source.put_back(first.split_off(REPLAY_SIZE_BYTES));
    Ok(CallBody::Streamed(StreamedBody::new(first, source)))
}

/// Refuses a body that announces more than may be sent, before any of it is read.
pub fn check_announced(announced_bytes: Option<u64>, limit_bytes: u64) -> Result<(), Refusal> {
    match announced_bytes {
        Some(announced_bytes) if announced_bytes > limit_bytes => Err(too_large(limit_bytes)),
        _ => Ok(()),
    }
}
