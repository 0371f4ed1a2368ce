//! Callers: when they ask, how often, and when they leave.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::load::{Kind, Load};

/// Retries of a caller that was refused.
const RETRIES: u32 = 1;

/// What one caller wants.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: usize,
    pub(crate) key: u64,
    pub(crate) answer_tokens: f64,
    pub(crate) asked_at: Duration,
    pub(crate) attempts: u32,
    pub(crate) first_at: Option<Duration>,
    /// When the caller leaves.
    pub(crate) deadline: Duration,
}

impl Call {
    /// Tells whether the caller asks again after a refusal.
    pub(crate) fn returns(&self) -> bool {
        self.attempts <= RETRIES
    }

    /// Tells whether the first token came in time.
    pub(crate) fn is_in_time(&self, load: &Load) -> bool {
        let aim = milliseconds(load.kinds[self.kind].aim_ms);
        self.first_at.is_some_and(|at| at.saturating_sub(self.asked_at) <= aim)
    }
}

/// Returns the calls that begin in a tick.
pub(crate) fn arrivals(
    load: &Load,
    now: Duration,
    tick: Duration,
    random: &mut Pcg32,
) -> Vec<Call> {
    let mut calls = Vec::new();
    for (number, kind) in load.kinds.iter().enumerate() {
        let expected = kind.per_s * load.pressure(now) * tick.as_secs_f64();
        for _ in 0..poisson(expected, random) {
            let is_hot = load.hot_share(&kind.name, now) > 0.0
                && random.random_bool(load.hot_share(&kind.name, now));
            calls.push(call(number, kind, is_hot, now, random));
        }
    }
    calls
}

fn call(number: usize, kind: &Kind, is_hot: bool, now: Duration, random: &mut Pcg32) -> Call {
    let part = if is_hot { 0 } else { random.random_range(0..kind.shared_parts.max(1)) };
    let patience = 1.0 - kind.deadline_spread * random.random_range(0.0..1.0);
    Call {
        deadline: now + milliseconds(kind.deadline_ms * patience),
        kind: number,
        key: (number as u64 + 1) * 1_000_000 + part,
        answer_tokens: f64::from(kind.answer_tokens) * random.random_range(0.1..1.9),
        asked_at: now,
        attempts: 0,
        first_at: None,
    }
}

fn poisson(expected: f64, random: &mut Pcg32) -> u32 {
    let limit = (-expected).exp();
    let mut product: f64 = random.random_range(0.0..1.0);
    let mut count = 0;
    while product > limit {
        product *= random.random_range(0.0..1.0);
        count += 1;
    }
    count
}

pub(crate) fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}
