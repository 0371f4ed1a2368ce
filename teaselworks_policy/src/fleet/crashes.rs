//! Requests whose prompts crash replicas.

use std::time::Duration;

use super::Fleet;
use crate::crash::BlockedRequest;
use crate::placement::{PlacementRequest, Prompt};
use crate::verdict::{Refusal, RefusalReason};

impl Fleet {
    /// Returns the refusal of a request whose prompt contains a blocked part; `None` if there is
    /// none.
    pub(super) fn blocked_refusal(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
    ) -> Option<Refusal> {
        let parts = request.prompt.map(Prompt::shared_parts)?;
        let parts = parts.iter().map(|part| part.id);
        let (_, remaining) = self.crashes.blocked.find(now, parts)?;
        Some(Refusal::not_run(RefusalReason::BlockedPart, Some(remaining)))
    }

    /// Refuses a request under which too many replicas have ended, or may have. `max_retry_after` bounds
    /// the retry-after time of one that is refused only until another router acknowledges an end.
    pub fn admit_fingerprint(
        &self,
        now: Duration,
        fingerprint: u64,
        max_retry_after: Duration,
    ) -> Result<(), (Refusal, BlockedRequest)> {
        let Some(blocked) = self.crashes.requests.blocked(now, fingerprint) else {
            return Ok(());
        };
        let retry_after = if blocked.is_confirmed {
            blocked.retry_after
        } else {
            blocked.retry_after.min(max_retry_after)
        };
        let refusal = Refusal::not_run(RefusalReason::BlockedRequest, Some(retry_after));
        Err((refusal, blocked))
    }
}
