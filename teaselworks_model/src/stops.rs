//! Simulation of the routers of a zone that are stopped in turn, while short and long streams arrive.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::durations::{RouteDurations, SizeClass};
use teaselworks_policy::placement::Prompt;
use teaselworks_policy::stop::{Acceptance, Arrival, Phase, StopPlan};

/// Length of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the load balancer's health checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed health checks after which a router gets no new requests.
const MAX_MISSES: u32 = 2;
/// Time for which callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(12);
/// Time after which callers leave a stream of which nothing arrives.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after the beginning of a stop up to which a router may take what it possibly cuts.
const UNCERTAIN_TIME: Duration = Duration::from_secs(3);

/// A simulated bug.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopBug {
    /// Answers that may outlast the process are passed on as they arrive.
    BeginsUncertainAnswers,
    /// The size of requests is ignored.
    IgnoresSize,
}

/// Settings of a simulation of stops.
#[derive(Clone, Debug, PartialEq)]
pub struct StopLoad {
    /// Number of routers in the zone.
    pub routers: usize,
    /// Number of routers that are stopped, one after the other.
    pub stopped: usize,
    /// Time between the stops of two routers.
    pub gap: Duration,
    /// Time before the first stop.
    pub warm_up: Duration,
    /// Time from the request to stop until a router starts again.
    pub grace: Duration,
    /// Requests in a second for each router.
    pub requests_per_s: f64,
    /// Share of the requests that take long and state it.
    pub long_share: f64,
    /// Share of the requests that take long and state to be short.
    pub unstated_share: f64,
    /// Time that a short request takes.
    pub short_time: Duration,
    /// Time that a long request takes.
    pub long_time: Duration,
    /// A bug to simulate.
    pub bug: Option<StopBug>,
}

/// What happened in a simulation of stops.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopOutcome {
    /// Answers that were begun for requests which came after the first three seconds of a stop, and cut.
    pub cut_late: u64,
    /// Answers that were begun for requests which came in these three seconds, and cut.
    pub cut_early: u64,
    /// Requests whose answer had not begun at the exit.
    pub given_up: u64,
    /// Short requests that stopping routers refused.
    pub short_refused: u64,
    /// Short requests that stopping routers answered.
    pub short_answered: u64,
    /// Long requests that stopping routers refused.
    pub long_refused: u64,
}

/// A request in progress at a stopping router, or at one that may stop.
struct Running {
    ends_at: Duration,
    began_at: Duration,
    size: SizeClass,
    is_short: bool,
    acceptance: Acceptance,
}

struct Router {
    durations: RouteDurations,
    running: Vec<Running>,
    /// When the process was requested to stop.
    stopped_at: Option<Duration>,
    misses: u32,
}

impl Router {
    fn start() -> Self {
        Self {
            durations: RouteDurations::default(),
            running: Vec::new(),
            stopped_at: None,
            misses: 0,
        }
    }
}

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_model::{StopLoad, run_stops};
///
/// let second = Duration::from_secs(1);
/// let load = StopLoad {
///     routers: 3,
///     stopped: 2,
///     gap: second,
///     warm_up: 10 * second,
///     grace: 8 * second,
///     requests_per_s: 50.0,
///     long_share: 0.01,
///     unstated_share: 0.0,
///     short_time: second / 5,
///     long_time: 5 * second,
///     bug: None,
/// };
/// assert_eq!(run_stops(&load, 1).cut_late, 0);
/// ```
pub fn run_stops(load: &StopLoad, seed: u64) -> StopOutcome {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut routers: Vec<Router> = (0..load.routers).map(|_| Router::start()).collect();
    let mut outcome = StopOutcome::default();
    let route: Arc<str> = "route".into();
    let plan = StopPlan::new(load.grace);
    let end = load.warm_up + load.gap * load.stopped as u32 + 2 * load.grace;
    let mut now = Duration::ZERO;
    while now < end {
        for (number, router) in routers.iter_mut().enumerate().take(load.stopped) {
            if router.stopped_at.is_none() && now == load.warm_up + load.gap * number as u32 {
                router.stopped_at = Some(now);
            }
            if router.stopped_at.is_some_and(|stopped_at| now >= stopped_at + load.grace) {
                *router = Router::start();
            }
        }
        if now.as_millis().is_multiple_of(CHECK_INTERVAL.as_millis()) {
            for router in &mut routers {
                router.misses = if router.stopped_at.is_some() { router.misses + 1 } else { 0 };
            }
        }
        let in_rotation: Vec<usize> =
            (0..routers.len()).filter(|number| routers[*number].misses < MAX_MISSES).collect();
        let are_few = 2 * in_rotation.len() < routers.len();
        let targets = if are_few { (0..routers.len()).collect() } else { in_rotation };
        let expected = load.requests_per_s * load.routers as f64 * TICK.as_secs_f64();
        let count = expected as u32 + u32::from(random.random_bool(expected.fract()));
        for _ in 0..count {
            let number = targets[random.random_range(0..targets.len())];
            arrive(load, &plan, &route, &mut routers[number], now, &mut random, &mut outcome);
        }
        for router in &mut routers {
            finish(&plan, &route, router, now, &mut outcome);
        }
        now += TICK;
    }
    outcome
}

