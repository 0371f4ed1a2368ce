//! A planned stop, which cuts no request in progress.

use std::time::Duration;

use teaselworks_policy::stop::{Phase, StopPlan};
use tokio::signal::unix::{SignalKind, signal};

use super::StartError;
use crate::event;
use crate::kernel::ShutdownPhase;
use crate::relay::Shared;

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

/// Leads the process through a planned stop; `in_progress` counts what must not be cut.
pub(super) async fn run(shared: &Shared, grace: Duration, in_progress: impl Fn() -> usize) {
    let plan = StopPlan::new(grace);
    let began = shared.now();
    event::STOP_REQUESTED.log(&[event::number("grace_ms", grace.as_millis() as u64)]);
    shared.begin_stop(plan);
    loop {
        let elapsed = shared.now().saturating_sub(began);
        match plan.phase(elapsed, in_progress()) {
            Phase::Accepting => {}
            Phase::Finishing if shared.shutdown.phase() < ShutdownPhase::Draining => {
                event::FINISHING.log(&[event::number("in_progress", in_progress() as u64)]);
                shared.shutdown.advance(ShutdownPhase::Draining);
            }
            Phase::Finishing => {}
            Phase::Ended => break,
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    event::ROUTER_STOPPED.log(&[event::number("cut", in_progress() as u64)]);
}
