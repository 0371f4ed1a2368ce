//! Experiments: recorded loads, simulated in several variants and with several seeds, and compared.
//!
//! A [`Load`] here is the whole simulated traffic with the fleet that serves it, not the load of
//! one upstream.

mod plan;
mod plot;
mod table;

use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use teaselworks_model::{Load, Outcome, run};

pub use self::plan::{ExperimentPlan, Variant};

/// Error of an experiment.
#[derive(Debug)]
pub enum ExperimentError {
    /// A file could not be read or written.
    File(PathBuf, io::Error),
    /// A file with an experiment or a load is invalid.
    Malformed(PathBuf, String),
    /// A plot could not be drawn.
    Plot(PathBuf, String),
    /// The table of results could not be written.
    Output(io::Error),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExperimentError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ExperimentError::Malformed(path, cause) => write!(f, "{}: {cause}", path.display()),
            ExperimentError::Plot(path, cause) => write!(f, "plotting {}: {cause}", path.display()),
            ExperimentError::Output(error) => write!(f, "cannot write the table: {error}"),
        }
    }
}

impl std::error::Error for ExperimentError {}

/// Results of one load in one variant.
#[derive(Debug)]
pub struct VariantResult {
    /// Name of the load: the name of its file without the extension.
    pub load: String,
    /// Name of the variant.
    pub variant: String,
    /// Results of the simulations; the first has seed 1, the next one seed 2, and so on.
    pub outcomes: Vec<Outcome>,
}

/// Runs the experiment that `file` describes, and prints a table of results to `out`.
///
/// With a `folder`, also writes the results as CSV and a plot of each load to it.
///
/// Returns an error if a file cannot be read or is invalid, or if the table, the CSV file or a plot
/// cannot be written.
///
/// ```
/// use std::path::Path;
/// use teaselworks::experiment::run_experiment;
///
/// assert!(run_experiment(Path::new("no-such-file.jsonc"), None, &mut Vec::new()).is_err());
/// ```
pub fn run_experiment(
    file: &Path,
    folder: Option<&Path>,
    out: &mut dyn Write,
) -> Result<(), ExperimentError> {
    let plan = ExperimentPlan::read(file)?;
    let mut results = Vec::new();
    for (name, load) in plan.loads(file)? {
        for variant in &plan.variants {
            let outcomes = run_seeds(&variant.apply_to(&load), plan.seeds);
            results.push(VariantResult {
                load: name.clone(),
                variant: variant.name.clone(),
                outcomes,
            });
        }
    }
    table::print(&results, out).map_err(ExperimentError::Output)?;
    let Some(folder) = folder else { return Ok(()) };
    table::write_csv(&results, &folder.join("experiment.csv"))?;
    plot::draw(&results, folder)
}

/// Simulates a load with the seeds 1 to `seeds`, on as many threads as there are processors.
fn run_seeds(load: &Load, seeds: u64) -> Vec<Outcome> {
    let next_seeds = Mutex::new(1..=seeds);
    let outcomes = Mutex::new(Vec::new());
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next_seeds.lock().expect("a simulation thread panicked").next();
                    let Some(seed) = seed else { return };
                    let outcome = run(load, seed);
                    outcomes.lock().expect("a simulation thread panicked").push((seed, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("a simulation thread panicked");
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}
