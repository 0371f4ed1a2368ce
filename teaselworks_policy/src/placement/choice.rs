//! Chooses among the replicas of a service.
//!
//! A request with a prompt goes to a replica that likely has the shared parts of the prompt cached,
//! within a bound on the load of that replica. The affinity key of the prompt ranks the replicas by
//! their rendezvous scores; this ranking is called the key's order. A request without a prompt goes
//! to the replica with the least load per slot.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::request::{
    Choice, Placement, PlacementReason, PlacementRequest, PlacementSettings, Refused,
};
use super::scan::Scan;
use super::{Prompt, admission, cold, narrow};
use crate::shares::Admission;
use crate::upstream::{AverageLoad, Member, Pool};
use crate::verdict::{Refusal, RefusalReason};

/// Retry-after time for a service without a replica that the request may be sent to: an ejected
/// replica is tried again after one second, and a new replica is listed within one second.
const NO_CANDIDATE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time over which the retries of callers are spread that are refused while all replicas are cold.
const COLD_RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Fraction that this router uses of the load above the mean that
/// [`PlacementSettings::load_factor`] allows. The rest is left for the other routers, which place
/// requests by the same load reports before the replicas report again.
const USED_EXCESS_SHARE: f64 = 0.6;
/// Number of requests added to the load bound, so that it does not spread a key over several
/// replicas while the load is small.
const SPARE_REQUESTS: f64 = 3.0;
/// Number of replicas without a free slot at which the search of a key's order stops. The request
/// then queues at the least loaded of the first `MAX_FULL_REPLICAS` replicas in the order, if its
/// load is within [`QUEUE_BOUND_FACTOR`] times the bound: any other replica would have to process
/// the prompt again.
const MAX_FULL_REPLICAS: usize = 2;
/// Multiple of the load bound up to which a request may queue at one of the first replicas in a
/// key's order. Many routers act on the same outdated reports; without a limit, all of them would
/// keep filling the first replicas of a hot key.
const QUEUE_BOUND_FACTOR: f64 = 1.2;
/// Load added to a replica in another zone, in requests, when loads are compared: a request goes to
/// another zone only if the smaller load there saves more time than the longer network path costs.
const ZONE_PENALTY: f64 = 0.5;

/// Requests per slot at which a replica has no room left while nearly all slots of the service are
/// taken. A full replica still gets requests then, but fewer than one with a free slot.
const ROOM_PER_SLOT: f64 = 1.6;

/// Chooses a replica for a request.
///
/// Returns a refusal as error if the service has no replica that the request may be sent to, if it
/// is overloaded, or if the request would wait too long for a slot.
///
/// ```
/// use std::time::Duration;
/// use rand::SeedableRng;
/// use teaselworks_policy::placement::{PlacementRequest, PlacementSettings, place};
/// use teaselworks_policy::shares::Admission;
/// use teaselworks_policy::upstream::Pool;
///
/// let request = PlacementRequest {
///     prompt: None,
///     zone: "a",
///     tried: &[],
///     version: None,
///     begins_stream: false,
///     remaining: Duration::from_secs(1),
///     max_retry_after: Duration::from_secs(1),
///     has_started: false,
///     is_late: false,
///     class: None,
///     admission: Admission::Normal,
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
    try_place(pool, now, request, settings, random).map_err(|refused| refused.refusal)
}

/// Chooses a replica for a request, like [`place`].
pub(crate) fn try_place(
    pool: &Pool,
    now: Duration,
    request: &PlacementRequest<'_>,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Result<Placement, Refused> {
    let key = request.prompt.and_then(Prompt::affinity_key);
    let scan = Scan::new(pool, now, request, key, settings.routers);
    let refusal = match &scan {
        Some(scan) => match place_at_candidate(pool, scan, now, request, key, settings, random) {
            Ok(placement) => return Ok(placement),
            Err(reason) => Refusal::not_run(reason, None),
        },
        None => no_candidate_refusal(pool, now, request, random),
    };
    let cold = cold::choose_cold(pool, now, request, key, settings)
        .filter(|_| refusal.reason != RefusalReason::LateCaller);
    let service_load = scan.as_ref().map(Scan::service_load);
    let Some(choice) = cold else { return Err(Refused { refusal, service_load }) };
    let mut placement = choice.to_placement(now, service_load.unwrap_or_default());
    let holder = scan.as_ref().and_then(|scan| scan.holder(choice.member));
    placement.holder = holder.map(|member| member.upstream.address);
    Ok(placement)
}

