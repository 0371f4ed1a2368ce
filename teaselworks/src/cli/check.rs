//! The `check` command, which validates a settings file without starting a router.

use std::io::Write;
use std::path::PathBuf;

use clap::ArgMatches;

use super::failure::CommandError;
use crate::settings::Settings;

/// Validates the settings file given in `matches`.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), CommandError> {
    let path = matches.get_one::<PathBuf>("settings").expect("clap requires `settings`");
    let settings = Settings::load(path)?;
    writeln!(out, "{}: settings of router {} are valid", path.display(), settings.router.name)?;
    Ok(())
}
