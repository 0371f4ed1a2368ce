//! Counts the attempts that wait and run at this owner.

use std::sync::Arc;

use teaselworks_policy::verdict::Priority;

use crate::metrics::Metrics;

/// What an admitted attempt does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits for its turn.
    Queued,
    /// Has a place at the upstream.
    Running,
}

/// Counts an attempt in a stage for as long as it lives.
pub struct StageCount {
    metrics: Arc<Metrics>,
    stage: Stage,
    priority: Priority,
}

impl StageCount {
    /// Counts an attempt in.
    pub fn new(metrics: Arc<Metrics>, stage: Stage, priority: Priority) -> Self {
        let count = Self { metrics, stage, priority };
        count.add(1);
        count
    }

    fn add(&self, change: i64) {
        match self.stage {
            Stage::Queued => self.metrics.add_queued(self.priority, change),
            Stage::Running => self.metrics.add_running(self.priority, change),
        }
    }
}

impl Drop for StageCount {
    fn drop(&mut self) {
        self.add(-1);
    }
}
