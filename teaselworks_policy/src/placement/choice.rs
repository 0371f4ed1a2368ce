//! Choosing among the replicas of a service: by reuse within a bound on load, or by load alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::scan::Scan;
use super::{Prompt, admission};
use crate::upstream::{Member, Pool, Upstream, Usual};
use crate::verdict::{Refusal, RefusalReason};

/// Time after which a caller may come back to a service without a usable replica: ejected replicas
/// are tried again after a second, new ones are listed within one.
const ABSENCE_RETRY: Duration = Duration::from_millis(1_000);
/// Part of the allowed excess over the mean load that is used: other routers act on the same loads
/// before any of them is reported again.
const USED_EXCESS: f64 = 0.6;
/// Requests that a replica may hold beyond the bound, so that small loads are not spread for it.
const SPARE_REQUESTS: f64 = 3.0;
/// Replicas of a key's order without a slot after which the least loaded of them is taken, if its
/// wait is short: any other would read the prompt anew.
const FULL_CHOICES: usize = 2;
/// Multiple of the bound on load up to which it is: many routers act on the same late reports, and
/// would all go on filling the first replicas of a hot key.
const FULL_EXCESS: f64 = 1.2;
/// Time that a request to another zone must win to be worth its way, as a part of a replica's load.
const ZONE_PENALTY: f64 = 0.5;

/// Bounds that placing keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Multiple of the mean load of a service that no replica should exceed.
    pub load_factor: f64,
    /// Routers that are alive, this one included.
    pub routers: u32,
}

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
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
    pub has_started: bool,
    /// Its caller was refused before and came back.
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
    pub upstream: Arc<Upstream>,
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
/// use teaselworks_policy::placement::{PlacementRequest, PlacementSettings, place};
/// use teaselworks_policy::upstream::Pool;
///
/// let request = PlacementRequest {
///     prompt: None,
///     zone: "a",
///     tried: &[],
///     remaining: Duration::from_secs(1),
///     latest_return: Duration::from_secs(1),
///     has_started: false,
///     is_late: false,
/// };
/// let settings = PlacementSettings { load_factor: 2.0, routers: 1 };
/// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
/// assert!(place(&Pool::default(), Duration::ZERO, &request, &settings, &mut random).is_err());
/// ```
pub fn place(
    pool: &Pool,
    now: Duration,
    request: &PlacementRequest<'_>,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Result<Placement, Refusal> {
    let key = request.prompt.and_then(Prompt::affinity_key);
    let Some(scan) = Scan::new(pool, now, request, key, settings.routers) else {
        let retry_after = ABSENCE_RETRY.min(request.latest_return);
        return Err(Refusal::not_run(RefusalReason::NoReplica, Some(retry_after)));
    };
    if let Some(reason) = admission::service_refusal(pool, now, scan.is_crowded(), request) {
        return Err(Refusal::not_run(reason, None));
    }
    let mut choice = match key {
        Some(_) => by_reuse(&scan, now, settings, random),
        None => by_load(&scan, now, request.zone, random),
    };
    if admission::exceeds_max_wait(pool, choice.member, now, request, scan.usual(), settings) {
        let has_room_elsewhere = key.is_some() && !scan.is_crowded();
        let spilt = has_room_elsewhere.then(|| spill(&scan, now, settings, random)).flatten();
        choice = spilt.ok_or(Refusal::not_run(RefusalReason::Overloaded, None))?;
    }
    let mut placement = choice.placement(now);
    placement.holder = scan.holder(choice.member).map(|member| member.upstream.address);
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

/// Returns the first replica in the key's order whose load is within the bound.
///
/// Where the first few have no room, the least loaded of them takes a request whose wait there is
/// short; a key that is hotter than that spills over all others.
fn by_reuse<'a>(
    scan: &Scan<'a>,
    now: Duration,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Choice<'a> {
    let bound = bound(scan, settings);
    let looked = look(scan.ranked(), now, scan.usual(), bound);
    if let Looked::Found(choice) = looked {
        return choice;
    }
    let load = |member: &Member| member.load.estimate(now, scan.usual());
    let least = least_loaded(scan.ranked().take(FULL_CHOICES), bound, load);
    let waits_there = scan.is_crowded() || least.load + 1.0 <= bound * FULL_EXCESS;
    if matches!(looked, Looked::Full) && waits_there {
        return least;
    }
    spill(scan, now, settings, random).unwrap_or(least)
}

/// Returns one of the replicas that have room, by chance in proportion to it.
///
/// Answers a hot key at many routers, which hear late of each other's choices: the next replica of
/// the key's order would get the requests of all of them.
fn spill<'a>(
    scan: &Scan<'a>,
    now: Duration,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let bound = bound(scan, settings);
    let mut chosen = None;
    let mut total_room = 0.0;
    for member in scan.candidates() {
        let load = member.load.estimate(now, scan.usual());
        if load + 1.0 > bound || load >= f64::from(member.upstream.slots) {
            continue;
        }
        let room = bound - load;
        total_room += room;
        if random.random_range(0.0..total_room) < room {
            chosen = Some(Choice { member, reason: Reason::Spill, load, bound });
        }
    }
    chosen
}

/// Returns the load that no replica should exceed.
fn bound(scan: &Scan<'_>, settings: &PlacementSettings) -> f64 {
    let excess = (settings.load_factor - 1.0).max(0.0) * USED_EXCESS;
    scan.mean_load() * (1.0 + excess) + SPARE_REQUESTS
}

/// What a look along an order of replicas found.
enum Looked<'a> {
    /// The first that is within the bound and has a slot.
    Found(Choice<'a>),
    /// Too many without a slot.
    Full,
    /// None within the bound.
    Beyond,
}

fn look<'a>(
    order: impl Iterator<Item = &'a Member>,
    now: Duration,
    usual: &Usual,
    bound: f64,
) -> Looked<'a> {
    let mut full = 0;
    for (rank, member) in order.enumerate() {
        let load = member.load.estimate(now, usual);
        if load >= f64::from(member.upstream.slots) {
            full += 1;
            if full == FULL_CHOICES {
                return Looked::Full;
            }
            continue;
        }
        if load + 1.0 > bound {
            continue;
        }
        let reason = if rank == 0 { Reason::Home } else { Reason::Spill };
        return Looked::Found(Choice { member, reason, load, bound });
    }
    Looked::Beyond
}

/// Returns the replica with the least load, those of the same zone before others.
fn by_load<'a>(scan: &Scan<'a>, now: Duration, zone: &str, random: &mut impl Rng) -> Choice<'a> {
    // Where replicas are alike, routers must not all choose the first one listed.
    let offset = random.random_range(0..scan.candidate_count());
    let order = scan.candidates().skip(offset).chain(scan.candidates().take(offset));
    let cost = |member: &Member| {
        let way = if &*member.upstream.zone == zone { 0.0 } else { ZONE_PENALTY };
        let slots = f64::from(member.upstream.slots.max(1));
        (member.load.estimate(now, scan.usual()) + way) / slots
    };
    least_loaded(order, f64::INFINITY, cost)
}

fn least_loaded<'a>(
    order: impl Iterator<Item = &'a Member>,
    bound: f64,
    cost: impl Fn(&Member) -> f64,
) -> Choice<'a> {
    let costs = order.map(|member| (cost(member), member));
    let least = costs.reduce(|least, other| if other.0 < least.0 { other } else { least });
    let (load, member) = least.expect("a scan finds a replica");
    Choice { member, reason: Reason::LeastLoad, load, bound }
}
