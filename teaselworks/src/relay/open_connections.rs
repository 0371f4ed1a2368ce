//! Counts the open connections of callers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Shared counter of the open connections of callers.
///
/// A connection that is accepted while the router drains counts only from its first request on.
#[derive(Clone, Debug, Default)]
pub struct OpenCallerConnections(Arc<AtomicUsize>);

impl OpenCallerConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more connection until the returned guard is dropped.
    pub(super) fn add(&self) -> OpenConnectionGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnectionGuard(self.0.clone())
    }
}

/// One counted connection; dropping it decrements the counter.
pub(super) struct OpenConnectionGuard(Arc<AtomicUsize>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one connection as open, at most once. The connection stays counted until every clone of
/// this value is dropped.
#[derive(Clone)]
pub(super) struct ConnectionCounter {
    open: OpenCallerConnections,
    max_connections: usize,
    guard: Arc<Mutex<Option<OpenConnectionGuard>>>,
}

impl ConnectionCounter {
    pub(super) fn new(open: &OpenCallerConnections, max_connections: usize) -> Self {
        Self { open: open.clone(), max_connections, guard: Arc::default() }
    }

    /// Returns whether more than half of the allowed connections are open, so that none should stay
    /// open while idle. Otherwise idle connections could use up the limit, and requests on
    /// connections that wait to be accepted would be read only after their callers have left.
    pub(super) fn is_above_half_limit(&self) -> bool {
        self.open.count() * 2 > self.max_connections
    }

    /// Counts the connection as open unless it is counted already.
    pub(super) fn count_connection(&self) {
        let mut guard = self.guard.lock().expect("connection guard lock is never poisoned");
        guard.get_or_insert_with(|| self.open.add());
    }
}
