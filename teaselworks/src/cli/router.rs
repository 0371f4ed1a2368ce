//! `router`: runs one router until a planned stop.

use std::path::Path;
use std::thread;

use clap::ArgMatches;
use teaselworks_config::settings::{RuntimeSettings, Settings};
use tokio::runtime;

use super::failure::Failure;
use crate::daemon;

/// Most threads where the settings name none.
///
/// The allocator keeps what each thread freed for that thread: on a machine of many processors the
/// largest change of the configuration would stay once for each of them.
const WORKER_THREADS_MAX: usize = 4;

/// Runs `router`; fails when the settings have faults or a port cannot be opened.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let file = matches.get_one::<String>("settings").expect("clap requires the settings");
    let settings = Settings::load(Path::new(file)).map_err(Failure::Faults)?;
    let threads = worker_threads(&settings.runtime);
    let runtime =
        runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    runtime.block_on(daemon::run(settings)).map_err(|error| Failure::Start(error.to_string()))
}

fn worker_threads(settings: &RuntimeSettings) -> usize {
    match settings.worker_threads {
        0 => thread::available_parallelism().map_or(1, |count| count.get()).min(WORKER_THREADS_MAX),
        threads => threads as usize,
    }
}