/// Chooses a replica that is not cold.
fn place_at_candidate(
    pool: &Pool,
    scan: &Scan<'_>,
    now: Duration,
    request: &PlacementRequest<'_>,
    key: Option<u64>,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Result<Placement, RefusalReason> {
    if let Some(reason) = admission::service_refusal(pool, now, scan, request) {
        return Err(reason);
    }
    let mut choice = match key {
        Some(_) => choose_by_affinity(scan, now, settings, random),
        None => choose_by_load(scan, now, request.zone, random),
    };
    if admission::exceeds_max_wait(pool, choice.member, now, request, scan.average_load(), settings)
    {
        let is_urgent = matches!(request.admission, Admission::Planned { is_marginal: false, .. });
        let may_spill_over = key.is_some() && (is_urgent || !scan.is_nearly_full());
        let spillover =
            may_spill_over.then(|| choose_spillover(scan, now, settings, random)).flatten();
        choice = spillover.ok_or(RefusalReason::Overloaded)?;
    }
    let mut placement = choice.to_placement(now, scan.service_load());
    placement.holder = scan.holder(choice.member).map(|member| member.upstream.address);
    placement.is_home_cold = scan.is_home_cold();
    Ok(placement)
}

/// Returns the refusal of a request for which there is no replica that is not cold.
fn no_candidate_refusal(
    pool: &Pool,
    now: Duration,
    request: &PlacementRequest<'_>,
    random: &mut impl Rng,
) -> Refusal {
    let (reason, retry_after) = if let Some(cold) = cold::shortest_cold(pool, now, request) {
        (RefusalReason::Cold, cold + COLD_RETRY_SPREAD.mul_f64(random.random()))
    } else if let Some(rest) = pool.shortest_rest(now) {
        (RefusalReason::Resting, rest)
    } else if pool.has_evacuated_replica() {
        (RefusalReason::Evacuated, NO_CANDIDATE_RETRY_AFTER)
    } else {
        (RefusalReason::NoReplica, NO_CANDIDATE_RETRY_AFTER)
    };
    Refusal::not_run(reason, Some(retry_after.min(request.max_retry_after)))
}

/// Chooses the first of the ranked replicas, in the key's order, that has a free slot and takes the
/// request (see [`takes_request`]). If nearly all slots of the service are taken, and routers share
/// load reports, chooses among the ranked replicas by chance. If the largest allowed load is close
/// to the mean, chooses among the first ones by their room (see [`narrow::choose_by_room`]).
///
/// If [`MAX_FULL_REPLICAS`] of them are full, the request queues at the least loaded of the first
/// ones if its load is within [`QUEUE_BOUND_FACTOR`] times the bound. Otherwise, the requests of a
/// hot key spill over to all replicas that have room. If none has, the request goes to that least
/// loaded replica.
fn choose_by_affinity<'a>(
    scan: &Scan<'a>,
    now: Duration,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Choice<'a> {
    let bound = load_bound(scan, settings);
    let service_load = scan.service_load();
    if service_load.is_nearly_full()
        && service_load.has_shared_reports
        && let Some(choice) = choose_ranked_by_room(scan, now, bound, random)
    {
        return choice;
    }
    let mean = scan.mean_requests();
    let largest_allowed = largest_allowed_load(scan, settings);
    if narrow::is_narrow(mean, largest_allowed)
        && let Some(choice) = narrow::choose_by_room(scan, now, bound, largest_allowed, random)
    {
        return choice;
    }
    let spread = if service_load.has_shared_reports { mean..largest_allowed } else { bound..bound };
    let takes = |load: f64| takes_request(load, &spread, random);
    let search = search_order(scan.ranked(), now, scan.average_load(), bound, takes);
    if let OrderSearch::Found(choice) = search {
        return choice;
    }
    let load = |member: &Member| member.load.estimate(now, scan.average_load());
    let least = choose_least_cost(scan.ranked().take(MAX_FULL_REPLICAS), bound, load);
    let may_queue = least.load + 1.0 <= bound * QUEUE_BOUND_FACTOR;
    if matches!(search, OrderSearch::Full) && may_queue {
        return least;
    }
    choose_spillover(scan, now, settings, random).unwrap_or(least)
}

/// Chooses at random among the ranked replicas, with a probability in proportion to the room below
/// [`ROOM_PER_SLOT`]. Returns `None` if none has room.
///
/// A load report that routers share shows all of them the same free slot. Chosen for certain,
/// its replica would get the requests of all routers until its next report.
fn choose_ranked_by_room<'a>(
    scan: &Scan<'a>,
    now: Duration,
    bound: f64,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let mut chosen = None;
    let mut total_room = 0.0;
    for (rank, member) in scan.ranked().enumerate() {
        let load = member.load.estimate(now, scan.average_load());
        let room = f64::from(member.upstream.slots) * ROOM_PER_SLOT - load;
        if room <= 0.0 {
            continue;
        }
        total_room += room;
        if random.random_range(0.0..total_room) < room {
            let reason = if rank == 0 { PlacementReason::Home } else { PlacementReason::Spill };
            chosen = Some(Choice { member, reason, load, bound });
        }
    }
    chosen
}

