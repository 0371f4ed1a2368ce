//! Whom each design asks for a place.

use std::time::Duration;

use teaselworks_policy::load::{BoundPolicy, Work};
use teaselworks_policy::placement::{
    Phase, PlacementRequest, ReplicaIndex, Search, rank, reuse_tokens,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::design::{Part, Route};
use super::fleet::Fleet;
use super::router::Life;
use super::workload::{Caller, Request};

impl Fleet<'_> {
    /// Lists whom the design asks for a place.
    pub(super) fn search(&self, request: &Request, searches: u32, now: Duration) -> Search {
        let router = &self.routers[request.entry];
        let model = &self.models[request.model];
        let (region, zone) = self.scale.places[request.entry % self.scale.places.len()];
        let follows = self.design.has(Part::Token) && request.caller == Caller::Token;
        let holder = self.served.get(&request.chat).filter(|_| follows);
        let placement = PlacementRequest {
            workspace: &request.workspace,
            key: request.key,
            serves: model,
            version: None,
            adapter: None,
            phase: Phase::Whole,
            region,
            zone,
            prompt_tokens: request.prompt_tokens,
            reuse_tokens: reuse_tokens(&request.chain),
            holder: holder.map(|engine| ReplicaIndex(*engine as u32)),
            draw: request.draw.rotate_left(searches),
        };
        if self.design.route == Route::Owners {
            return Search::new(&placement, &router.replicas, &router.loads, now);
        }
        let (mut homes, mut drawn) = (Vec::new(), Vec::new());
        rank(&placement, &router.replicas, &self.reported, &mut homes, &mut drawn);
        let bound_tokens = self.reported.mean_tokens(model, now).unwrap_or_default() * 1.25;
        match self.design.route {
            Route::AllKnowing => homes = self.all_knowing(request),
            Route::TwoChoices => homes = self.two_choices(request),
            Route::Rendezvous => homes = self.plain_home(request),
            _ => {
                homes.extend(drawn);
                homes.sort_by_key(|home| self.reported.load_tokens(*home) > bound_tokens as u64);
            }
        }
        Search::fixed(homes)
    }

    fn plain_home(&self, request: &Request) -> Vec<ReplicaIndex> {
        let replicas = &self.routers[request.entry].replicas;
        let pool = self.pools[request.model].iter().map(|engine| ReplicaIndex(*engine as u32));
        let eligible = pool.filter(|index| replicas.is_eligible(*index));
        let score = |index: &ReplicaIndex| xxh3_64_with_seed(&index.0.to_le_bytes(), request.key.0);
        eligible.max_by_key(score).into_iter().collect()
    }

    fn two_choices(&self, request: &Request) -> Vec<ReplicaIndex> {
        let replicas = &self.routers[request.entry].replicas;
        let pool = self.pools[request.model].iter().map(|engine| ReplicaIndex(*engine as u32));
        let known: Vec<ReplicaIndex> = pool.filter(|index| replicas.is_eligible(*index)).collect();
        let draws = [request.draw as u32 as usize, (request.draw >> 32) as usize];
        let mut drawn = draws.map(|draw| known[draw % known.len()]);
        drawn.sort_by_key(|index| self.reported.load_tokens(*index));
        drawn.to_vec()
    }

    fn all_knowing(&self, request: &Request) -> Vec<ReplicaIndex> {
        let mut up = Vec::new();
        for engine in &self.pools[request.model] {
            if self.life[*engine] == Life::Up {
                up.push((*engine, self.engines[*engine].counted_tokens()));
            }
        }
        let total: u64 = up.iter().map(|(_, load)| load).sum();
        let bound_tokens = total as f64 / up.len().max(1) as f64 * BoundPolicy::default().multiple;
        let best = up.iter().min_by_key(|(engine, load)| {
            let held_tokens = self.engines[*engine].cache.held_tokens(&request.chain);
            let work = work_of(request, held_tokens);
            let over = *load > 0 && (load + work.tokens()) as f64 > bound_tokens;
            (over, if over { 0 } else { work.uncached_tokens }, *load)
        });
        best.map(|(engine, _)| ReplicaIndex(*engine as u32)).into_iter().collect()
    }
}

/// Returns the work of a request at an engine that holds some of its prompt.
pub(super) fn work_of(request: &Request, held_tokens: u32) -> Work {
    let uncached_tokens = request.prompt_tokens - held_tokens;
    Work { uncached_tokens, output_tokens: request.expected_tokens }
}
