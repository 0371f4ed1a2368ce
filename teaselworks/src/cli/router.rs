//! The `router` command, which runs a router.

use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use teaselworks_policy::clock::SystemClock;
use tokio::runtime;

use super::failure::CommandError;
use crate::daemon::{self, ReloadSignal, StartError};
use crate::event;
use crate::kernel::{self, Wakeups};
use crate::settings::Settings;

/// Runs a router with the settings file given in `matches` until a planned stop has ended.
pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let path = matches.get_one::<PathBuf>("settings").expect("clap requires `settings`");
    let wakeups = Arc::new(Wakeups::new(Arc::new(SystemClock::new())));
    let recorded = wakeups.clone();
    // The VMs provide less than one core, so a second thread would only add context switches.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_start(kernel::block_signals)
        .on_thread_unpark(move || recorded.record())
        .build()
        .map_err(StartError::Runtime)?;
    // The handler for SIGHUP must exist before the settings are read: they may change while the
    // router starts, and an unhandled SIGHUP ends the process.
    let reload_signal = runtime.block_on(async { ReloadSignal::install() })?;
    let settings = Settings::load(path)?;
    event::init(&settings.log);
    let result = runtime.block_on(daemon::serve(path.clone(), settings, reload_signal, &wakeups));
    if let Err(error) = &result {
        event::START_FAILED.log(&[event::text("cause", error)]);
    }
    event::flush();
    Ok(result?)
}