/// Chooses at random among the replicas that have a free slot and are within the load bound, with a
/// probability in proportion to the room that is left below the bound.
///
/// Routers learn of each other's choices with a delay. If a hot key spilled to the next replica in
/// its order, that replica would get the requests of all routers.
fn choose_spillover<'a>(
    scan: &Scan<'a>,
    now: Duration,
    settings: &PlacementSettings,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let bound = load_bound(scan, settings);
    let mut chosen = None;
    let mut total_room = 0.0;
    for member in scan.candidates() {
        let load = member.load.estimate(now, scan.average_load());
        if load + 1.0 > bound || load >= f64::from(member.upstream.slots) {
            continue;
        }
        let room = bound - load;
        total_room += room;
        if random.random_range(0.0..total_room) < room {
            chosen = Some(Choice { member, reason: PlacementReason::Spill, load, bound });
        }
    }
    chosen
}

/// Returns the number of requests that a replica should not exceed.
fn load_bound(scan: &Scan<'_>, settings: &PlacementSettings) -> f64 {
    let excess = (settings.load_factor - 1.0).max(0.0) * USED_EXCESS_SHARE;
    let bound = scan.mean_requests() * (1.0 + excess) + SPARE_REQUESTS;
    bound.min(largest_allowed_load(scan, settings))
}

/// Returns the number of requests that a replica may have by [`PlacementSettings::load_factor`].
///
/// Replicas that get no requests lower the mean load of the service, and thus what the others may
/// have; but these need at least their mean load and a few requests.
fn largest_allowed_load(scan: &Scan<'_>, settings: &PlacementSettings) -> f64 {
    let allowed = settings.load_factor * scan.mean_requests_with_idle();
    allowed.max(scan.mean_requests()) + SPARE_REQUESTS
}

/// Result of [`search_order`].
enum OrderSearch<'a> {
    /// The first replica that has a free slot and takes the request.
    Found(Choice<'a>),
    /// [`MAX_FULL_REPLICAS`] replicas had no free slot.
    Full,
    /// None of the replicas searched has a free slot and takes the request.
    NotFound,
}

/// Decides whether a replica takes a request, or whether the search goes on to the next one in the
/// key's order. The probability falls from 1 at the start of `spread` to 0 at its end; an empty
/// range is a bound.
///
/// Routers that share load reports know the same, outdated loads. If all of them changed to the
/// next replica at the same load, each replica would get either all requests of a key or none.
fn takes_request(load: f64, spread: &Range<f64>, random: &mut impl Rng) -> bool {
    if spread.is_empty() {
        return load + 1.0 <= spread.start;
    }
    let probability = (spread.end - load) / (spread.end - spread.start);
    random.random_bool(probability.clamp(0.0, 1.0))
}

/// Searches an order of replicas for the first one that has a free slot and `takes` the request at
/// its load.
fn search_order<'a>(
    order: impl Iterator<Item = &'a Member>,
    now: Duration,
    average_load: &AverageLoad,
    bound: f64,
    mut takes: impl FnMut(f64) -> bool,
) -> OrderSearch<'a> {
    let mut full_count = 0;
    for (rank, member) in order.enumerate() {
        let load = member.load.estimate(now, average_load);
        if load >= f64::from(member.upstream.slots) {
            full_count += 1;
            if full_count == MAX_FULL_REPLICAS {
                return OrderSearch::Full;
            }
            continue;
        }
        if !takes(load) {
            continue;
        }
        let reason = if rank == 0 { PlacementReason::Home } else { PlacementReason::Spill };
        return OrderSearch::Found(Choice { member, reason, load, bound });
    }
    OrderSearch::NotFound
}

/// Chooses the replica with the least load per slot, preferring those in this router's zone.
fn choose_by_load<'a>(
    scan: &Scan<'a>,
    now: Duration,
    zone: &str,
    random: &mut impl Rng,
) -> Choice<'a> {
    // The order starts at a random replica: with equal loads, all routers would otherwise choose
    // the first one listed.
    let offset = random.random_range(0..scan.candidate_count());
    let order = scan.candidates().skip(offset).chain(scan.candidates().take(offset));
    let cost = |member: &Member| {
        let zone_penalty = if &*member.upstream.zone == zone { 0.0 } else { ZONE_PENALTY };
        let slots = f64::from(member.upstream.slots.max(1));
        (member.load.estimate(now, scan.average_load()) + zone_penalty) / slots
    };
    choose_least_cost(order, f64::INFINITY, cost)
}

/// Returns the first replica with the lowest cost; the cost becomes the load of the choice.
fn choose_least_cost<'a>(
    order: impl Iterator<Item = &'a Member>,
    bound: f64,
    cost: impl Fn(&Member) -> f64,
) -> Choice<'a> {
    let costs = order.map(|member| (cost(member), member));
    let least = costs.reduce(|least, other| if other.0 < least.0 { other } else { least });
    let (load, member) = least.expect("a scan has at least one candidate");
    Choice { member, reason: PlacementReason::LeastLoad, load, bound }
}
