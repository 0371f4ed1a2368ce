//! Replicas and their loads as this router knows them, shared by entry and owner.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_config::configuration::{Configuration, Upstream, UpstreamKind};
use teaselworks_policy::clock::Clock;
use teaselworks_policy::load::{LoadSample, LoadTable};
use teaselworks_policy::membership::Place;
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{
    ChatKey, Phase, PlacementRequest, Replica, ReplicaIndex, ReplicaTable, Search, reuse_tokens,
};

use super::entry::{Entry, Work};
use super::routing::{serves_of, serves_of_any_role, serves_of_role};
use crate::owner::PoolMean;

/// Replicas and their loads as this router knows them.
pub struct Placement {
    place: Place,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

/// Model and role of an engine that is to have one.
struct EngineRole {
    model: Name,
    wanted: Name,
    /// Role in force as last heard.
    heard: Option<Name>,
}

impl EngineRole {
    /// Returns the pool to whose mean the engine counts.
    fn serves(&self) -> Name {
        serves_of_role(&self.model, self.heard.as_ref().unwrap_or(&self.wanted))
    }

    /// Returns the other pools whose chats it may be asked for: it may have been told to change.
    fn also_serves(&self) -> Vec<Name> {
        let mut pools = vec![serves_of_any_role(&self.model)];
        let wanted = serves_of_role(&self.model, &self.wanted);
        if wanted != self.serves() {
            pools.push(wanted);
        }
        pools
    }
}

struct State {
    replicas: ReplicaTable,
    roles: HashMap<Name, EngineRole>,
    loads: LoadTable,
    random: Pcg64,
}

impl Placement {
    /// Makes an empty table for a router at `place`.
    pub fn new(place: Place, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let state = State {
            replicas: ReplicaTable::default(),
            roles: HashMap::new(),
            loads: LoadTable::default(),
            random: Pcg64::seed_from_u64(seed),
        };
        Self { place, clock, state: Mutex::new(state) }
    }

    /// Takes the replicas of a configuration; those it no longer names are forgotten.
    pub fn apply(&self, configuration: &Configuration) {
        let mut state = self.state();
        state.replicas.set_workspaces(configuration.workspaces.len());
        let known: Vec<Name> =
            state.replicas.iter().map(|(_, replica)| replica.name.clone()).collect();
        let wanted: BTreeSet<&Name> = configuration.upstreams.keys().collect();
        for name in known {
            if !wanted.contains(&name) {
                state.forget(&name, &*self.clock);
            }
        }
        for (name, upstream) in &configuration.upstreams {
            state.take_role(name, upstream);
            let mut replica = Replica::new(
                name.clone(),
                upstream.region.clone(),
                upstream.zone.clone(),
                state.pool_of(name, upstream),
            );
            if let Some(role) = state.roles.get(name) {
                replica.also_serves = role.also_serves();
            }
            replica.leaving = upstream.leaving;
            state.upsert(replica, &*self.clock);
        }
    }

    /// Begins the search of a place for a request.
    pub fn search(&self, entry: &Entry, holder: Option<&str>) -> Search {
        self.search_in(entry, &entry.serves(), holder)
    }

    /// Begins the search of a place in another pool than the request's own.
    pub fn search_in(&self, entry: &Entry, serves: &Name, holder: Option<&str>) -> Search {
        let now = self.clock.monotonic();
        let mut state = self.state();
        let tokens = prompt_tokens(entry);
        let request = PlacementRequest {
            workspace: &entry.workspace,
            key: chat_key(entry),
            serves,
            version: None,
            adapter: None,
            phase: Phase::Whole,
            region: &self.place.region,
            zone: &self.place.zone,
            prompt_tokens: tokens.prompt,
            reuse_tokens: tokens.reuse,
            holder: holder.and_then(|holder| state.replicas.index_of(holder)),
            draw: state.random.random(),
        };
        Search::new(&request, &state.replicas, &state.loads, now)
    }

    /// Returns the name of a replica; `None` when it was forgotten meanwhile.
    pub fn name_of(&self, index: ReplicaIndex) -> Option<Name> {
        self.state().replicas.get(index).map(|replica| replica.name.clone())
    }

    /// Takes the load of a replica as a message brought it.
    pub fn observe(&self, replica: &str, load: LoadSample) {
        let now = self.clock.monotonic();
        let mut state = self.state();
        let Some(index) = state.replicas.index_of(replica) else {
            return;
        };
        let Some(serves) = state.replicas.get(index).map(|replica| replica.serves.clone()) else {
            return;
        };
        state.loads.observe(index, &serves, load, now);
    }

    /// Returns the estimated mean load of a pool in tokens; zero when nothing recent is known.
    pub fn mean_tokens(&self, serves: &str) -> f64 {
        let now = self.clock.monotonic();
        self.state().loads.mean_tokens(serves, now).unwrap_or_default()
    }

    /// Returns the sample that an owner sends with the load of its replica.
    pub fn sample(&self, serves: &str, load_tokens: u64) -> LoadSample {
        let now = self.clock.monotonic();
        self.state().loads.to_send(serves, load_tokens, now)
    }

