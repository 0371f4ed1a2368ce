//! Load report in Prometheus text, lagged or frozen.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::{Duration, Instant};

use poem::Response;

use super::State;
use super::batch::Totals;

/// Least time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// Adds a report and drops those that no reader will see any more.
pub(super) fn push(
    reports: &mut VecDeque<(Instant, Totals, f64)>,
    totals: Totals,
    usage: f64,
    lag: Duration,
) {
    if lag > Duration::ZERO && reports.back().is_some_and(|(at, ..)| at.elapsed() < REPORT_INTERVAL)
    {
        return;
    }
    while reports.len() > 1 && reports[1].0.elapsed() >= lag {
        reports.pop_front();
    }
    if lag.is_zero() {
        reports.clear();
    }
    reports.push_back((Instant::now(), totals, usage));
}

pub(super) fn respond(state: &State) -> Response {
    let lag = Duration::from_millis(state.faults.report_lag_ms);
    let seen = state.reports.iter().rev().find(|(at, ..)| at.elapsed() >= lag);
    let (totals, usage) = seen.map(|(_, totals, usage)| (*totals, *usage)).unwrap_or_default();
    let lines: [(&str, &str, f64); 6] = [
        ("vllm:num_requests_running", "gauge", totals.running as f64),
        ("vllm:num_requests_waiting", "gauge", totals.waiting as f64),
        ("vllm:kv_cache_usage_perc", "gauge", usage),
        ("vllm:prompt_tokens_total", "counter", totals.prompt_tokens as f64),
        ("vllm:generation_tokens_total", "counter", totals.output_tokens as f64),
        ("vllm:prefix_cache_hits_total", "counter", totals.cached_tokens as f64),
    ];
    let mut text = String::new();
    for (name, kind, value) in lines {
        let _ = writeln!(text, "# TYPE {name} {kind}\n{name}{{model_name=\"standin\"}} {value}");
    }
    Response::builder().content_type("text/plain; version=0.0.4").body(text)
}
