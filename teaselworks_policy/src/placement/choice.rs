//! Choosing among the replicas of a service: by reuse within a bound on load, or by load alone.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Prompt, admission, score};
use crate::upstream::{Foreign, Member, Pool, Upstream, Usual};
use crate::verdict::{Refusal, RefusalReason};

/// Time after which a caller may come back to a service without a usable replica: ejected replicas
/// are tried again after a second, new ones are listed within one.
const ABSENCE_RETRY: Duration = Duration::from_millis(1_000);
/// Part of the allowed excess over the mean load that is used, since loads are estimates that are
/// some hundred milliseconds old when other routers act on them too.
const USED_EXCESS: f64 = 0.6;
/// Requests that a replica may hold beyond the bound, so that small loads are not spread for it.
const SPARE_REQUESTS: f64 = 2.0;
/// Replicas of a key's order that are considered where all are full.
const FULL_CHOICES: usize = 2;
/// Time that a request to another zone must win to be worth its way, as a part of a replica's load.
const ZONE_PENALTY: f64 = 0.5;

/// Bounds that placing keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Multiple of the mean load of a service that no replica should exceed.
    pub capacity_factor: f64,
    /// Routers that are alive, this one included.
    pub routers: u32,
}

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Prompt, where the service consists of model engines.
    pub prompt: Option<&'a Prompt>,
    /// Zone of this router.
    pub zone: &'a str,
    /// Upstreams that it was sent to already.
    pub tried: &'a [Arc<str>],
    /// Time that is left to it.
    pub remaining: Duration,
    /// Longest time after which its caller can still come back.
    pub latest_return: Duration,
    /// Its answer has begun: it goes on also where new requests are refused.
    pub is_begun: bool,
    /// Its caller has waited for longer than it aims at.
    pub is_late: bool,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It is the first choice of the request's key.
    Home,
    /// It is the first in the key's order whose load is within the bound.
    Spill,
    /// It has the least load.
    LeastLoad,
}

impl Reason {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Home => "home",
            Reason::Spill => "spill",
            Reason::LeastLoad => "least_load",
        }
    }
}

/// A chosen replica, and what decided.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The replica.
    pub upstream: Upstream,
    /// Why it was chosen.
    pub reason: Reason,
    /// Believed number of requests there.
    pub load: f64,
    /// Bound on that number.
    pub bound: f64,
    /// Age of the report behind the belief, where there is one.
    pub report_age: Option<Duration>,
    /// Another replica that may hold more of the prompt.
    pub holder: Option<SocketAddr>,
}

/// Chooses a replica, or refuses where none can answer in time.
///
/// ```
/// use std::time::Duration;
/// use rand::SeedableRng;
/// use teaselworks_policy::placement::{Demand, PlacementSettings, place};
/// use teaselworks_policy::upstream::Pool;
///
/// let demand = Demand {
///     prompt: None,
///     zone: "a",
///     tried: &[],
///     remaining: Duration::from_secs(1),
///     latest_return: Duration::from_secs(1),
///     is_begun: false,
///     is_late: false,
/// };
/// let settings = PlacementSettings { capacity_factor: 2.0, routers: 1 };
/// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
/// assert!(place(&Pool::default(), Duration::ZERO, &demand, &settings, &mut random).is_err());
/// ```
pub fn place(
    pool: &Pool,
    now: Duration,
    demand: &Demand<'_>,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Result<Placement, Refusal> {
    let candidates = pool.candidates(now, demand.tried);
    if candidates.is_empty() {
        let retry_after = ABSENCE_RETRY.min(demand.latest_return);
        return Err(Refusal::not_run(RefusalReason::NoReplica, Some(retry_after)));
    }
    let usual = usual(&candidates, now, settings.routers);
    let key = demand.prompt.and_then(Prompt::key);
    let choice = match key {
        Some(key) => by_reuse(candidates, now, key, &usual, settings),
        None => by_load(candidates, now, demand.zone, &usual, random),
    };
    if admission::is_refused(pool, choice.member, now, demand, &usual, settings) {
        return Err(Refusal::not_run(RefusalReason::Overloaded, None));
    }
    let mut placement = choice.placement(now);
    placement.holder = key.and_then(|key| holder(pool, now, key, &placement.upstream.id));
    Ok(placement)
}

/// A replica, and what decided for it.
struct Choice<'a> {
    member: &'a Member,
    reason: Reason,
    load: f64,
    bound: f64,
}

