//! A plot for each load: the part of the callers that were served in time, by when they asked.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use super::{ExperimentError, Played};

/// Size of a plot.
const SIZE: (u32, u32) = (900, 420);
/// Space around it.
const MARGIN: u32 = 16;

/// Draws a plot for each load into a folder.
pub(super) fn draw(played: &[Played], folder: &Path) -> Result<(), ExperimentError> {
    let mut loads: BTreeMap<&str, Vec<&Played>> = BTreeMap::new();
    for one in played {
        loads.entry(&one.load).or_default().push(one);
    }
    for (load, variants) in loads {
        let path = folder.join(format!("{load}.svg"));
        draw_load(load, &variants, &path)
            .map_err(|error| ExperimentError::Plot(path.clone(), error.to_string()))?;
    }
    Ok(())
}

fn draw_load(
    load: &str,
    variants: &[&Played],
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<_> = variants.iter().map(|variant| (variant, windows(variant))).collect();
    let end = lines.iter().filter_map(|(_, line)| line.last()).map(|(at, _)| *at).max();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{load}: served in time"), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0..end.unwrap_or(1), 0.0..1.0)?;
    chart.configure_mesh().x_desc("asked at, s").y_desc("part of the callers").draw()?;
    for (number, (variant, line)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let key = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color);
        let series = LineSeries::new(line, color.stroke_width(2));
        chart.draw_series(series)?.label(&variant.variant).legend(key);
    }
    let mut keys = chart.configure_series_labels();
    keys.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the mean over the seeds for each window.
fn windows(played: &Played) -> Vec<(u64, f64)> {
    let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for outcome in &played.outcomes {
        for (at, window) in &outcome.windows {
            let sum = sums.entry(*at).or_default();
            *sum = (sum.0 + window.in_time_share(), sum.1 + 1.0);
        }
    }
    sums.into_iter().map(|(at, (sum, count))| (at, sum / count)).collect()
}
