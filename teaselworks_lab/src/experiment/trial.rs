//! What was tried beside the chosen design: events of engines' caches, and export of what likely
//! returners need by an engine that leaves on purpose.

use std::time::Duration;

use teaselworks_policy::placement::holdings::CacheEvent;
use teaselworks_policy::placement::{Phase, PlacementRequest, ReplicaIndex, rank, reuse_tokens};

use super::design::Trial;
use super::engine::TICK_MS;
use super::fleet::Fleet;
use super::router::Life;
use super::workload::Request;

/// What a leaving engine still has to export.
#[derive(Debug)]
pub(super) struct Export {
    engine: usize,
    /// Last turns of the chats that it served, the latest last.
    turns: Vec<u32>,
    /// Tokens that it may send by now.
    allowed_tokens: f64,
}

impl Fleet<'_> {
    /// Lets owners hear of dropped prefixes, unless they were stored again since.
    pub(super) fn hear_drops(&mut self, now: Duration) {
        while self.drops.front().is_some_and(|drop| drop.0 <= now) {
            let Some((_, engine, hash)) = self.drops.pop_front() else { return };
            if self.engines[engine].cache.contains(hash) {
                continue;
            }
            for router in self.routers.iter_mut().filter(|router| router.owns(engine)) {
                if let Some(owned) = router.owned.get_mut(&ReplicaIndex(engine as u32)) {
                    owned.holdings.apply(CacheEvent::Removed { hash }, now);
                }
            }
        }
    }

    /// Plans the export of an engine that leaves: the chats that it served last come first.
    pub(super) fn start_export(&mut self, engine: usize) {
        if !matches!(self.design.trial, Some(Trial::Export { .. })) {
            return;
        }
        let mut turns = Vec::new();
        for (chat, turn) in &self.last_turns {
            if self.served.get(chat) == Some(&engine) {
                turns.push(*turn);
            }
        }
        turns.sort_unstable();
        self.exports.push(Export { engine, turns, allowed_tokens: 0.0 });
    }

    /// Adds a turn that ended while its engine leaves: it is the likeliest to be followed.
    pub(super) fn export_ended(&mut self, engine: usize, turn: u32) {
        if self.life[engine] != Life::Leaving {
            return;
        }
        if let Some(export) = self.exports.iter_mut().find(|export| export.engine == engine) {
            export.turns.push(turn);
        }
    }

    /// Sends what one tick allows to the first home that is left of each chat.
    pub(super) fn run_exports(&mut self, now: Duration) {
        let Some(Trial::Export { tokens_per_s }) = self.design.trial else { return };
        for mut export in std::mem::take(&mut self.exports) {
            export.allowed_tokens += tokens_per_s * TICK_MS as f64 / 1e3;
            while export.allowed_tokens > 0.0 {
                let Some(turn) = export.turns.pop() else { break };
                export.allowed_tokens -= f64::from(self.export(export.engine, turn, now));
            }
            if self.life[export.engine] == Life::Leaving {
                self.exports.push(export);
            }
        }
    }

    /// Sends one chat's prefix to its next home; returns the tokens sent.
    fn export(&mut self, engine: usize, turn: u32, now: Duration) -> u32 {
        let request = &self.requests[turn as usize];
        let chain = [&request.chain[..], &[request.answered]].concat();
        let Some(home) = self.next_home(request, engine) else { return 0 };
        let sent_tokens = self.engines[engine].cache.held_tokens(&chain);
        let held_tokens = self.engines[home].cache.held_tokens(&chain);
        if sent_tokens <= held_tokens {
            return 0;
        }
        self.engines[home].cache.store(&chain);
        for router in self.routers.iter_mut().filter(|router| router.owns(home)) {
            if let Some(owned) = router.owned.get_mut(&ReplicaIndex(home as u32)) {
                owned.holdings.store(&request.chain, now);
            }
        }
        sent_tokens - held_tokens
    }

    /// Returns the home that a chat will be sent to once the engine is gone.
    fn next_home(&self, request: &Request, engine: usize) -> Option<usize> {
        let router = &self.routers[request.entry];
        let (region, zone) = self.scale.places[request.entry % self.scale.places.len()];
        let placement = PlacementRequest {
            workspace: &request.workspace,
            key: request.key,
            serves: &self.models[request.model],
            version: None,
            adapter: None,
            phase: Phase::Whole,
            region,
            zone,
            prompt_tokens: request.prompt_tokens,
            reuse_tokens: reuse_tokens(&request.chain),
            holder: None,
            draw: request.draw,
        };
        let (mut homes, mut drawn) = (Vec::new(), Vec::new());
        rank(&placement, &router.replicas, &self.reported, &mut homes, &mut drawn);
        let mut homes = homes.into_iter().chain(drawn).map(|home| home.0 as usize);
        homes.find(|home| *home != engine && self.life[*home] == Life::Up)
    }
}
