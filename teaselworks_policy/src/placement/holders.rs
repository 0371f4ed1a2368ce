//! Where this router last sent each shared part of a prompt.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use lru::LruCache;

use super::Prompt;

/// Parts that are remembered. Each takes about 100 bytes; a router sees some thousand shared parts in
/// the time for which engines keep them.
const PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("above zero");
/// Time for which a part is taken to be kept where it was read. Engines keep parts until others need
/// the room, which takes minutes under full load.
const KEPT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Sent {
    upstream: Arc<str>,
    at: Duration,
}

/// Upstreams by the shared parts that were last sent to them, for the latest parts.
#[derive(Debug)]
pub struct Holders {
    parts: LruCache<u64, Sent>,
}

impl Default for Holders {
    fn default() -> Self {
        Self { parts: LruCache::new(PARTS) }
    }
}

impl Holders {
    /// Notes that a prompt is sent to an upstream.
    pub fn sent(&mut self, now: Duration, prompt: &Prompt, upstream: &Arc<str>) {
        for part in prompt.shared() {
            self.parts.put(part.id, Sent { upstream: upstream.clone(), at: now });
        }
    }

    /// Returns the upstream that a part was last sent to, while it is taken to be kept there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::placement::{Holders, Part, Prompt};
    ///
    /// let parts = [1, 2].map(|id| Part { id, tokens: 10 }).to_vec();
    /// let prompt = Prompt { parts, input_tokens: 20, output_tokens: 5 };
    /// let mut holders = Holders::default();
    /// holders.sent(Duration::ZERO, &prompt, &"i-1".into());
    /// assert_eq!(holders.of(Duration::from_secs(1), 1), Some("i-1"));
    /// assert_eq!(holders.of(Duration::from_secs(1), 2), None, "the last part is the request's own");
    /// ```
    pub fn of(&self, now: Duration, part: u64) -> Option<&str> {
        let sent = self.parts.peek(&part)?;
        (now.saturating_sub(sent.at) < KEPT).then_some(&*sent.upstream)
    }
}
