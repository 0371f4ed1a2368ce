//! What was played, as a table and as CSV.

use std::io::{self, Write};
use std::path::Path;

use teaselworks_model::{Outcome, Window};

use super::{ExperimentError, Played};

/// Prints a line for each load and variant, with means over the seeds.
pub(super) fn print(played: &[Played], out: &mut dyn Write) -> io::Result<()> {
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
    for Played { load, variant, outcomes } in played {
        let mean = |figure: &dyn Fn(&Outcome) -> f64| {
            outcomes.iter().map(figure).sum::<f64>() / outcomes.len().max(1) as f64
        };
        writeln!(
            out,
            "{load:<22} {variant:<22} {:>7.3} {:>7.3} {:>5.3} {:>7.3} {:>6.3} {:>8.0} {:>8.0} \
             {:>5.2} {:>7.2} {:>6.3} {:>8.2}",
            mean(&|outcome| outcome.all().in_time_share()),
            mean(&worst),
            mean(&|outcome| share(&outcome.all(), outcome.all().late)),
            mean(&|outcome| share(&outcome.all(), outcome.all().refused)),
            mean(&|outcome| share(&outcome.all(), outcome.all().failed)),
            mean(&|outcome| wait(&all_waits(outcome), 0.5)),
            mean(&|outcome| wait(&all_waits(outcome), 0.99)),
            mean(&|outcome| outcome.totals.reuse()),
            mean(&|outcome| outcome.totals.busiest_to_mean()),
            mean(&|outcome| outcome.totals.beyond_share()),
            mean(&|outcome| outcome.totals.copied_tokens as f64 / 1e6),
        )?;
    }
    Ok(())
}

/// Writes a row for each load, variant, seed and kind of request.
pub(super) fn write_csv(played: &[Played], path: &Path) -> Result<(), ExperimentError> {
    let failed = |error: csv::Error| ExperimentError::File(path.to_owned(), error.into());
    let mut writer = csv::Writer::from_path(path).map_err(failed)?;
    let head = [
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
    writer.write_record(head).map_err(failed)?;
    for Played { load, variant, outcomes } in played {
        for (seed, outcome) in (1..).zip(outcomes) {
            for (kind, window) in &outcome.kinds {
                let waits = outcome.waits_ms.get(kind).cloned().unwrap_or_default();
                let row = (
                    load,
                    variant,
                    seed,
                    kind,
                    window.asked,
                    window.in_time,
                    window.late,
                    window.refused,
                    window.failed,
                    wait(&waits, 0.5),
                    wait(&waits, 0.99),
                );
                writer.serialize(row).map_err(failed)?;
            }
        }
    }
    writer.flush().map_err(|error| ExperimentError::File(path.to_owned(), error))
}

fn share(window: &Window, count: u32) -> f64 {
    f64::from(count) / f64::from(window.asked.max(1))
}

fn worst(outcome: &Outcome) -> f64 {
    outcome.windows.values().map(Window::in_time_share).fold(1.0, f64::min)
}

fn all_waits(outcome: &Outcome) -> Vec<u32> {
    outcome.waits_ms.values().flatten().copied().collect()
}

/// Returns the wait below which a part of the waits lies.
fn wait(waits_ms: &[u32], part: f64) -> f64 {
    let mut sorted = waits_ms.to_vec();
    sorted.sort_unstable();
    let place = (part * sorted.len().saturating_sub(1) as f64).round() as usize;
    sorted.get(place).copied().map_or(0.0, f64::from)
}
