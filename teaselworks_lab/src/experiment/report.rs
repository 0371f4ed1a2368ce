//! What one run of a design measured, and its row.

use std::time::Duration;

use super::engine::{Engine, Sequence};
use super::workload::{Request, Scale};

/// What one run of a design measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// In each second and pool: mean load, and largest over mean, as owners count.
    mean_tokens: Vec<f64>,
    skew: Vec<f64>,
    /// Largest over mean of the time that engines really have left.
    skew_time: Vec<f64>,
    control_bytes: u64,
    /// Turns served elsewhere than the turn before.
    pub(super) moved: u64,
    /// Turns whose replica of the turn before was gone.
    pub(super) gone: u64,
    /// Turns served elsewhere because the replica of the turn before was at its bound.
    pub(super) spilled: u64,
    pub(super) refused_over_bound: u64,
    pub(super) refused_no_replica: u64,
    /// Attempts after the first.
    pub(super) retried: u64,
    pub(super) decision_ns: u64,
    /// Routers and seconds measured, multiplied.
    pub(super) router_seconds: f64,
}

/// Column names of a row.
pub const COLUMNS: &str = "design,workload,reuse_ratio,skew_worst,skew_p99,control_bytes_per_s,\
moved_ratio,refused,retried,decision_ns,skew_p50,over_bound_s,skew_time_p99,mean_load_tokens,\
cached_share,moved,moved_least,spilled,refused_over_bound,refused_no_replica,requests,routers,\
replicas,state_kb";

impl Measured {
    /// Counts a request that was sent to an engine.
    pub(super) fn add_prompt(&mut self, request: &Request, held_tokens: u32, scale: &Scale) {
        if request.at >= scale.warmup {
            self.requests += 1;
            self.prompt_tokens += u64::from(request.prompt_tokens);
            self.cached_tokens += u64::from(held_tokens);
        }
    }

    /// Counts a control message that went between two processes.
    pub(super) fn add_control(
        &mut self,
        bytes: impl FnOnce() -> u64,
        remote: bool,
        now: Duration,
        scale: &Scale,
    ) {
        if remote && now >= scale.warmup {
            self.control_bytes += bytes();
        }
    }

    /// Counts the loads of a pool in one second.
    pub(super) fn add_loads<'a>(&mut self, engines: impl Iterator<Item = &'a Engine> + Clone) {
        let counted = engines.clone().map(|engine| engine.counted_tokens() as f64);
        let left = |engine: &Engine| engine.sequences.iter().map(Sequence::left_ms).sum();
        let (mean_tokens, skew) = mean_and_skew(counted.collect());
        self.mean_tokens.push(mean_tokens);
        self.skew.push(skew);
        self.skew_time.push(mean_and_skew(engines.map(left).collect()).1);
    }

    /// Returns the row's values, beside what one pooled cache and the same design at rest measured.
    pub fn row(&self, name: &str, workload: &str, pooled: &Measured, steady: &Measured) -> String {
        let ratio = |part: u64, whole: u64| part as f64 / whole as f64;
        let moved = self.moved.saturating_sub(steady.moved);
        let over_bound_s = self.skew.iter().filter(|skew| **skew > 1.25).count();
        let values = [
            format!("{:.3}", ratio(self.cached_tokens, pooled.cached_tokens)),
            format!("{:.2}", quantile(&self.skew, 1.0)),
            format!("{:.2}", quantile(&self.skew, 0.99)),
            format!("{:.0}", self.control_bytes as f64 / self.router_seconds.max(1.0)),
            if self.gone == 0 { String::new() } else { format!("{:.2}", ratio(moved, self.gone)) },
            (self.refused_over_bound + self.refused_no_replica).to_string(),
            self.retried.to_string(),
            (self.decision_ns / self.requests.max(1)).to_string(),
            format!("{:.2}", quantile(&self.skew, 0.5)),
            over_bound_s.to_string(),
            format!("{:.2}", quantile(&self.skew_time, 0.99)),
            format!("{:.0}", quantile(&self.mean_tokens, 0.5)),
            format!("{:.3}", ratio(self.cached_tokens, self.prompt_tokens)),
            self.moved.to_string(),
            self.gone.to_string(),
            self.spilled.to_string(),
            self.refused_over_bound.to_string(),
            self.refused_no_replica.to_string(),
            self.requests.to_string(),
        ];
        format!("{name},{workload},{}", values.join(","))
    }
}

fn mean_and_skew(loads: Vec<f64>) -> (f64, f64) {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let largest = loads.into_iter().fold(0.0, f64::max);
    (mean, if mean > 0.0 { largest / mean } else { 1.0 })
}

/// Returns a quantile by rank; zero of nothing.
fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
}
