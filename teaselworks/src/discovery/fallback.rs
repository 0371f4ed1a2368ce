//! Queries other routers for the store's content while the store does not answer this router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;

use super::{Source, StateUpdater};
use crate::event;
use crate::peers::message::PackedObservations;
use crate::peers::{PeerClient, PeerQuery};
use crate::relay::Shared;

/// Number of routers queried in one round: the store may not answer one of them either.
const PEERS_PER_ROUND: usize = 2;

/// Queries other routers while the store does not answer this one.
pub struct PeerFallback {
    shared: Arc<Shared>,
    random: Pcg32,
}

impl PeerFallback {
    /// Creates a fallback; `seed` determines the random choice of routers.
    pub fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self { shared, random: Pcg32::seed_from_u64(seed) }
    }

    /// Queries up to [`PEERS_PER_ROUND`] random routers one after the other and applies the first
    /// update that is newer than the state of this router.
    ///
    /// The store may be unreachable from this router only, or refuse its calls and serve others.
    pub async fn query_peers(&mut self, updater: &StateUpdater) {
        let addresses = self.shared.fleet().membership.addresses();
        let chosen: Vec<SocketAddr> =
            addresses.sample(&mut self.random, PEERS_PER_ROUND).copied().collect();
        for address in chosen {
            let known = updater.revision();
            let query = PeerQuery {
                known_revision: known,
                wait: Duration::ZERO,
                largest_bytes: None,
                observations: PackedObservations::default(),
            };
            let sent_at = updater.now();
            let response = match PeerClient::new(address).query(query).await {
                Ok(response) => response,
                Err(error) => {
                    let fields = [event::text("address", &address), event::text("cause", &error)];
                    event::PEER_FAILED.log(&fields);
                    continue;
                }
            };
            if response.reads_store {
                updater.on_read_elsewhere();
            }
            let is_updated = updater.apply_update(&response.update, Source::Peer(address));
            updater.on_confirmed_by_peer(sent_at, response.list_age);
            if is_updated {
                return;
            }
        }
    }
}
