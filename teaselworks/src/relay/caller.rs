//! Accepts the connections of callers and limits how many are open at once.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::Shared;
use super::caller_connection::CallerConnection;
use super::open_connections::{ConnectionCounter, OpenCallerConnections};
use crate::kernel::ShutdownPhase;
use crate::net;

/// Share of the process's file descriptors that connections of callers may use. The rest is left
/// for connections to upstreams, the store and other routers, and for files.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.75;
/// Interval at which the number of open connections is checked while it is at its maximum and no
/// connection is accepted.
const MAX_CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections of callers up to a maximum and serves each in a task of its own.
pub struct CallerPort {
    shared: Arc<Shared>,
    open: OpenCallerConnections,
    max_connections: usize,
}

impl CallerPort {
    /// Creates the port for a process whose limit of open file descriptors is `file_descriptors`.
    ///
    /// Callers may use three quarters of them, so that descriptors remain for connections to
    /// upstreams.
    pub fn new(shared: Arc<Shared>, file_descriptors: u32) -> Self {
        let max_connections = f64::from(file_descriptors) * CALLER_DESCRIPTOR_SHARE;
        Self {
            shared,
            open: OpenCallerConnections::default(),
            max_connections: max_connections as usize,
        }
    }

    /// Returns the counter of open connections.
    pub fn connections(&self) -> OpenCallerConnections {
        self.open.clone()
    }

    /// Accepts and serves connections until the process is about to exit.
    ///
    /// While the maximum number of connections is open, new ones wait in the listen queue.
    pub async fn run(self, listener: TcpListener) {
        let shutdown = self.shared.shutdown.clone();
        let mut leaving = pin!(shutdown.reached(ShutdownPhase::Leaving));
        loop {
            while self.open.count() >= self.max_connections {
                tokio::time::sleep(MAX_CONNECTIONS_POLL_INTERVAL).await;
            }
            tokio::select! {
                biased;
                stream = net::accept(&listener) => self.serve(stream),
                () = leaving.as_mut() => break,
            }
        }
        for stream in net::accept_waiting(listener) {
            self.serve(stream);
        }
    }

    /// Serves a connection in a task of its own.
    fn serve(&self, stream: TcpStream) {
        let shared = self.shared.clone();
        let counter = ConnectionCounter::new(&self.open, self.max_connections);
        // A stopping router waits for the counted connections. One that is accepted while it
        // drains is therefore counted only once it sends a request.
        if shared.shutdown.phase() < ShutdownPhase::Draining {
            counter.count_connection();
        }
        tokio::spawn(async move {
            // The error is ignored: a caller that disconnects during a request is logged with
            // that request.
            let _ = CallerConnection::new(shared, counter).run(stream).await;
        });
    }
}
