//! A model engine that keeps the parts of prompts that it has read.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::upstream::{ReceivedRequest, Script};

/// Tokens of prompts that an engine was sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tokens {
    /// Tokens that were read.
    pub read: u64,
    /// Tokens that were found kept.
    pub reused: u64,
}

/// Parts that one engine keeps.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    parts: HashSet<String>,
    tokens: Tokens,
}

impl PromptCache {
    /// Returns the tokens so far.
    pub fn tokens(&self) -> Tokens {
        self.lock().tokens
    }

    /// Reads the prompt of a request: a part is found where all parts before it are, too.
    pub fn read(&self, prefix: &str) {
        let mut state = self.lock();
        let mut is_kept = true;
        for part in prefix.split(',') {
            let Some((id, tokens)) = part.split_once(':') else { continue };
            let tokens: u64 = tokens.trim().parse().unwrap_or_default();
            is_kept = !state.parts.insert(id.trim().to_owned()) && is_kept;
            if is_kept {
                state.tokens.reused += tokens;
            } else {
                state.tokens.read += tokens;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("locks are never poisoned")
    }
}

/// Returns the behaviour of an engine that answers each request with `events` events.
pub fn engine_behaviour(
    cache: PromptCache,
    events: u32,
    gap: Duration,
) -> impl Fn(&ReceivedRequest) -> Script {
    move |received| {
        cache.read(received.head.header("x-prompt-prefix").unwrap_or_default());
        let last = received.head.header("last-event-id").and_then(|id| id.parse().ok());
        Script::stream(received, last.map_or(1, |id: u32| id + 1)..events + 1, gap, true)
    }
}
