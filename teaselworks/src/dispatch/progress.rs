//! Counts the requests in progress at this entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use teaselworks_policy::verdict::Priority;

use crate::metrics::Metrics;

/// Requests in progress, by number and in the metrics.
pub struct InProgress {
    requests: AtomicUsize,
    metrics: Arc<Metrics>,
}

impl InProgress {
    /// Starts with none.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { requests: AtomicUsize::new(0), metrics }
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn count(&self, priority: Priority) -> InProgressGuard<'_> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.metrics.add_in_flight(priority, 1);
        InProgressGuard { in_progress: self, priority }
    }
}

/// Counts one request until its answer has ended.
pub struct InProgressGuard<'a> {
    in_progress: &'a InProgress,
    priority: Priority,
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.in_progress.requests.fetch_sub(1, Ordering::Relaxed);
        self.in_progress.metrics.add_in_flight(self.priority, -1);
    }
}
