//! Recorded loads played in variants and with many seeds, side by side.

mod plan;
mod plot;
mod table;

use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use teaselworks_model::{Load, Outcome, run};

pub use self::plan::{Plan, Variant};

/// Why an experiment could not be made.
#[derive(Debug)]
pub enum ExperimentError {
    /// A file could not be read or written.
    File(PathBuf, io::Error),
    /// A file says nothing that can be played.
    Malformed(PathBuf, String),
    /// A plot could not be drawn.
    Plot(PathBuf, String),
    /// The table could not be written.
    Output(io::Error),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExperimentError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ExperimentError::Malformed(path, cause) => write!(f, "{}: {cause}", path.display()),
            ExperimentError::Plot(path, cause) => write!(f, "{}: {cause}", path.display()),
            ExperimentError::Output(error) => write!(f, "cannot write: {error}"),
        }
    }
}

impl std::error::Error for ExperimentError {}

/// One load in one variant, with all its seeds.
#[derive(Debug)]
pub struct Played {
    /// Name of the load: its file's, without the ending.
    pub load: String,
    /// Name of the variant.
    pub variant: String,
    /// What callers got, by seed from 1 on.
    pub outcomes: Vec<Outcome>,
}

/// Plays the experiment of a file: prints a table, and writes CSV and plots to a folder where one is
/// named.
///
/// Fails where a file cannot be read, understood or written.
///
/// ```
/// use std::path::Path;
/// use teaselworks::experiment::play;
///
/// assert!(play(Path::new("no-such-file.jsonc"), None, &mut Vec::new()).is_err());
/// ```
pub fn play(
    file: &Path,
    folder: Option<&Path>,
    out: &mut dyn Write,
) -> Result<(), ExperimentError> {
    let plan = Plan::read(file)?;
    let mut played = Vec::new();
    for (name, load) in plan.loads(file)? {
        for variant in &plan.variants {
            let outcomes = play_seeds(&variant.of(&load), plan.seeds);
            played.push(Played { load: name.clone(), variant: variant.name.clone(), outcomes });
        }
    }
    table::print(&played, out).map_err(ExperimentError::Output)?;
    let Some(folder) = folder else { return Ok(()) };
    table::write_csv(&played, &folder.join("experiment.csv"))?;
    plot::draw(&played, folder)
}

/// Plays a load with seeds from 1 on, as many at a time as there are processors.
fn play_seeds(load: &Load, seeds: u64) -> Vec<Outcome> {
    let next = Mutex::new(1..=seeds);
    let outcomes = Mutex::new(Vec::new());
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next.lock().expect("no player panics").next();
                    let Some(seed) = seed else { return };
                    let outcome = run(load, seed);
                    outcomes.lock().expect("no player panics").push((seed, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("no player panics");
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}
