//! One router of the experiment: its view, its tables and the replicas that it owns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use teaselworks_policy::load::{
    Admission, BoundPolicy, LoadSample, LoadTable, ReplicaLoad, ReportSchedule, Work,
};
use teaselworks_policy::membership::{Place, RouterInfo, RouterState, View, owner_of};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::holdings::CacheEvent;
use teaselworks_policy::placement::{
    Ask, Belief, Claim, Holdings, Replica, ReplicaIndex, ReplicaTable,
};
use teaselworks_policy::verdict::RefusalReason;

use super::design::{Design, Part};
use super::workload::{Request, Scale};
use crate::slopes::decisions::meter::resident_bytes;

/// Prefixes that an owner remembers of each replica.
const HOLDINGS: usize = 65_536;
/// Time after which a former owner has stopped.
const HANDOVER: Duration = Duration::from_secs(5);
/// Time in which a new owner does not know what its engine holds.
const DOUBT: Duration = Duration::from_secs(600);

/// Size of an engine's page of metrics in bytes.
const PAGE_BYTES: u64 = 40_000;

/// State of an engine; only one that was unreachable comes back with what it held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Life {
    Up,
    Leaving,
    Unreachable,
    Down,
}

/// A change of an engine, or of a router that comes or goes.
#[derive(Clone, Copy, Debug)]
pub(super) enum News {
    Engine(usize, Life),
    Router(usize, bool),
}

/// An owner's answer, with its load.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer {
    Admitted,
    OverBound(u64),
    NotHeld(Belief, u64),
    Failed,
}

impl Answer {
    /// Returns why the owner refused; `None` where it admitted.
    pub(super) fn reason(self) -> Option<RefusalReason> {
        match self {
            Answer::Admitted => None,
            Answer::OverBound(_) => Some(RefusalReason::OverBound),
            Answer::NotHeld(Belief::Perhaps, _) => Some(RefusalReason::PerhapsHeld),
            Answer::NotHeld(..) => Some(RefusalReason::NotHeld),
            Answer::Failed => Some(RefusalReason::NotOwner),
        }
    }
}

/// What the owner of a replica knows of it.
pub(super) struct Owned {
    pub(super) load: ReplicaLoad,
    pub(super) holdings: Holdings,
    /// Until when another owner may act, by this router's view.
    shared_until: Duration,
}

impl Owned {
    fn new() -> Self {
        let (load, holdings) = (ReplicaLoad::default(), Holdings::new(HOLDINGS));
        Self { load, holdings, shared_until: Duration::ZERO }
    }
}

/// One router.
pub(super) struct Router {
    number: usize,
    pub(super) replicas: ReplicaTable,
    pub(super) loads: LoadTable,
    /// Owner of each replica by its view.
    pub(super) owners: Vec<usize>,
    pub(super) owned: HashMap<ReplicaIndex, Owned>,
    peers: Vec<bool>,
    /// Routers that are lost and may run on the far side of a split.
    split_off: usize,
    schedule: ReportSchedule,
}

impl Router {
    /// Makes a router that knows every replica and router of the scale.
    pub(super) fn new(number: usize, scale: &Scale) -> Self {
        let mut replicas = ReplicaTable::default();
        replicas.set_workspaces(scale.workspaces);
        for engine in 0..scale.engines {
            let (region, zone) = scale.places[engine % scale.places.len()];
            replicas.upsert(Replica::new(engine_name(engine), region, zone, model(scale, engine)));
        }
        let (loads, peers) = (LoadTable::default(), vec![true; scale.routers]);
        let mut router = Self {
            number,
            replicas,
            loads,
            owners: Vec::new(),
            owned: HashMap::new(),
            peers,
            split_off: 0,
            schedule: ReportSchedule::default(),
        };
        router.set_owners(scale, None, false);
        router
    }

