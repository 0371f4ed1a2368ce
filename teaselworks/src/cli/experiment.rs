//! The `experiment` command, which replays recorded loads.

use std::io::Write;
use std::path::PathBuf;

use clap::ArgMatches;

use super::failure::CommandError;
use crate::experiment;

/// Runs the experiment given in `matches`.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), CommandError> {
    let file = matches.get_one::<PathBuf>("file").expect("clap requires `file`");
    let folder = matches.get_one::<PathBuf>("out").map(PathBuf::as_path);
    Ok(experiment::run_experiment(file, folder, out)?)
}
