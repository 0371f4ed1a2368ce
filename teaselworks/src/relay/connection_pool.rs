//! Connections to upstreams, kept for later requests.

use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use socket2::SockRef;
use teaselworks_policy::upstream::Incarnation;
use tokio::net::TcpStream;

use super::upstream_connection::{Connection, OpenConnections, Released};
use crate::metrics::Metrics;
use crate::net;

/// Idle connections kept to one upstream, whose limit all routers share.
const IDLE_MAX: usize = 32;

/// Connections to upstreams, of which idle ones are used again.
///
/// An idle one is a mere socket: the buffers of the HTTP library take far more than that.
pub struct ConnectionPool {
    idle: Arc<IdleConnections>,
    open: Arc<OpenConnections>,
    metrics: Arc<Metrics>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { idle: Arc::default(), open: Arc::default(), metrics }
    }

    /// Takes the connection to an upstream that was idle for the shortest time.
    pub(super) async fn take(
        &self,
        now: Duration,
        incarnation: &Incarnation,
    ) -> Option<Connection> {
        let Released { stream, keep_alive, .. } = self.idle.take(now, incarnation)?;
        self.start(incarnation, stream, keep_alive).await.ok()
    }

    /// Opens a connection; fails where that takes longer than `longest`.
    pub(super) async fn open(
        &self,
        incarnation: &Incarnation,
        longest: Duration,
    ) -> io::Result<Connection> {
        let stream = net::connect_within(incarnation.address, longest).await?;
        let connection = self.start(incarnation, stream, None).await?;
        self.metrics.add_connection();
        Ok(connection)
    }

    async fn start(
        &self,
        incarnation: &Incarnation,
        stream: TcpStream,
        keep_alive: Option<Duration>,
    ) -> io::Result<Connection> {
        let idle = self.idle.clone();
        let on_released = move |released| idle.put(released);
        Connection::start(incarnation, stream, keep_alive, &self.open, on_released)
            .await
            .map_err(|error| io::Error::other(error.to_string()))
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: Duration) {
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain(|released| released.is_fresh(now));
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the idle connections to an upstream that is gone.
    pub fn close_idle(&self, upstream: &str) {
        self.idle.lock().retain(|incarnation, _| *incarnation.id != *upstream);
    }

    /// Closes every connection, also in use, to earlier starts of an upstream.
    pub fn close_other_incarnations(&self, incarnation: &Incarnation) {
        self.idle.lock().retain(|other, _| other.id != incarnation.id || other == incarnation);
        self.open.close_other_incarnations(incarnation);
    }
}

#[derive(Debug, Default)]
struct IdleConnections(Mutex<HashMap<Incarnation, Vec<Released>>>);

impl IdleConnections {
    fn take(&self, now: Duration, incarnation: &Incarnation) -> Option<Released> {
        let mut idle = self.lock();
        let kept = idle.get_mut(incarnation)?;
        while let Some(released) = kept.pop() {
            if released.is_fresh(now) && is_quiet(&released.stream) {
                return Some(released);
            }
        }
        None
    }

    fn put(&self, released: Released) {
        let mut idle = self.lock();
        let kept = idle.entry(released.incarnation.clone()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(released);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<Released>>> {
        self.0.lock().expect("the pool's lock is never poisoned")
    }
}

/// Tells whether the upstream has neither closed the connection nor sent what nobody asked for.
fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
