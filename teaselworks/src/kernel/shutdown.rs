//! Current phase of a planned stop, shared with every service.

use std::sync::Arc;

use tokio::sync::watch;

/// Phase of a planned stop, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No stop has been requested.
    Running,
    /// The health check fails and the router's registration ends, so that load balancers and other
    /// routers learn of the stop. Requests that will finish in time are still accepted.
    Announced,
    /// Idle connections are closed, and requests in progress finish.
    Draining,
    /// No new connections are accepted. What has connected before is still served.
    Leaving,
    /// Requests whose answer has not begun get a final answer.
    Closing,
    /// The process exits.
    Stopped,
}

/// Handle to the current phase of the planned stop; clones share the phase.
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
    /// Creates a handle in the phase [`ShutdownPhase::Running`].
    ///
    /// ```
    /// use teaselworks::kernel::{Shutdown, ShutdownPhase};
    ///
    /// let shutdown = Shutdown::new();
    /// shutdown.advance(ShutdownPhase::Draining);
    /// shutdown.advance(ShutdownPhase::Announced);
    /// assert_eq!(shutdown.phase(), ShutdownPhase::Draining);
    /// ```
    pub fn new() -> Self {
        Self { phase: Arc::new(watch::Sender::new(ShutdownPhase::Running)) }
    }

    /// Advances to `phase`; an earlier phase than the current one is ignored.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn reached(&self, phase: ShutdownPhase) {
        let mut receiver = self.phase.subscribe();
        // Waiting fails only when the sender is dropped, and `self` holds it.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
