//! Checks settings offline.

use std::io::Write;
use std::path::PathBuf;

use clap::ArgMatches;

use super::failure::Failure;
use crate::settings::Settings;

/// Checks the settings file that `matches` names.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("settings").expect("a required argument");
    let settings = Settings::load(path)?;
    writeln!(out, "{}: settings of {} are valid", path.display(), settings.router.name)?;
    Ok(())
}