    /// Takes news; `handover` tells whether owners mind that another one may act.
    pub(super) fn learn(&mut self, news: News, now: Duration, scale: &Scale, handover: bool) {
        match news {
            News::Engine(engine, life) => {
                let index = ReplicaIndex(engine as u32);
                self.replicas.set_reachable(index, life == Life::Up);
                if life != Life::Up {
                    self.loads.forget(index, &model(scale, engine), now);
                }
                let restarts = matches!(life, Life::Leaving | Life::Down);
                if let Some(owned) = self.owned.get_mut(&index).filter(|_| restarts) {
                    owned.holdings.apply(CacheEvent::Cleared, now);
                }
            }
            News::Router(router, up) => {
                self.peers[router] = up;
                for owned in self.owned.values_mut().filter(|_| up) {
                    owned.holdings.doubt(now + DOUBT);
                }
                self.set_owners(scale, Some(now), handover);
            }
        }
    }

    /// Names the owners anew; takes over what others owned, from the start where `now` is `None`.
    fn set_owners(&mut self, scale: &Scale, now: Option<Duration>, handover: bool) {
        let address: SocketAddr = ([127, 0, 0, 1], 1).into();
        let alive = (0..scale.routers).filter(|router| self.peers[*router]);
        let infos = alive.map(|router| RouterInfo {
            name: router_name(router),
            incarnation: 1,
            address,
            place: place(scale, router),
            state: RouterState::Alive,
        });
        let lost = self.peers.iter().filter(|up| !**up).count();
        let view = View::new(1, infos.collect()).with_lost(lost);
        let splits = view.split_off() > std::mem::replace(&mut self.split_off, view.split_off());
        self.schedule.set_split(self.split_off > 0);
        let mut owners = Vec::new();
        for engine in 0..scale.engines {
            let near = place(scale, engine);
            let owner = owner_of(&view, &engine_name(engine), Some(&near));
            let owner = owner.and_then(|owner| owner.name[7..].parse().ok());
            owners.push(owner.unwrap_or(self.number));
            if owners[engine] != self.number {
                continue;
            }
            let stays = self.owners.get(engine) == Some(&self.number);
            let owned = self.owned.entry(ReplicaIndex(engine as u32)).or_insert_with(Owned::new);
            let Some(now) = now.filter(|_| !stays || splits) else { continue };
            let until = now + HANDOVER;
            if !stays {
                owned.holdings.doubt(now + DOUBT);
            }
            if !handover {
                continue;
            }
            owned.shared_until = until;
            match stays {
                true => owned.load.share(until),
                false => owned.load.take_over(until, 0),
            }
        }
        self.owners = owners;
    }

    /// Tells whether this router takes itself for the owner of an engine.
    pub(super) fn owns(&self, engine: usize) -> bool {
        self.owners[engine] == self.number
    }

    /// Answers as the owner of a replica.
    pub(super) fn answer(
        &mut self,
        design: &Design,
        request: &Request,
        id: &AttemptId,
        (ask, told_tokens): (Ask, u64),
        model: &Name,
        now: Duration,
    ) -> Answer {
        if self.owners[ask.replica.0 as usize] != self.number {
            return Answer::Failed;
        }
        let Some(owned) = self.owned.get_mut(&ask.replica) else { return Answer::Failed };
        let belief = owned.holdings.belief(&request.chain, now);
        if ask.claim == Claim::IfHeld && belief != Belief::Held && design.has(Part::IfHeld) {
            return Answer::NotHeld(belief, owned.load.load_tokens());
        }
        let held_tokens = match (design.has(Part::Holdings), design.has(Part::Age)) {
            (true, true) => owned.holdings.expected_tokens(&request.chain, now),
            (true, false) => owned.holdings.held_tokens(&request.chain),
            (false, _) => 0,
        };
        let work = Work {
            uncached_tokens: request.prompt_tokens - held_tokens,
            output_tokens: request.expected_tokens,
        };
        let claim = match ask.claim {
            Claim::Fresh if !design.has(Part::Fresh) => Claim::Holder,
            claim => claim,
        };
        let mut mean_tokens = self.loads.mean_tokens(model, now).unwrap_or_default();
        if claim == Claim::Last {
            mean_tokens = mean_tokens.max(told_tokens as f64);
        }
        let policy = BoundPolicy::default();
        let admission = owned.load.try_admit(now, id, work, claim, mean_tokens, &policy);
        let load_tokens = owned.load.load_tokens();
        self.loads.observe(ask.replica, model, plain(load_tokens), now);
        match admission {
            Admission::Admit { .. } => Answer::Admitted,
            _ => Answer::OverBound(load_tokens),
        }
    }

