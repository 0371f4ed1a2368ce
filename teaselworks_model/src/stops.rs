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
    /// Stops are counted from the time at which their signals are handled.
    IgnoresSignalDelay,
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
    /// Time from the request to stop until a router is killed and starts again.
    pub grace: Duration,
    /// Longest time after which a router handles the request to stop.
    pub max_signal_delay: Duration,
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
    /// The planned stop of the process, once it was requested.
    stop: Option<Stop>,
    misses: u32,
}

/// A planned stop of a router.
#[derive(Clone, Copy)]
struct Stop {
    requested_at: Duration,
    /// When the router handles the signal.
    handled_at: Duration,
    plan: StopPlan,
}

impl Router {
    fn start() -> Self {
        Self { durations: RouteDurations::default(), running: Vec::new(), stop: None, misses: 0 }
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
///     max_signal_delay: second / 2,
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
    let end = load.warm_up + load.gap * load.stopped as u32 + 2 * load.grace;
    let mut now = Duration::ZERO;
    while now < end {
        for (number, router) in routers.iter_mut().enumerate().take(load.stopped) {
            if router.stop.is_none() && now == load.warm_up + load.gap * number as u32 {
                router.stop = Some(request_stop(load, now, &mut random));
            }
            if router.stop.is_some_and(|stop| now >= stop.requested_at + load.grace) {
                cut(router, true, &mut outcome);
                *router = Router::start();
            }
        }
        if now.as_millis().is_multiple_of(CHECK_INTERVAL.as_millis()) {
            for router in &mut routers {
                let is_stopping = router.stop.is_some_and(|stop| now >= stop.handled_at);
                router.misses = if is_stopping { router.misses + 1 } else { 0 };
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
            arrive(load, &route, &mut routers[number], now, &mut random, &mut outcome);
        }
        for router in &mut routers {
            finish(&route, router, now, &mut outcome);
        }
        now += TICK;
    }
    outcome
}

/// Requests a router to stop.
fn request_stop(load: &StopLoad, now: Duration, random: &mut Pcg32) -> Stop {
    let delay = load.max_signal_delay.mul_f64(random.random_range(0.0..=1.0));
    let known_delay = if load.bug == Some(StopBug::IgnoresSignalDelay) {
        Duration::ZERO
    } else {
        load.max_signal_delay
    };
    let plan = StopPlan::new(load.grace).with_signal_delay(known_delay);
    Stop { requested_at: now, handled_at: now + delay, plan }
}

/// Sends one request to a router.
fn arrive(
    load: &StopLoad,
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
    if let Some(stop) = router.stop.filter(|stop| now >= stop.handled_at) {
        let arrival = Arrival {
            remaining: DEADLINE,
            duration_estimate: router.durations.duration_estimate(now, route, size),
            max_retry_after: DEADLINE / 3,
            has_serving_peers: true,
            is_forwarded: false,
            is_idempotent: false,
            stream_patience: Some(PATIENCE),
        };
        match stop.plan.admit(now - stop.handled_at, &arrival, random) {
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
fn finish(route: &Arc<str>, router: &mut Router, now: Duration, outcome: &mut StopOutcome) {
    let Router { durations, running, stop, .. } = router;
    running.retain(|request| {
        if request.ends_at > now {
            return true;
        }
        durations.observe(now, route, request.size, now - request.began_at);
        let is_stopping = stop.is_some_and(|stop| request.began_at > stop.handled_at);
        outcome.short_answered += u64::from(request.is_short && is_stopping);
        false
    });
    let Some(stop) = stop.filter(|stop| now >= stop.handled_at) else { return };
    // As if one request were always in progress: an idle router would exit sooner.
    if stop.plan.phase(now - stop.handled_at, 1) == Phase::Ended {
        cut(router, false, outcome);
    }
}

/// Counts the requests in progress at a router whose process exits or is killed.
fn cut(router: &mut Router, is_killed: bool, outcome: &mut StopOutcome) {
    let Some(stop) = router.stop else { return };
    for request in router.running.drain(..) {
        let is_given_up = request.acceptance == Acceptance::WholeAnswerOnly && !is_killed;
        if is_given_up {
            outcome.given_up += 1;
        } else if request.began_at > stop.requested_at + UNCERTAIN_TIME {
            outcome.cut_late += 1;
        } else {
            outcome.cut_early += 1;
        }
    }
}
