//! The slopes as small plots on one page, in SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::record::{Recording, Slope};

/// Plots beside each other.
const COLUMNS: usize = 4;
const CELL_WIDTH: u32 = 340;
const CELL_HEIGHT: u32 = 240;
/// Room above the highest and right of the largest point.
const MARGIN: f64 = 1.15;

/// Draws every slope with its points and its line; fails when the file cannot be written.
pub fn draw(recording: &Recording, path: &Path) -> Result<(), Box<dyn Error>> {
    let rows = recording.slopes.len().div_ceil(COLUMNS).max(1);
    let size = (CELL_WIDTH * COLUMNS as u32, CELL_HEIGHT * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    for (cell, slope) in area.split_evenly((rows, COLUMNS)).iter().zip(&recording.slopes) {
        draw_slope(cell, slope)?;
    }
    Ok(area.present()?)
}

type Cell<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_slope(cell: &Cell<'_>, slope: &Slope) -> Result<(), Box<dyn Error>> {
    let largest = slope.largest_size() * MARGIN;
    let highest = slope.points.iter().map(|point| point.value).fold(0.0, f64::max);
    let highest = if highest > 0.0 { highest * MARGIN } else { 1.0 };
    let caption = format!("{} ({})", slope.name, slope.name.unit());
    let mut chart = ChartBuilder::on(cell)
        .caption(caption, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..largest, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_labels(5)
        .y_labels(5)
        .x_desc(slope.name.input().as_str())
        .draw()?;
    let line = [0.0, largest].map(|size| (size, slope.fit.at(size).clamp(0.0, highest)));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    let points = slope.points.iter().map(|point| (point.size, point.value));
    chart.draw_series(points.map(|at| Circle::new(at, 3, BLACK.filled())))?;
    Ok(())
}
