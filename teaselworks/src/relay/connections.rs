//! Connections to upstreams, kept for later requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use teaselworks_policy::upstream::Incarnation;
use tokio::task::AbortHandle;

use super::body::Outgoing;
use crate::metrics::Metrics;
use crate::net;

/// Longest idle time of a connection whose upstream does not say how long it keeps it.
const UNSTATED_IDLE: Duration = Duration::from_secs(2);
/// Time before the end of an upstream's stated timeout from which a connection is not used any
/// more: the request would cross the close on its way and might have run.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections kept to one upstream, whose limit all routers share.
const IDLE_MAX: usize = 32;

/// One connection to an upstream, which carries one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Outgoing>,
    keep_alive: Option<Duration>,
    handle: Handle,
    open: Arc<OpenConnections>,
}

impl Connection {
    /// Notes how long the upstream keeps the connection open while it is idle.
    pub(super) fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive.or(self.keep_alive);
    }

    /// Tells whether the connection was closed since its upstream started again: what has not
    /// arrived never will, though the body ends as if it were whole.
    pub(super) fn was_cut(&self) -> bool {
        self.handle.was_cut.load(Ordering::Relaxed)
    }

    fn longest_idle(&self) -> Duration {
        match self.keep_alive {
            None => UNSTATED_IDLE,
            Some(timeout) if timeout >= 2 * IDLE_MARGIN => timeout - IDLE_MARGIN,
            Some(timeout) => timeout / 2,
        }
    }
}

impl Drop for Connection {
    /// Closes the connection at once, so that the upstream works no longer for a caller that has
    /// left, and late bytes are not taken for the answer to another request.
    fn drop(&mut self) {
        self.handle.task.abort();
        self.open.remove(&self.handle);
    }
}

/// Ends a connection from elsewhere.
#[derive(Clone, Debug)]
struct Handle {
    incarnation: Incarnation,
    number: u64,
    task: AbortHandle,
    was_cut: Arc<AtomicBool>,
}

/// Every open connection, in use or idle, by the identifier of its upstream.
#[derive(Debug, Default)]
struct OpenConnections {
    last_number: AtomicU64,
    handles: Mutex<HashMap<Arc<str>, Vec<Handle>>>,
}

impl OpenConnections {
    fn add(&self, incarnation: &Incarnation, task: AbortHandle) -> Handle {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        let was_cut = Arc::default();
        let handle = Handle { incarnation: incarnation.clone(), number, task, was_cut };
        self.lock().entry(incarnation.id.clone()).or_default().push(handle.clone());
        handle
    }

    fn remove(&self, handle: &Handle) {
        let mut handles = self.lock();
        let Some(open) = handles.get_mut(&handle.incarnation.id) else { return };
        open.retain(|other| other.number != handle.number);
        if open.is_empty() {
            handles.remove(&handle.incarnation.id);
        }
    }

    /// Ends the connections to other starts of an upstream than this one.
    fn cut_others(&self, incarnation: &Incarnation) {
        for handle in self.lock().get(&incarnation.id).into_iter().flatten() {
            if handle.incarnation == *incarnation {
                continue;
            }
            handle.was_cut.store(true, Ordering::Relaxed);
            handle.task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Handle>>> {
        self.handles.lock().expect("the lock is never poisoned")
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
}

/// Connections to upstreams, of which idle ones are used again.
pub struct Connections {
    idle: Mutex<HashMap<Incarnation, Vec<Idle>>>,
    open: Arc<OpenConnections>,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// Makes an empty pool.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { idle: Mutex::default(), open: Arc::default(), metrics }
    }

    /// Takes the connection to an upstream that was idle for the shortest time.
    pub(super) fn take(&self, now: Duration, incarnation: &Incarnation) -> Option<Connection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(incarnation)?;
        while let Some(Idle { connection, since }) = kept.pop() {
            let is_fresh = now.saturating_sub(since) < connection.longest_idle();
            if is_fresh && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection; fails where that takes longer than `longest`.
    pub(super) async fn open(
        &self,
        incarnation: &Incarnation,
        longest: Duration,
    ) -> std::io::Result<Connection> {
        let stream = net::connect_within(incarnation.address, longest).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        // Its end shows in the sender.
        let task = tokio::spawn(async move {
            connection.await.ok();
        });
        self.metrics.add_connection();
        let handle = self.open.add(incarnation, task.abort_handle());
        Ok(Connection { sender, keep_alive: None, handle, open: self.open.clone() })
    }

    /// Keeps a connection whose answer is whole for a later request.
    ///
    /// One on which something is still under way, as the rest of a request that was answered early,
    /// is closed.
    pub(super) fn give_back(&self, now: Duration, connection: Connection) {
        if !connection.sender.is_ready() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(connection.handle.incarnation.clone()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(Idle { connection, since: now });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|idle| {
                let is_fresh = now.saturating_sub(idle.since) < idle.connection.longest_idle();
                is_fresh && !idle.connection.sender.is_closed()
            });
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the idle connections to an upstream that is gone.
    pub fn forget(&self, upstream: &str) {
        self.lock().retain(|incarnation, _| *incarnation.id != *upstream);
    }

    /// Closes every connection, also in use, to earlier starts of an upstream.
    pub fn cut_others(&self, incarnation: &Incarnation) {
        self.lock().retain(|other, _| other.id != incarnation.id || other == incarnation);
        self.open.cut_others(incarnation);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<Idle>>> {
        self.idle.lock().expect("the pool's lock is never poisoned")
    }
}
