//! Reloads the settings on SIGHUP, or when their file changes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::StartError;
use super::services::fleet_settings;
use crate::event;
use crate::relay::Shared;
use crate::settings::Settings;

/// Time between checks of the settings file for a change without a signal. No setting that can be
/// reloaded has to take effect before the next planned maintenance.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Handler for SIGHUP, which requests a reload of the settings.
///
/// SIGHUP ends the process until the handler is installed.
pub struct ReloadSignal(Signal);

impl ReloadSignal {
    /// Installs the handler; must be called within a Tokio runtime.
    ///
    /// Fails if the operating system refuses the handler.
    ///
    /// ```
    /// use teaselworks::daemon::ReloadSignal;
    ///
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// assert!(runtime.block_on(async { ReloadSignal::install() }).is_ok());
    /// ```
    pub fn install() -> Result<Self, StartError> {
        Ok(Self(signal(SignalKind::hangup()).map_err(StartError::Signal)?))
    }
}

/// Reloads the settings on each SIGHUP and on each change of the file's modification time, until
/// the process ends.
///
/// The load factor, the retry bounds, the admission and the seeds take effect at once. All other
/// settings, such as the listen addresses, take effect when the router restarts. The exchange of
/// offered load begins at a start only; without it a router divides its own part of the slots.
pub(super) async fn run(
    path: PathBuf,
    mut in_force: Settings,
    shared: Arc<Shared>,
    ReloadSignal(mut reload_signal): ReloadSignal,
) {
    let mut last_modified = modified_at(&path);
    loop {
        let is_signalled = tokio::select! {
            _ = reload_signal.recv() => true,
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => false,
        };
        let modified = modified_at(&path);
        if !is_signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match Settings::load(&path) {
            Ok(settings) if settings == in_force && !is_signalled => {}
            Ok(settings) => {
                apply(&shared, &settings);
                event::SETTINGS_RELOADED.log(&[
                    event::text("file", &path.display()),
                    event::text("changed", &(settings != in_force)),
                ]);
                in_force = settings;
            }
            Err(faults) => event::SETTINGS_REFUSED.log(&[event::text("faults", &faults)]),
        }
    }
}

/// Applies the settings that can change while the router runs.
fn apply(shared: &Shared, settings: &Settings) {
    let mut fleet = shared.fleet();
    fleet.set_settings(fleet_settings(settings));
    fleet.membership.set_seeds(settings.seeds.clone());
}

/// Returns the modification time of the file, or none if it cannot be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
