//! Measures how the cost of a router grows with the fleet, its configuration and its work.

mod by_links;
mod by_rate;
mod by_routers;
mod by_work;
mod by_workspaces;
mod changes;
mod collect;
pub(crate) mod decisions;
mod fit;
mod name;
mod plot;
mod process;
mod reading;
mod record;
mod table;

use std::fmt;

pub use collect::Collector;
pub use decisions::run_as_meter;
pub use fit::Fit;
pub use name::{Input, SlopeName, Subject};
pub use plot::draw;
pub use process::{ProcessUse, load_average};
pub use record::{Point, Recording, RecordingError, Slope};
pub use table::{risen, table};

/// One part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The decision crate alone.
    Decisions,
    /// Fleets of several sizes.
    Routers,
    /// Links of one router.
    Links,
    /// Configurations of several sizes.
    Workspaces,
    /// Streams, tokens and replicas of one router.
    Work,
    /// Rates of requests.
    Rate,
}

impl Part {
    /// Every part, in the order of measurement.
    pub const ALL: [Part; 6] =
        [Part::Decisions, Part::Routers, Part::Links, Part::Workspaces, Part::Work, Part::Rate];

    /// Returns the name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Decisions => "decisions",
            Part::Routers => "routers",
            Part::Links => "links",
            Part::Workspaces => "workspaces",
            Part::Work => "work",
            Part::Rate => "rate",
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Measures the slopes of some parts; fails when a fleet does not start or a request is not
/// answered whole.
pub async fn measure(parts: &[Part], command: &str) -> Result<Vec<Slope>, String> {
    let mut points = Collector::default();
    for part in parts {
        match part {
            Part::Decisions => decisions::measure(&mut points)?,
            Part::Routers => by_routers::measure(&mut points).await?,
            Part::Links => by_links::measure(&mut points).await?,
            Part::Workspaces => by_workspaces::measure(&mut points).await?,
            Part::Work => by_work::measure(&mut points).await?,
            Part::Rate => by_rate::measure(&mut points).await?,
        }
    }
    Ok(points.into_slopes(command))
}