    /// Returns what this router saw itself of each pool.
    pub fn own_means(&self) -> Vec<PoolMean> {
        let now = self.clock.monotonic();
        let state = self.state();
        let mut means = Vec::new();
        for serves in state.loads.pools() {
            let sample = state.loads.to_send(serves, 0, now);
            means.push(PoolMean { serves: serves.clone(), sample });
        }
        means
    }

    /// Takes what another router saw itself of a pool.
    pub fn merge(&self, mean: &PoolMean) {
        let now = self.clock.monotonic();
        self.state().loads.merge(&mean.serves, mean.sample, now);
    }

    /// Returns the load of a replica in tokens as last heard; zero when never heard.
    pub fn load_tokens(&self, replica: &str) -> u64 {
        let state = self.state();
        state.replicas.index_of(replica).map_or(0, |index| state.loads.load_tokens(index))
    }

    /// Returns the pool that a replica of this configuration counts to.
    pub fn pool_of(&self, replica: &str, upstream: &Upstream) -> Name {
        self.state().pool_of(replica, upstream)
    }

    /// Takes the role in force of an engine, as its owner read it or a chat showed it.
    pub fn set_role(&self, engine: &str, role: Option<Name>) {
        self.state().set_role(engine, role, &*self.clock);
    }

    /// Takes note that an engine refused a chat because of its role.
    pub fn refused_role(&self, engine: &str, role: &Name) {
        let mut state = self.state();
        if state.roles.get(engine).is_some_and(|known| known.heard.as_ref() == Some(role)) {
            state.set_role(engine, None, &*self.clock);
        }
    }

    /// Marks a replica as leaving, which holds until it is configured anew.
    pub fn set_leaving(&self, replica: &str) {
        let mut state = self.state();
        if let Some(index) = state.replicas.index_of(replica) {
            state.replicas.set_leaving(index);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("placement lock is never poisoned")
    }
}

impl State {
    /// Takes the role that a configuration gives an engine; the one before holds until it changed.
    fn take_role(&mut self, name: &Name, upstream: &Upstream) {
        if upstream.kind != UpstreamKind::Engine || upstream.role.is_empty() {
            self.roles.remove(name);
            return;
        }
        let (model, wanted) = (upstream.serves.clone(), upstream.role.clone());
        let former = self.roles.remove(name).filter(|former| former.model == model);
        let heard = former.and_then(|former| former.heard.or(Some(former.wanted)));
        self.roles.insert(name.clone(), EngineRole { model, wanted, heard });
    }

    fn set_role(&mut self, engine: &str, role: Option<Name>, clock: &dyn Clock) {
        let Some(known) = self.roles.get_mut(engine) else {
            return;
        };
        if known.heard == role {
            return;
        }
        known.heard = role;
        let (serves, also_serves) = (known.serves(), known.also_serves());
        let index = self.replicas.index_of(engine);
        let Some(replica) = index.and_then(|index| self.replicas.get(index)) else {
            return;
        };
        let replica = Replica { serves, also_serves, ..replica.clone() };
        self.upsert(replica, clock);
    }

    fn pool_of(&self, replica: &str, upstream: &Upstream) -> Name {
        self.roles.get(replica).map_or_else(|| serves_of(upstream), EngineRole::serves)
    }

    /// Adds or replaces a replica; one that changed its pool counts to the former mean no more.
    fn upsert(&mut self, replica: Replica, clock: &dyn Clock) {
        let index = self.replicas.index_of(&replica.name);
        let former = index.and_then(|index| self.replicas.get(index));
        let former = former.filter(|former| former.serves != replica.serves);
        if let (Some(index), Some(former)) = (index, former) {
            self.loads.forget(index, &former.serves, clock.monotonic());
        }
        self.replicas.upsert(replica);
    }

    fn forget(&mut self, name: &str, clock: &dyn Clock) {
        let Some(index) = self.replicas.index_of(name) else {
            return;
        };
        if let Some(serves) = self.replicas.get(index).map(|replica| replica.serves.clone()) {
            self.loads.forget(index, &serves, clock.monotonic());
        }
        self.replicas.remove(name);
        self.roles.remove(name);
    }
}

/// Returns the key that keeps a chat at its replica.
pub fn chat_key(entry: &Entry) -> ChatKey {
    match &entry.work {
        Work::Chat(chat) => match &chat.conversation {
            Some(conversation) => ChatKey::of_conversation(&entry.workspace, conversation),
            None => {
                let hashes: Vec<u64> = chat.prefix.iter().map(|block| block.hash).collect();
                ChatKey::of_chain(&entry.workspace, &hashes)
            }
        },
        Work::Call(_) => ChatKey::of_conversation(&entry.workspace, &entry.attempt.request_id()),
    }
}

/// Lengths of a prompt that decide where it is placed.
struct PromptTokens {
    prompt: u32,
    reuse: u32,
}

fn prompt_tokens(entry: &Entry) -> PromptTokens {
    match &entry.work {
        Work::Chat(chat) => {
            PromptTokens { prompt: chat.prompt_tokens, reuse: reuse_tokens(&chat.prefix) }
        }
        Work::Call(_) => PromptTokens { prompt: 0, reuse: 0 },
    }
}