/// Sends one request to a router.
fn arrive(
    load: &StopLoad,
    plan: &StopPlan,
    route: &Arc<str>,
    router: &mut Router,
    now: Duration,
    random: &mut Pcg32,
    outcome: &mut StopOutcome,
) {
    let is_long = random.random_bool(load.long_share);
    let is_unstated = !is_long && random.random_bool(load.unstated_share);
    let output_tokens = if is_long { 400 } else { 50 };
    let prompt = Prompt { input_tokens: 100, output_tokens, ..Prompt::default() };
    let size = match load.bug {
        Some(StopBug::IgnoresSize) => SizeClass::default(),
        _ => SizeClass::of(Some(&prompt)),
    };
    let is_short = !is_long && !is_unstated;
    let time = if is_short { load.short_time } else { load.long_time };
    let time = time.mul_f64(random.random_range(0.8..1.2));
    let mut acceptance = Acceptance::Unchanged;
    if let Some(stopped_at) = router.stopped_at {
        let arrival = Arrival {
            remaining: DEADLINE,
            duration_estimate: router.durations.duration_estimate(now, route, size),
            max_retry_after: DEADLINE / 3,
            has_serving_peers: true,
            is_forwarded: false,
            is_idempotent: false,
            stream_patience: Some(PATIENCE),
        };
        match plan.admit(now - stopped_at, &arrival, random) {
            Ok(accepted) => acceptance = accepted,
            Err(_) if is_short => {
                outcome.short_refused += 1;
                return;
            }
            Err(_) => {
                outcome.long_refused += 1;
                return;
            }
        }
    }
    if load.bug == Some(StopBug::BeginsUncertainAnswers) {
        acceptance = Acceptance::Unchanged;
    }
    router.running.push(Running { ends_at: now + time, began_at: now, size, is_short, acceptance });
}

/// Ends the requests of a router that are due, and all of them when its process exits.
fn finish(
    plan: &StopPlan,
    route: &Arc<str>,
    router: &mut Router,
    now: Duration,
    outcome: &mut StopOutcome,
) {
    let Router { durations, running, stopped_at, .. } = router;
    running.retain(|request| {
        if request.ends_at > now {
            return true;
        }
        durations.observe(now, route, request.size, now - request.began_at);
        let is_stopping = stopped_at.is_some_and(|stopped_at| request.began_at > stopped_at);
        outcome.short_answered += u64::from(request.is_short && is_stopping);
        false
    });
    let Some(stopped_at) = *stopped_at else { return };
    let since_stop = now - stopped_at;
    // As if one request were always in progress: an idle router would exit sooner.
    if plan.phase(since_stop, 1) != Phase::Ended {
        return;
    }
    for request in running.drain(..) {
        match request.acceptance {
            Acceptance::WholeAnswerOnly => outcome.given_up += 1,
            Acceptance::Unchanged if request.began_at > stopped_at + UNCERTAIN_TIME => {
                outcome.cut_late += 1;
            }
            Acceptance::Unchanged => outcome.cut_early += 1,
        }
    }
}
