//! What happened when in a run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The times at which troubles began and ended, since the start of a run.
#[derive(Clone, Default)]
pub(super) struct TroubleLog {
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl TroubleLog {
    pub(super) fn add(&self, at: Duration, text: String) {
        self.lines.lock().expect("locks are never poisoned").push((at, text));
    }

    /// Returns what happened so far, in order.
    pub(super) fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().expect("locks are never poisoned").clone()
    }
}
