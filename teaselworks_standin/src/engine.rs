//! A model engine that caches the prompts that it has processed and counts cache hits in tokens.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::upstream::{ReceivedRequest, Script};

/// Number of prompt tokens that an engine received, by whether they were cached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptTokens {
    /// Tokens that the engine had to process, since they were not cached.
    pub processed: u64,
    /// Tokens that the engine reused from its cache.
    pub reused: u64,
}

/// Prompt cache of one engine, which never evicts anything. Clones share the same cache.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    state: Arc<Mutex<State>>,
}

/// Contents of a [`PromptCache`].
#[derive(Debug, Default)]
struct State {
    /// Identifiers of all prompt parts received so far.
    part_ids: HashSet<String>,
    tokens: PromptTokens,
}

impl PromptCache {
    /// Returns the token counts of all prompts so far.
    pub fn tokens(&self) -> PromptTokens {
        self.lock().tokens
    }

    /// Counts the tokens of a prompt as reused or processed, and adds its parts to the cache. A
    /// part is reused only if it and all parts before it are cached.
    ///
    /// `prompt_prefix` is the value of an `x-prompt-prefix` header: parts of the form `id:tokens`,
    /// separated by commas. Malformed parts are skipped.
    pub fn process_prompt(&self, prompt_prefix: &str) {
        let mut state = self.lock();
        let mut is_cached = true;
        for part in prompt_prefix.split(',') {
            let Some((id, tokens)) = part.split_once(':') else { continue };
            let tokens: u64 = tokens.trim().parse().unwrap_or_default();
            is_cached = !state.part_ids.insert(id.trim().to_owned()) && is_cached;
            if is_cached {
                state.tokens.reused += tokens;
            } else {
                state.tokens.processed += tokens;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("locks are never poisoned")
    }
}

/// Returns the behaviour of an engine that streams the events 1 to `events` for each request, with
/// a pause of `gap` before each event. A request with a `last-event-id` header gets only the events
/// after that one.
pub fn engine_behaviour(
    cache: PromptCache,
    events: u32,
    gap: Duration,
) -> impl Fn(&ReceivedRequest) -> Script {
    move |req| {
        cache.process_prompt(req.head.header("x-prompt-prefix").unwrap_or_default());
        let last_event_id = req.head.header("last-event-id").and_then(|id| id.parse().ok());
        Script::stream(req, last_event_id.map_or(1, |id: u32| id + 1)..events + 1, gap, true)
    }
}
