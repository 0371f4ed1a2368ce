//! Pool of connections to upstreams, which are kept open for later requests.

use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use socket2::SockRef;
use teaselworks_policy::upstream::Incarnation;
use tokio::net::TcpStream;

use super::upstream_connection::{ActiveConnections, Connection, IdleConnection};
use crate::metrics::Metrics;
use crate::net;

/// Maximum number of idle connections that a router keeps to one upstream. All routers share the
/// upstream's connection limit.
const MAX_IDLE_PER_UPSTREAM: usize = 32;

/// Pool of connections to upstreams. Idle connections are reused.
///
/// An idle connection is kept as a socket only, without the buffers of the HTTP library, which take
/// far more memory.
pub struct ConnectionPool {
    idle: Arc<IdleConnections>,
    active: Arc<ActiveConnections>,
    metrics: Arc<Metrics>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { idle: Arc::default(), active: Arc::default(), metrics }
    }

    /// Takes the usable connection to an upstream that was idle for the shortest time, if there is
    /// one.
    pub(super) async fn take(
        &self,
        now: Duration,
        incarnation: &Incarnation,
    ) -> Option<Connection> {
        let IdleConnection { stream, keep_alive, .. } = self.idle.take(now, incarnation)?;
        self.start(incarnation, stream, keep_alive).await.ok()
    }

    /// Opens a connection; fails if that takes longer than `connect_timeout`.
    pub(super) async fn open(
        &self,
        incarnation: &Incarnation,
        connect_timeout: Duration,
    ) -> io::Result<Connection> {
        let stream = net::connect_within(incarnation.address, connect_timeout).await?;
        let connection = self.start(incarnation, stream, None).await?;
        self.metrics.add_connection();
        Ok(connection)
    }

    /// Starts HTTP on a stream, which returns to the pool when the connection is released.
    async fn start(
        &self,
        incarnation: &Incarnation,
        stream: TcpStream,
        keep_alive: Option<Duration>,
    ) -> io::Result<Connection> {
        let idle = self.idle.clone();
        let on_released = move |connection| idle.put(connection);
        Connection::start(incarnation, stream, keep_alive, &self.active, on_released)
            .await
            .map_err(|error| io::Error::other(error.to_string()))
    }

    /// Closes the idle connections that are no longer usable, or that the upstream has closed or
    /// sent data on.
    pub fn close_expired(&self, now: Duration) {
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                connection.is_usable(now) && is_open_and_silent(&connection.stream)
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        self.idle.lock().retain(|incarnation, _| *incarnation.id != *upstream);
    }

    /// Closes all connections, idle and in use, to other incarnations of an upstream than
    /// `incarnation`.
    pub fn close_other_incarnations(&self, incarnation: &Incarnation) {
        self.idle.lock().retain(|other, _| other.id != incarnation.id || other == incarnation);
        self.active.close_other_incarnations(incarnation);
    }
}

/// Idle connections by the incarnation of their upstream, the most recently used last.
#[derive(Debug, Default)]
struct IdleConnections(Mutex<HashMap<Incarnation, Vec<IdleConnection>>>);

impl IdleConnections {
    fn take(&self, now: Duration, incarnation: &Incarnation) -> Option<IdleConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(incarnation)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now) && is_open_and_silent(&connection.stream) {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, connection: IdleConnection) {
        let mut idle = self.lock();
        let connections = idle.entry(connection.incarnation.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<IdleConnection>>> {
        self.0.lock().expect("idle connections lock is never poisoned")
    }
}

/// Returns whether the upstream has neither closed the connection nor sent unrequested data.
fn is_open_and_silent(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
