//! Keeps this router listed in the store, so that others count it and can ask it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::platform::{Lease, Store, StoreError, registration, registration_key};

/// Time for which the registration outlasts its router. Others count a router that was killed for
/// that long, which only makes their parts of the retry budget smaller.
const LEASE_TIME: Duration = Duration::from_secs(9);
/// Renewals in the time of a lease: two may fail in a row.
const RENEWALS: u32 = 3;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Task that registers the router.
pub struct Registrar {
    store: Store,
    key: String,
    peers: SocketAddr,
    lease_time: Duration,
    shutdown: Shutdown,
}

impl Registrar {
    /// Makes the task of a router that others can ask at `peers`.
    pub fn new(
        store: Store,
        name: &str,
        peers: SocketAddr,
        shortest_lease: Duration,
        shutdown: Shutdown,
    ) -> Self {
        let lease_time = LEASE_TIME.max(shortest_lease);
        Self { store, key: registration_key(name), peers, lease_time, shutdown }
    }

    /// Keeps the router registered until a planned stop begins.
    pub async fn run(mut self) {
        let mut lease = None;
        while self.shutdown.phase() == ShutdownPhase::Running {
            let pause = match self.step(&mut lease).await {
                Ok(()) => self.lease_time / RENEWALS,
                Err(error) => {
                    event::REGISTRATION_LOST.log(&[event::text("cause", &error)]);
                    RETRY_PAUSE
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.shutdown.reached(ShutdownPhase::Announced) => {}
            }
        }
        if let Some(lease) = lease {
            // It ends by itself otherwise.
            let _ = self.store.end(lease).await;
        }
    }

    async fn step(&mut self, lease: &mut Option<Lease>) -> Result<(), StoreError> {
        if let Some(held) = *lease {
            if self.store.renew(held).await? {
                return Ok(());
            }
            *lease = None;
        }
        let taken = self.store.lease(self.lease_time).await?;
        let value = registration(self.peers);
        if self.store.put(&self.key, &value, taken).await? {
            *lease = Some(taken);
            event::REGISTERED.log(&[
                event::text("key", &self.key),
                event::number("lease_ms", taken.ttl.as_millis() as u64),
            ]);
        }
        Ok(())
    }
}
