//! Model of the callers: when they send requests, how often they retry, and how long they wait.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::load::{Load, RequestKind};

/// Number of times that a caller sends a refused request again.
const MAX_RETRIES: u32 = 1;

/// A request of a caller, with all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Index of the kind in [`Load::kinds`].
    pub(crate) kind: usize,
    /// Identifier of the shared prompt part, by which engines cache its tokens.
    pub(crate) key: u64,
    /// Tokens of the answer.
    pub(crate) answer_tokens: f64,
    /// Time at which the caller sent the first attempt.
    pub(crate) first_sent_at: Duration,
    /// Number of attempts that the caller has made so far.
    pub(crate) attempts: u32,
    /// Time at which the first token was generated.
    pub(crate) first_token_at: Option<Duration>,
    /// Time at which the caller disconnects.
    pub(crate) deadline: Duration,
}

impl Request {
    /// Returns whether the caller may send the request again after a refusal.
    pub(crate) fn may_retry(&self) -> bool {
        self.attempts <= MAX_RETRIES
    }

    /// Returns whether the first token came within the target latency.
    pub(crate) fn is_in_time(&self, load: &Load) -> bool {
        let target = duration_from_ms(load.kinds[self.kind].target_latency_ms);
        self.first_token_at.is_some_and(|at| at.saturating_sub(self.first_sent_at) <= target)
    }
}

/// Returns the new requests of the tick that starts at `now`.
pub(crate) fn arrivals(
    load: &Load,
    now: Duration,
    tick: Duration,
    random: &mut Pcg32,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (kind_index, kind) in load.kinds.iter().enumerate() {
        let mean = kind.per_s * load.rate_factor(now) * tick.as_secs_f64();
        for _ in 0..sample_poisson(mean, random) {
            let is_hot = load.hot_share(&kind.name, now) > 0.0
                && random.random_bool(load.hot_share(&kind.name, now));
            requests.push(new_request(kind_index, kind, is_hot, now, random));
        }
    }
    requests
}

/// Creates a request with a random answer length and deadline. If `is_hot`, its shared part is part
/// 0, the hot one; otherwise the part is random and may be part 0 as well.
fn new_request(
    kind_index: usize,
    kind: &RequestKind,
    is_hot: bool,
    now: Duration,
    random: &mut Pcg32,
) -> Request {
    let part = if is_hot { 0 } else { random.random_range(0..kind.shared_parts.max(1)) };
    let deadline_factor = 1.0 - kind.deadline_spread * random.random_range(0.0..1.0);
    Request {
        deadline: now + duration_from_ms(kind.deadline_ms * deadline_factor),
        kind: kind_index,
        // Parts of different kinds must not get the same identifier.
        key: (kind_index as u64 + 1) * 1_000_000 + part,
        // The factor averages 1, so that `kind.answer_tokens` is the mean.
        answer_tokens: f64::from(kind.answer_tokens) * random.random_range(0.1..1.9),
        first_sent_at: now,
        attempts: 0,
        first_token_at: None,
    }
}

/// Draws a number from the Poisson distribution with the given mean (Knuth's method).
fn sample_poisson(mean: f64, random: &mut Pcg32) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = random.random_range(0.0..1.0);
    let mut count = 0;
    while product > limit {
        product *= random.random_range(0.0..1.0);
        count += 1;
    }
    count
}

/// Converts a number of milliseconds to a duration; panics if it is negative or not finite.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}