    /// Tells whether means can be exchanged with another router.
    pub(super) fn reaches(&self, router: usize) -> bool {
        self.peers[router]
    }

    /// Takes an engine's report where one is due, and notes the load of the owned replica for the
    /// mean; tells whether the engine was asked.
    pub(super) fn look(
        &mut self,
        engine: usize,
        requests: Option<u32>,
        model: &Name,
        now: Duration,
    ) -> bool {
        let index = ReplicaIndex(engine as u32);
        let Some(owned) = self.owned.get_mut(&index) else { return false };
        if self.owners[engine] != self.number || !self.replicas.is_eligible(index) {
            return false;
        }
        let name = engine_name(engine);
        let asked = self.schedule.is_due(&name, owned.shared_until, now);
        if let Some(requests) = requests.filter(|_| asked) {
            owned.load.report(now, requests);
            self.schedule.learn(&name, PAGE_BYTES, owned.load.has_foreign());
        }
        self.loads.observe(index, model, plain(owned.load.load_tokens()), now);
        asked
    }

    /// Makes the sample that rides on a reply about a replica.
    pub(super) fn sample(
        &self,
        replica: ReplicaIndex,
        design: &Design,
        model: &Name,
        now: Duration,
    ) -> LoadSample {
        let load_tokens = self.owned.get(&replica).map_or(0, |owned| owned.load.load_tokens());
        match design.has(Part::Merge) {
            true => self.loads.to_send(model, load_tokens, now),
            false => plain(load_tokens),
        }
    }
}

/// Returns the memory of a router's tables of replicas and loads, and of what it keeps of the
/// replicas that it owns, all filled, in kilobytes; of the router that owns most.
pub fn state_kb(scale: &Scale) -> f64 {
    let owners = Router::new(0, scale).owners;
    let owned = |router: &usize| owners.iter().filter(|owner| *owner == router).count();
    let number = (0..scale.routers).max_by_key(owned).unwrap_or_default();
    let filled = || {
        let mut router = Router::new(number, scale);
        for engine in 0..scale.engines {
            let (index, model) = (ReplicaIndex(engine as u32), model(scale, engine));
            router.loads.observe(index, &model, plain(9_000), Duration::ZERO);
        }
        for owned in router.owned.values_mut() {
            for hash in
                (1..HOLDINGS as u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            {
                owned.holdings.apply(CacheEvent::Stored { hash }, Duration::ZERO);
            }
        }
        router
    };
    resident_bytes(8, filled) / 1e3
}

/// Makes a sample without an estimate of the mean.
pub(super) fn plain(load_tokens: u64) -> LoadSample {
    LoadSample { load_tokens, ..LoadSample::default() }
}

/// Returns the model that an engine serves.
pub(super) fn model(scale: &Scale, engine: usize) -> Name {
    format!("model-{}", engine / scale.places.len() % scale.models).into()
}

fn engine_name(engine: usize) -> Name {
    format!("engine-{engine}").into()
}

fn router_name(router: usize) -> Name {
    format!("router-{router:03}").into()
}

fn place(scale: &Scale, position: usize) -> Place {
    let (region, zone) = scale.places[position % scale.places.len()];
    Place { region: region.into(), zone: zone.into() }
}
