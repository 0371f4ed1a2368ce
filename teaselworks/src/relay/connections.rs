//! Connections to upstreams, kept for later requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use super::body::Outgoing;
use crate::metrics::Metrics;
use crate::net;

/// Longest idle time of a connection whose upstream does not say how long it keeps it.
const UNSTATED_IDLE: Duration = Duration::from_secs(2);
/// Time before the end of an upstream's stated timeout from which a connection is not used any
/// more: the request would cross the close on its way and might have run.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections kept to one upstream: a few routers share what it accepts, and a burst needs
/// few, as each is used again within milliseconds.
const IDLE_MAX: usize = 32;

/// One connection to an upstream, which carries one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Outgoing>,
    task: AbortHandle,
    keep_alive: Option<Duration>,
}

impl Connection {
    /// Notes how long the upstream keeps the connection open while it is idle.
    pub(super) fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive.or(self.keep_alive);
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
    /// Closes the connection at once.
    ///
    /// What goes wrong otherwise: the upstream works on for a caller that has left, or its late
    /// bytes are taken for the answer to another request.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
}

/// Idle connections by upstream.
pub struct Connections {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// Makes an empty pool.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { idle: Mutex::default(), metrics }
    }

    /// Takes the connection to an upstream that was idle for the shortest time.
    pub(super) fn take(&self, now: Duration, upstream: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        let kept = idle.get_mut(upstream)?;
        while let Some(Idle { connection, since }) = kept.pop() {
            let is_fresh = now.saturating_sub(since) < connection.longest_idle();
            if is_fresh && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn open(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let stream = net::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        // Its end shows in the sender.
        let task = tokio::spawn(async move {
            connection.await.ok();
        });
        self.metrics.add_connection();
        Ok(Connection { sender, task: task.abort_handle(), keep_alive: None })
    }

    /// Keeps a connection whose answer is whole for a later request.
    ///
    /// One on which something is still under way, as the rest of a request that was answered early,
    /// is closed.
    pub(super) fn give_back(&self, now: Duration, upstream: &Arc<str>, connection: Connection) {
        if !connection.sender.is_ready() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        let kept = idle.entry(upstream.clone()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(Idle { connection, since: now });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Duration) {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
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
        self.idle.lock().expect("the pool's lock is never poisoned").remove(upstream);
    }
}
