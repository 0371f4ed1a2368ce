//! Keeps the mean loads of pools true: idle replicas count too, and routers tell each other.
//!
//! Replies bring the loads of busy replicas alone. A mean over those is too high, most of all
//! while few replicas are busy, and one engine would be filled up to a bound that is no bound.
//! So each owner counts its own replicas whether they are busy or not, and each router exchanges
//! what it saw itself with one other, drawn at random, once a second.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use teaselworks_policy::load::LoadSample;
use teaselworks_policy::membership::{Duty, RouterInfo};
use teaselworks_policy::name::Name;
use teaselworks_wire::message::Purpose;

use super::service::Owner;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::link::{Links, Peer};

/// Time between looks at the own replicas.
const OWN_INTERVAL: Duration = Duration::from_millis(250);
/// Looks at the own replicas between two exchanges with another router.
const LOOKS_PER_EXCHANGE: u32 = 4;
/// Time for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What one router saw itself of one pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolMean {
    /// Pool: a model, or a service.
    #[serde(rename = "p")]
    pub serves: Name,
    /// Mean load and the number of replicas that it covers.
    #[serde(rename = "s")]
    pub sample: LoadSample,
}

impl Owner {
    /// Counts own replicas and exchanges means until the process stops.
    pub fn start_means(self: &Arc<Self>, links: Arc<Links>, shutdown: Shutdown) {
        let owner = self.clone();
        let mut random = Pcg64::seed_from_u64(self.parts.seed);
        tokio::spawn(async move {
            let mut looks = 0;
            loop {
                owner.count_own();
                owner.clear_leaving();
                looks += 1;
                if looks % LOOKS_PER_EXCHANGE == 0 {
                    owner.exchange(&links, &mut random).await;
                }
                tokio::select! {
                    () = shutdown.reached(ShutdownPhase::Stopped) => return,
                    () = tokio::time::sleep(OWN_INTERVAL) => {}
                }
            }
        });
    }

    /// Answers another router's means with this router's own; `None` when they are unreadable.
    pub fn answer_means(&self, message: &[u8]) -> Option<Bytes> {
        let means: Vec<PoolMean> = ciborium::from_reader(Cursor::new(message)).ok()?;
        let answer = self.own_means();
        self.take_means(means);
        Some(answer)
    }

    fn count_own(&self) {
        for name in self.numbered().configuration.upstreams.keys() {
            if !matches!(self.parts.fleet.duty(name), Duty::Mine { .. }) {
                continue;
            }
            let load_tokens = self.known(name).map_or(0, |replica| replica.load_tokens());
            let sample = LoadSample { load_tokens, ..LoadSample::default() };
            self.parts.placement.observe(name, sample);
        }
    }

    async fn exchange(&self, links: &Arc<Links>, random: &mut Pcg64) {
        let view = self.parts.fleet.view();
        let is_other = |router: &&RouterInfo| router.name != self.parts.router;
        let others: Vec<&RouterInfo> = view.owners().filter(is_other).collect();
        let Some(other) = others.choose(random) else {
            return;
        };
        let peer = Peer { router: other.name.clone(), address: other.address };
        let answer = links.call(&peer, Purpose::Load, self.own_means(), EXCHANGE_TIMEOUT).await;
        // A router that does not answer is the membership's matter; the next exchange is soon.
        let Ok(answer) = answer else {
            return;
        };
        if let Ok(means) = ciborium::from_reader(Cursor::new(&answer[..])) {
            self.take_means(means);
        }
    }

    fn own_means(&self) -> Bytes {
        let means = self.parts.placement.own_means();
        let mut message = Vec::new();
        ciborium::into_writer(&means, &mut message).expect("writing to memory cannot fail");
        message.into()
    }

    fn take_means(&self, means: Vec<PoolMean>) {
        for mean in means {
            self.parts.placement.merge(&mean);
        }
    }
}
