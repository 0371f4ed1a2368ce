//! The phases of a planned stop, seen by every service.

use std::sync::Arc;

use tokio::sync::watch;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// Serving.
    Running,
    /// The health check fails and peers are told; requests that will be done in time are taken.
    Notice,
    /// Idle connections are closed; requests in progress finish.
    Draining,
    /// Everything ends.
    Stopped,
}

/// Shared view of the stop's phase.
#[derive(Clone, Debug)]
pub struct Shutdown {
    phase: Arc<watch::Sender<ShutdownPhase>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// Starts in the running phase.
    ///
    /// ```
    /// use teaselworks::kernel::{Shutdown, ShutdownPhase};
    ///
    /// let shutdown = Shutdown::new();
    /// shutdown.advance(ShutdownPhase::Draining);
    /// shutdown.advance(ShutdownPhase::Notice);
    /// assert_eq!(shutdown.phase(), ShutdownPhase::Draining);
    /// ```
    pub fn new() -> Self {
        Self { phase: Arc::new(watch::Sender::new(ShutdownPhase::Running)) }
    }

    /// Moves on to a later phase; an earlier one is ignored.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until the phase is reached or passed.
    pub async fn reached(&self, phase: ShutdownPhase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
