//! Plots of the fraction of requests answered in time, by the time at which they were sent.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use super::{ExperimentError, VariantResult};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Margin around the chart in pixels.
const MARGIN: u32 = 16;

/// Draws a plot of each load, with a line for each variant, and writes them to `folder`.
pub(super) fn draw(results: &[VariantResult], folder: &Path) -> Result<(), ExperimentError> {
    let mut loads: BTreeMap<&str, Vec<&VariantResult>> = BTreeMap::new();
    for result in results {
        loads.entry(&result.load).or_default().push(result);
    }
    for (load, variants) in loads {
        let path = folder.join(format!("{load}.svg"));
        draw_load(load, &variants, &path)
            .map_err(|error| ExperimentError::Plot(path.clone(), error.to_string()))?;
    }
    Ok(())
}

/// Draws the plot of one load and writes it to `path` as SVG.
fn draw_load(
    load: &str,
    variants: &[&VariantResult],
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<_> = variants.iter().map(|variant| (variant, in_time_shares(variant))).collect();
    let last_start = lines.iter().filter_map(|(_, line)| line.last()).map(|(at, _)| *at).max();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{load}: answered in time"), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0..last_start.unwrap_or(1), 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("time of the request, s")
        .y_desc("fraction of the requests")
        .draw()?;
    for (number, (variant, line)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color);
        let series = LineSeries::new(line, color.stroke_width(2));
        chart.draw_series(series)?.label(&variant.variant).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the fraction of requests answered in time, as the mean over the seeds, for the start of
/// each time window in seconds.
fn in_time_shares(result: &VariantResult) -> Vec<(u64, f64)> {
    let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for outcome in &result.outcomes {
        for (at, counts) in &outcome.windows {
            let sum = sums.entry(*at).or_default();
            *sum = (sum.0 + counts.in_time_share(), sum.1 + 1.0);
        }
    }
    sums.into_iter().map(|(at, (sum, count))| (at, sum / count)).collect()
}
