//! Planned stop, which lets requests in progress finish within the grace period.

use std::time::Duration;

use teaselworks_policy::stop::{Phase, StopPlan};
use tokio::signal::unix::{SignalKind, signal};

use super::StartError;
use crate::event;
use crate::kernel::{ShutdownPhase, Wakeups};
use crate::relay::Shared;

/// Time between checks of the requests that are still in progress.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT, which `wakeups` watch from then on; fails if a signal handler cannot be
/// installed.
pub(super) async fn wait_for_signal(wakeups: &Wakeups) -> Result<(), StartError> {
    let signals =
        [SignalKind::terminate(), SignalKind::interrupt()].map(|kind| kind.as_raw_value());
    wakeups.watch(&signals).map_err(StartError::Signal)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Runs a planned stop to its end. Its signal was sent up to `signal_delay` ago.
///
/// `in_progress` counts the connections that must not be cut. Idle ones are closed in the draining
/// phase; the stop ends when none is left, or shortly before `grace` has passed. Requests whose answer
/// has not begun by then get a final answer of the router just before.
pub(super) async fn run(
    shared: &Shared,
    grace: Duration,
    signal_delay: Duration,
    in_progress: impl Fn() -> usize,
) {
    let plan = StopPlan::new(grace).with_signal_delay(signal_delay);
    let started = shared.now();
    event::STOP_REQUESTED.log(&[
        event::number("grace_ms", grace.as_millis() as u64),
        event::number("max_signal_delay_ms", signal_delay.as_millis() as u64),
    ]);
    shared.begin_stop(plan);
    loop {
        let elapsed = shared.now().saturating_sub(started);
        match plan.phase(elapsed, in_progress()) {
            Phase::Accepting => {}
            Phase::Finishing if shared.shutdown.phase() < ShutdownPhase::Draining => {
                event::FINISHING.log(&[event::number("in_progress", in_progress() as u64)]);
                shared.shutdown.advance(ShutdownPhase::Draining);
            }
            Phase::Finishing => {}
            Phase::Closing => shared.shutdown.advance(ShutdownPhase::Closing),
            Phase::Ended => {
                // What has connected is served. A process that did not run meanwhile, or checked late,
                // has passed over the closing phase.
                let is_idle = in_progress() == 0;
                let last = if is_idle { ShutdownPhase::Leaving } else { ShutdownPhase::Closing };
                if shared.shutdown.phase() >= last {
                    break;
                }
                shared.shutdown.advance(last);
            }
        }
        tokio::time::sleep(PROGRESS_CHECK_INTERVAL).await;
    }
    event::ROUTER_STOPPED.log(&[event::number("cut", in_progress() as u64)]);
}
