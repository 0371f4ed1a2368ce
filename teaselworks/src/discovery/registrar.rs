//! Task that keeps this router registered in the store, so that other routers count it and can
//! query it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::event;
use crate::kernel::ShutdownPhase;
use crate::platform::{Lease, Store, StoreError, registration_key, registration_value};
use crate::relay::Shared;

/// Minimum time after which the registration of a router that was killed expires. Until then the
/// other routers still count it, which makes their parts of the retry slack smaller, and may still
/// query it for the content of the store.
const MIN_LEASE_TTL: Duration = Duration::from_secs(9);
/// Number of renewals within the time of a lease. A failed renewal is repeated after
/// [`RETRY_PAUSE`], so two may fail in a row before the lease expires.
const RENEWALS_PER_LEASE: u32 = 3;
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Task that registers this router under a lease and renews the lease.
pub struct Registrar {
    store: Store,
    key: String,
    peers_address: SocketAddr,
    /// Lease time to request: [`MIN_LEASE_TTL`], or the shortest lease that the store grants if
    /// that is longer.
    lease_ttl: Duration,
    shared: Arc<Shared>,
}

impl Registrar {
    /// Creates the task of a router that others can query at `peers_address`. The lease is not
    /// shorter than `shortest_lease`.
    pub fn new(
        store: Store,
        name: &str,
        peers_address: SocketAddr,
        shortest_lease: Duration,
        shared: Arc<Shared>,
    ) -> Self {
        let lease_ttl = MIN_LEASE_TTL.max(shortest_lease);
        Self { store, key: registration_key(name), peers_address, lease_ttl, shared }
    }

    /// Keeps the router registered until a planned stop begins, and then ends the registration.
    pub async fn run(mut self) {
        let mut lease = None;
        while self.shared.shutdown.phase() == ShutdownPhase::Running {
            let pause = match self.renew_or_register(&mut lease).await {
                Ok(()) => self.lease_ttl / RENEWALS_PER_LEASE,
                Err(error) => {
                    // After a failed renewal the lease may still be valid, but this is not certain.
                    event::REGISTRATION_LOST.log(&[event::text("cause", &error)]);
                    RETRY_PAUSE
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.shared.shutdown.reached(ShutdownPhase::Announced) => {}
            }
        }
        if let Some(lease) = lease {
            self.shared.fleet().membership.on_lease_revoked();
            // If this call fails, the lease expires by itself.
            let _ = self.store.revoke_lease(lease).await;
        }
    }

    /// Renews the lease. Without a lease, or if it has ended, registers the router under a new one.
    ///
    /// If the new lease ends before the registration is written, returns `Ok` although the router
    /// is not registered; the next call requests another lease.
    async fn renew_or_register(&mut self, lease: &mut Option<Lease>) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        if let Some(current) = *lease {
            if self.store.renew_lease(current).await? {
                self.shared.fleet().membership.on_registered(sent_at, current.ttl);
                return Ok(());
            }
            *lease = None;
        }
        let new_lease = self.store.grant_lease(self.lease_ttl).await?;
        let value = registration_value(self.peers_address);
        if self.store.put(&self.key, &value, new_lease).await? {
            *lease = Some(new_lease);
            let now = self.shared.now();
            let mut fleet = self.shared.fleet();
            fleet.membership.on_registered(sent_at, new_lease.ttl);
            fleet.membership.on_lease_granted(now);
            drop(fleet);
            event::REGISTERED.log(&[
                event::text("key", &self.key),
                event::number("lease_ms", new_lease.ttl.as_millis() as u64),
            ]);
        }
        Ok(())
    }
}
