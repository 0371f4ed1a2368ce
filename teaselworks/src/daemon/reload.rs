//! Reads the settings again when their file changes, with a signal or without.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::StartError;
use super::services::fleet_settings;
use crate::event;
use crate::relay::Shared;
use crate::settings::Settings;

/// Time between looks at the file for a change without a signal. Nothing that may change is needed
/// sooner than the next planned work.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// SIGHUP, which tells that the settings changed; until it is caught it ends the process.
pub struct HangUps(Signal);

impl HangUps {
    /// Catches it; fails where the system refuses. Needs a runtime.
    ///
    /// ```
    /// use teaselworks::daemon::HangUps;
    ///
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// assert!(runtime.block_on(async { HangUps::catch() }).is_ok());
    /// ```
    pub fn catch() -> Result<Self, StartError> {
        Ok(Self(signal(SignalKind::hangup()).map_err(StartError::Signal)?))
    }
}

/// Watches the settings file until the process ends. Bounds and seeds take effect at once;
/// addresses stay those that the router listens on.
pub(super) async fn run(
    path: PathBuf,
    mut in_force: Settings,
    shared: Arc<Shared>,
    HangUps(mut hang_ups): HangUps,
) {
    let mut changed = changed_at(&path);
    loop {
        let is_signalled = tokio::select! {
            _ = hang_ups.recv() => true,
            () = tokio::time::sleep(LOOK_INTERVAL) => false,
        };
        let at = changed_at(&path);
        if !is_signalled && at == changed {
            continue;
        }
        changed = at;
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

fn apply(shared: &Shared, settings: &Settings) {
    let mut fleet = shared.fleet();
    fleet.set_settings(fleet_settings(&settings.bounds));
    fleet.membership.set_seeds(settings.seeds.clone());
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
