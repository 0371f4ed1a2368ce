//! Asks other routers what the store would say, while it does not answer this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;

use super::{Source, StateUpdater};
use crate::event;
use crate::peers::message::PackedObservations;
use crate::peers::{Peer, PeerQuery};
use crate::relay::Shared;

/// Routers asked in one round; one of them may be turned away by the store as well.
const ASKED: usize = 2;

/// Asks other routers.
pub struct PeerFallback {
    shared: Arc<Shared>,
    random: Pcg32,
}

impl PeerFallback {
    /// Makes a fallback; `seed` sets whom it asks.
    pub fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self { shared, random: Pcg32::seed_from_u64(seed) }
    }

    /// Asks a few routers, and learns from the first that knows something newer.
    ///
    /// The store may turn this router away and serve the others.
    pub async fn ask(&mut self, updater: &StateUpdater) {
        let addresses = self.shared.fleet().membership.addresses();
        let asked: Vec<SocketAddr> = addresses.sample(&mut self.random, ASKED).copied().collect();
        for address in asked {
            let known = updater.revision();
            let question = PeerQuery {
                known_revision: known,
                wait: Duration::ZERO,
                largest_bytes: None,
                observations: PackedObservations::default(),
            };
            let answer = match Peer::new(address).ask(question).await {
                Ok(answer) => answer,
                Err(error) => {
                    let fields = [event::text("address", &address), event::text("cause", &error)];
                    event::PEER_FAILED.log(&fields);
                    continue;
                }
            };
            if answer.reads_store {
                updater.on_read_elsewhere();
            }
            if updater.on_news(&answer.update, Source::Peer(address)) {
                return;
            }
        }
    }
}
