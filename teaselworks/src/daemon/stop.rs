//! A planned stop: notice, drain, end; nothing in progress is cut.

use std::time::Duration;

use teaselworks_config::settings::StopSettings;
use tokio::signal::unix::{SignalKind, signal};

use super::error::StartError;
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};

/// Time between looks at what is still in progress.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT.
pub(super) async fn requested() -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leads the process through a planned stop, to the phase in which every service ends.
///
/// What goes wrong if that phase comes before `hand_over` has ended: the service that holds use
/// may end before another router holds it too, by chance, and event 401 tells how much was lost.
///
/// ```
/// use teaselworks::daemon::planned_stop;
/// use teaselworks::kernel::{Shutdown, ShutdownPhase};
/// use teaselworks_config::settings::StopSettings;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let shutdown = Shutdown::new();
/// let settings = StopSettings { notice_ms: 0, drain_ms: 0 };
/// planned_stop(&shutdown, &settings, || 0, async {}).await;
/// assert_eq!(shutdown.phase(), ShutdownPhase::Stopped);
/// # });
/// ```
pub async fn planned_stop(
    shutdown: &Shutdown,
    settings: &StopSettings,
    in_progress: impl Fn() -> usize,
    hand_over: impl Future<Output = ()>,
) {
    drain(shutdown, settings, in_progress).await;
    hand_over.await;
    shutdown.advance(ShutdownPhase::Stopped);
}

/// Waits until no request is in progress.
///
/// The balancer and the peers need a moment to notice that this router leaves: requests that
/// they still send during the notice are served, so that none meets a closed port.
async fn drain(shutdown: &Shutdown, settings: &StopSettings, in_progress: impl Fn() -> usize) {
    event::STOP_REQUESTED.log(format_args!("notice_ms={}", settings.notice_ms));
    shutdown.advance(ShutdownPhase::Notice);
    tokio::time::sleep(Duration::from_millis(settings.notice_ms)).await;
    event::DRAINING.log(format_args!("in_progress={}", in_progress()));
    shutdown.advance(ShutdownPhase::Draining);
    let idle = async {
        while in_progress() > 0 {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    let longest = Duration::from_millis(settings.drain_ms);
    if tokio::time::timeout(longest, idle).await.is_err() {
        event::DRAIN_TIMEOUT.log(format_args!("in_progress={}", in_progress()));
    }
}
