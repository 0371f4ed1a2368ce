//! Plays experiments.

use std::io::Write;
use std::path::PathBuf;

use clap::ArgMatches;

use super::failure::Failure;
use crate::experiment;

/// Plays the experiment that `matches` names.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let file = matches.get_one::<PathBuf>("file").expect("a required argument");
    let folder = matches.get_one::<PathBuf>("out").map(PathBuf::as_path);
    Ok(experiment::play(file, folder, out)?)
}
