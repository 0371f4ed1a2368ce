//! The slopes as a table of text.

use super::name::{SlopeName, Subject};
use super::record::{Recording, Slope};

/// Size up to which slopes over routers are extrapolated.
const FLEET_ROUTERS: f64 = 410.0;

/// Returns a table of every slope that one subject measured.
pub fn table(recording: &Recording, subject: Subject) -> String {
    let mut text = format!(
        "{:<32} {:>22} {:>14} {:>12} {:>12} {:>10} {:>6}  points\n",
        "slope", "unit", "over", "at zero", "a unit more", "error", "flat"
    );
    for slope in &recording.slopes {
        if slope.name.subject() == subject {
            text.push_str(&row(slope));
        }
    }
    text
}

fn row(slope: &Slope) -> String {
    let name = slope.name;
    let points: Vec<String> =
        slope.points.iter().map(|point| format!("{}: {:.4}", point.size, point.value)).collect();
    let flat = match (name.must_not_rise(), slope.rises()) {
        (true, false) => "yes",
        (true, true) => "NO",
        (false, _) => "",
    };
    format!(
        "{:<32} {:>22} {:>14} {:>12.4} {:>12.6} {:>10.6} {:>6}  {}\n",
        name.as_str(),
        name.unit(),
        name.input().as_str(),
        slope.fit.intercept,
        slope.fit.slope,
        slope.fit.slope_error,
        flat,
        points.join(", "),
    )
}

/// Lists the slopes that rise though they must not, one line each.
pub fn risen(recording: &Recording) -> Vec<String> {
    let mut lines = Vec::new();
    for slope in &recording.slopes {
        if slope.name.must_not_rise() && slope.rises() {
            lines.push(explain(slope.name, slope));
        }
    }
    lines
}

fn explain(name: SlopeName, slope: &Slope) -> String {
    format!(
        "{name} rises: {:.3} {} at {}, {:.3} at {FLEET_ROUTERS} by the line",
        slope.largest_value(),
        name.unit(),
        slope.largest_size(),
        slope.fit.at(FLEET_ROUTERS),
    )
}
