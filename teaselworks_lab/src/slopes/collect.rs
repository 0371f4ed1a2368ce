//! Gathers measured points by slope.

use super::name::SlopeName;
use super::record::{Point, Slope};

/// Points gathered so far.
#[derive(Debug, Default)]
pub struct Collector {
    points: Vec<(SlopeName, Point)>,
}

impl Collector {
    /// Adds a point that was measured just now.
    pub fn add(&mut self, name: SlopeName, size: f64, value: f64) {
        self.points.push((name, Point::new(size, value)));
    }

    /// Returns a slope for each name that points were added for, measured by `command`.
    pub fn into_slopes(self, command: &str) -> Vec<Slope> {
        let mut slopes = Vec::new();
        for name in SlopeName::ALL {
            let points = self.points.iter().filter(|(of, _)| of == name);
            let points: Vec<Point> = points.map(|(_, point)| *point).collect();
            if !points.is_empty() {
                slopes.push(Slope::new(*name, command, points));
            }
        }
        slopes
    }
}
