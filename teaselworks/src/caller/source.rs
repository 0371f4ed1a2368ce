//! A request body that is sent on while it arrives, within a size and a time.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use poem::Body;
use teaselworks_config::settings::LimitSettings;
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use tokio::time::{self, Instant};

use super::header::malformed;

/// Part of a body that must arrive within the body timeout.
const BLOCK_SIZE_BYTES: usize = 64 << 10;

/// What is left of a request body.
pub struct BodySource {
    parts: Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>,
    /// A part that was put back.
    put_back: Bytes,
    size_bytes: u64,
    limit_bytes: u64,
    block_bytes: usize,
    block_time: Duration,
    /// What is left of the time for this block; only waiting for the sender counts.
    left: Duration,
}

impl BodySource {
    /// Starts a body that was not read yet.
    pub(super) fn new(body: Body, limits: &LimitSettings) -> Self {
        let block_time = Duration::from_millis(limits.body_timeout_ms);
        Self {
            parts: Box::pin(body.into_bytes_stream()),
            put_back: Bytes::new(),
            size_bytes: 0,
            limit_bytes: limits.service_body_size_bytes,
            block_bytes: 0,
            block_time,
            left: block_time,
        }
    }

    /// Waits for the next part; `None` after a whole body, a refusal when it is too large, too slow
    /// or broken off. No part is lost when the future is dropped.
    pub async fn next(&mut self) -> Option<Result<Bytes, Refusal>> {
        if !self.put_back.is_empty() {
            return Some(Ok(std::mem::take(&mut self.put_back)));
        }
        let part = {
            let waiting = Waiting { since: Instant::now(), left: &mut self.left };
            // A sender that trickles bytes would hold memory and a place at the service for as long
            // as it likes; the caller sees 408 instead.
            time::timeout(*waiting.left, self.parts.next()).await
        };
        match part {
            Err(_) => Some(Err(self.too_slow())),
            Ok(None) => None,
            Ok(Some(Err(_))) => Some(Err(malformed("The body broke off."))),
            Ok(Some(Ok(part))) => Some(self.count(part)),
        }
    }

    /// Puts a part back, to be read next.
    pub(super) fn put_back(&mut self, part: Bytes) {
        self.put_back = part;
    }

    fn count(&mut self, part: Bytes) -> Result<Bytes, Refusal> {
        self.size_bytes += part.len() as u64;
        if self.size_bytes > self.limit_bytes {
            return Err(too_large(self.limit_bytes));
        }
        self.block_bytes += part.len();
        if self.block_bytes >= BLOCK_SIZE_BYTES {
            self.block_bytes = 0;
            self.left = self.block_time;
        }
        Ok(part)
    }

    fn too_slow(&self) -> Refusal {
        let detail = format!(
            "{BLOCK_SIZE_BYTES} bytes of the body did not arrive within {} ms.",
            self.block_time.as_millis()
        );
        Refusal::not_run(RefusalReason::BodyTimeout, None, detail)
    }
}

/// Counts the time of one wait, also of one that is given up.
struct Waiting<'a> {
    since: Instant,
    left: &'a mut Duration,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        *self.left = self.left.saturating_sub(self.since.elapsed());
    }
}

/// Makes the refusal of a body above its limit.
pub(super) fn too_large(limit_bytes: u64) -> Refusal {
    let detail = format!("The body is larger than {limit_bytes} bytes.");
    Refusal::not_run(RefusalReason::TooLarge, None, detail)
}
