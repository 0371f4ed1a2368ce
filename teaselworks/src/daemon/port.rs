//! HTTP ports: opened before anything is served, closed after the last answer.

use std::net::SocketAddr;
use std::time::Duration;

use poem::{IntoEndpoint, Server};
use tokio::task::JoinHandle;

use super::error::StartError;
use crate::caller::half_closed_response;
use crate::connection::{ConnectionAcceptor, dropped_with_client, listen};
use crate::kernel::{Shutdown, ShutdownPhase};

/// Time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time that connections get to close after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An open port that does not serve yet.
pub struct Port {
    acceptor: ConnectionAcceptor,
}

impl Port {
    /// Opens a port; fails when the address cannot be listened on.
    pub async fn open(address: SocketAddr) -> Result<Self, StartError> {
        let opened = listen(address).and_then(ConnectionAcceptor::new);
        let acceptor = opened.map_err(|source| StartError::Listen { address, source })?;
        Ok(Self { acceptor: acceptor.with_idle_timeout(IDLE_TIMEOUT) })
    }

    /// Returns the address that the port has, where the settings left it open.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Serves until the process has stopped.
    pub fn serve<E>(self, endpoint: E, shutdown: &Shutdown) -> JoinHandle<()>
    where
        E: IntoEndpoint + Send + 'static,
        E::Endpoint: 'static,
    {
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let stopped = shutdown.reached(ShutdownPhase::Stopped);
            // The server ends only by the stop that it is told of.
            let _ = Server::new_with_acceptor(self.acceptor)
                .run_with_graceful_shutdown(
                    dropped_with_client(endpoint, half_closed_response),
                    stopped,
                    Some(CLOSE_TIMEOUT),
                )
                .await;
        })
    }
}
