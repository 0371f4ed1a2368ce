//! Runs a router.

use std::path::PathBuf;

use clap::ArgMatches;
use tokio::runtime;

use super::failure::Failure;
use crate::daemon::{self, HangUps, StartError};
use crate::event;
use crate::settings::Settings;

/// Runs a router with the settings that `matches` names.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("settings").expect("a required argument");
    // One thread: the VMs have a part of one core, and a second thread would only add switches.
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    // Before anything that takes time: settings may change while the router starts.
    let hang_ups = runtime.block_on(async { HangUps::catch() })?;
    let settings = Settings::load(path)?;
    event::init(&settings.log);
    let result = runtime.block_on(daemon::serve(path.clone(), settings, hang_ups));
    if let Err(error) = &result {
        event::START_FAILED.log(&[event::text("cause", error)]);
    }
    event::flush();
    Ok(result?)
}