impl Choice<'_> {
    fn placement(&self, now: Duration) -> Placement {
        let Self { member, reason, load, bound } = *self;
        let report_age = member.load.report_age(now);
        let upstream = member.upstream.clone();
        Placement { upstream, reason, load, bound, report_age, holder: None }
    }
}

/// Returns the replica, other than the chosen one, that most likely holds the prompt of a key: the
/// first in the key's order, also where it drains, or the second where that one was chosen.
///
/// The second was the first before the chosen one was added. A copy takes less of an engine's time
/// than reading the prompt again.
fn holder(pool: &Pool, now: Duration, key: u64, chosen: &str) -> Option<SocketAddr> {
    let others = pool.members().iter().filter(|member| *member.upstream.id != *chosen);
    let holders = others
        .filter(|member| !member.is_blank && !member.is_suspended && member.health.is_usable(now));
    let best = holders.max_by_key(|member| score(key, &member.upstream.id))?;
    Some(best.upstream.address)
}

/// Returns the first replica in the key's order whose load is within the bound, or the least loaded
/// of the first few where none is: any other would read the prompt anew, for which it has no time.
fn by_reuse<'a>(
    mut candidates: Vec<&'a Member>,
    now: Duration,
    key: u64,
    usual: &Usual,
    settings: &PlacementSettings,
) -> Choice<'a> {
    let total: f64 = candidates.iter().map(|member| member.load.estimate(now, usual)).sum();
    let mean = total / candidates.len() as f64;
    let excess = (settings.capacity_factor - 1.0).max(0.0) * USED_EXCESS;
    let bound = mean * (1.0 + excess) + SPARE_REQUESTS;
    candidates.sort_by_cached_key(|member| Reverse(score(key, &member.upstream.id)));
    let mut full = 0;
    for (rank, member) in candidates.iter().enumerate() {
        let load = member.load.estimate(now, usual);
        if load >= f64::from(member.upstream.slots) {
            full += 1;
            if full == FULL_CHOICES {
                break;
            }
            continue;
        }
        if load + 1.0 > bound {
            continue;
        }
        let reason = if rank == 0 { Reason::Home } else { Reason::Spill };
        return Choice { member, reason, load, bound };
    }
    candidates.truncate(FULL_CHOICES);
    least_loaded(&candidates, bound, |member| member.load.estimate(now, usual))
}

/// Returns the replica with the least load, those of the same zone before others.
fn by_load<'a>(
    mut candidates: Vec<&'a Member>,
    now: Duration,
    zone: &str,
    usual: &Usual,
    random: &mut impl Rng,
) -> Choice<'a> {
    // Where replicas are alike, routers must not all choose the first one listed.
    let offset = random.random_range(0..candidates.len());
    candidates.rotate_left(offset);
    let cost = |member: &Member| {
        let way = if &*member.upstream.zone == zone { 0.0 } else { ZONE_PENALTY };
        let slots = f64::from(member.upstream.slots.max(1));
        (member.load.estimate(now, usual) + way) / slots
    };
    least_loaded(&candidates, f64::INFINITY, cost)
}

fn least_loaded<'a>(
    candidates: &[&'a Member],
    bound: f64,
    cost: impl Fn(&Member) -> f64,
) -> Choice<'a> {
    let mut best = candidates[0];
    let mut least = cost(best);
    for &member in &candidates[1..] {
        let cost = cost(member);
        if cost < least {
            best = member;
            least = cost;
        }
    }
    Choice { member: best, reason: Reason::LeastLoad, load: least, bound }
}

/// Returns the requests that other routers usually have at a replica: the mean of what replicas
/// report, or else as many for each other router as this one has.
///
/// By the guess alone, one own request at a replica that has not reported lately would count for as
/// many as there are routers.
fn usual(candidates: &[&Member], now: Duration, routers: u32) -> Usual {
    let mut reported = 0.0;
    let mut trusted = 0.0;
    let mut own = 0.0;
    for member in candidates {
        own += f64::from(member.load.own());
        let Some(Foreign { requests, trust }) = member.load.foreign(now, routers) else { continue };
        reported += requests * trust;
        trusted += trust;
    }
    let guessed = own * f64::from(routers.saturating_sub(1)) / candidates.len().max(1) as f64;
    let foreign = if trusted > 0.0 { reported / trusted } else { guessed };
    Usual { foreign, routers }
}
