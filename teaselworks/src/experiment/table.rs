//! Output of the results as a table and as CSV.

use std::io::{self, Write};
use std::path::Path;

use teaselworks_model::{Outcome, RequestCounts};

use super::{ExperimentError, VariantResult};

/// Prints a line for each load and variant, with means over the seeds.
///
/// The columns are fractions of the requests up to `failed`, then the 50th and 99th percentile of
/// the time to the first token, the reuse of cached prompt tokens, the load of the busiest engine
/// as a multiple of the mean load, the fraction of requests sent to an engine above the bound on
/// load, and the millions of prompt tokens copied between engines. `worst` is the lowest fraction
/// of requests in time of any time window.
pub(super) fn print(results: &[VariantResult], out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<22} {:<22} {:>7} {:>7} {:>5} {:>7} {:>6} {:>8} {:>8} {:>5} {:>7} {:>6} {:>8}",
        "load",
        "variant",
        "in time",
        "worst",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "reuse",
        "busiest",
        "beyond",
        "M copied"
    )?;
    for VariantResult { load, variant, outcomes } in results {
        let mean = |value: &dyn Fn(&Outcome) -> f64| {
            outcomes.iter().map(value).sum::<f64>() / outcomes.len().max(1) as f64
        };
        writeln!(
            out,
            "{load:<22} {variant:<22} {:>7.3} {:>7.3} {:>5.3} {:>7.3} {:>6.3} {:>8.0} {:>8.0} \
             {:>5.2} {:>7.2} {:>6.3} {:>8.2}",
            mean(&|outcome| outcome.all_requests().in_time_share()),
            mean(&worst_in_time_share),
            mean(&|outcome| share(&outcome.all_requests(), outcome.all_requests().late)),
            mean(&|outcome| share(&outcome.all_requests(), outcome.all_requests().refused)),
            mean(&|outcome| share(&outcome.all_requests(), outcome.all_requests().failed)),
            mean(&|outcome| wait_quantile(&all_waits_ms(outcome), 0.5)),
            mean(&|outcome| wait_quantile(&all_waits_ms(outcome), 0.99)),
            mean(&|outcome| outcome.totals.reuse_share()),
            mean(&|outcome| outcome.totals.busiest_to_mean()),
            mean(&|outcome| outcome.totals.beyond_bound_share()),
            mean(&|outcome| outcome.totals.copied_tokens as f64 / 1e6),
        )?;
    }
    Ok(())
}

/// Writes a row for each load, variant, seed and kind of request.
pub(super) fn write_csv(results: &[VariantResult], path: &Path) -> Result<(), ExperimentError> {
    let file_error = |error: csv::Error| ExperimentError::File(path.to_owned(), error.into());
    let mut writer = csv::Writer::from_path(path).map_err(file_error)?;
    let header = [
        "load",
        "variant",
        "seed",
        "kind",
        "asked",
        "in_time",
        "late",
        "refused",
        "failed",
        "wait_p50_ms",
        "wait_p99_ms",
    ];
    writer.write_record(header).map_err(file_error)?;
    for VariantResult { load, variant, outcomes } in results {
        for (seed, outcome) in (1..).zip(outcomes) {
            for (kind, counts) in &outcome.kinds {
                let waits_ms = outcome.waits_ms.get(kind).cloned().unwrap_or_default();
                let row = (
                    load,
                    variant,
                    seed,
                    kind,
                    counts.asked,
                    counts.in_time,
                    counts.late,
                    counts.refused,
                    counts.failed,
                    wait_quantile(&waits_ms, 0.5),
                    wait_quantile(&waits_ms, 0.99),
                );
                writer.serialize(row).map_err(file_error)?;
            }
        }
    }
    writer.flush().map_err(|error| ExperimentError::File(path.to_owned(), error))
}

/// Returns `count` as a fraction of all requests in `counts`.
fn share(counts: &RequestCounts, count: u32) -> f64 {
    f64::from(count) / f64::from(counts.asked.max(1))
}

/// Returns the lowest fraction of requests answered in time of any time window.
fn worst_in_time_share(outcome: &Outcome) -> f64 {
    outcome.windows.values().map(RequestCounts::in_time_share).fold(1.0, f64::min)
}

/// Returns the times to the first token of all answered requests, in milliseconds.
fn all_waits_ms(outcome: &Outcome) -> Vec<u32> {
    outcome.waits_ms.values().flatten().copied().collect()
}

/// Returns the wait in milliseconds at `quantile`, a number from 0 to 1; 0 if there are no waits.
fn wait_quantile(waits_ms: &[u32], quantile: f64) -> f64 {
    let mut sorted = waits_ms.to_vec();
    sorted.sort_unstable();
    let index = (quantile * sorted.len().saturating_sub(1) as f64).round() as usize;
    sorted.get(index).copied().map_or(0.0, f64::from)
}
