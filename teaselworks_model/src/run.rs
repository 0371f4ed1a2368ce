//! The simulation: moves requests between callers, routers and engines in ticks of fixed length.

mod cold;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::configuration::Route;
use teaselworks_policy::durations::SizeClass;
use teaselworks_policy::fleet::{CallerRequest, Fleet};
use teaselworks_policy::placement::Placement;
use teaselworks_policy::shares::Class;
use teaselworks_policy::upstream::{Incarnation, RequestOutcome};

use self::cold::ColdArrivals;
use crate::caller::{Request, arrivals, duration_from_ms};
use crate::engine::{Engine, Job, Progress};
use crate::load::Load;
use crate::result::{Outcome, RequestCounts};
use crate::router::{self, SERVICE, engine_index};

/// Length of a tick, the step by which simulated time advances.
const TICK: Duration = Duration::from_millis(2);
/// Time for which the simulation continues after the last new request, so that answers in progress
/// can finish.
const DRAIN_TIME: Duration = Duration::from_secs(15);

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use teaselworks_model::{Load, run};
///
/// let load = Load::parse(include_str!("../loads/calm.jsonc")).unwrap();
/// assert_eq!(run(&load, 1), run(&load, 1));
/// ```
pub fn run(load: &Load, seed: u64) -> Outcome {
    Simulation::new(load, seed).run()
}

/// An attempt of a request that a router has sent to an engine.
struct Attempt {
    /// Index of the router.
    router: usize,
    /// Index of the engine.
    engine: usize,
    /// Incarnation of the upstream that stands for the engine.
    incarnation: Incarnation,
    /// Index of another engine that may have more of the prompt cached.
    holder: Option<usize>,
    sent_at: Duration,
    /// Identifiers of the upstreams that the router has sent the request to, this one included.
    tried: Vec<Arc<str>>,
    /// Whether the router assumes that the caller was refused before and is retrying.
    is_late: bool,
}

/// A scheduled event; the number is the index of the request.
#[derive(Clone, Debug)]
enum Event {
    /// A new or retried request arrives at a router.
    ReachRouter(usize),
    /// A request arrives at the engine that the router chose.
    ReachEngine(usize),
    /// The router's attempt to connect to an engine that is down has timed out.
    ConnectTimeout(usize),
    /// The router with this index is notified that engines have restarted.
    LearnRestarts(usize),
}

/// State of a simulation. Routers, engines and requests are referred to by their index.
struct Simulation<'a> {
    load: &'a Load,
    random: Pcg32,
    /// Time since the start of the simulation.
    now: Duration,
    /// State from which each router makes its decisions.
    routers: Vec<Fleet>,
    /// Router that each caller sends its first attempts to.
    router_by_caller: Vec<usize>,
    engines: Vec<Engine>,
    /// Whether each engine is down.
    is_down: Vec<bool>,
    /// Times of the rejections of each engine within the last second.
    rejected_at: Vec<Vec<Duration>>,
    /// Requests that reached each engine while it was cold.
    cold_arrivals: Vec<ColdArrivals>,
    /// Time until which each engine is down because it fell over.
    fallen_until: Vec<Duration>,
    /// Route of each kind of requests.
    routes: Vec<Route>,
    /// All requests so far.
    requests: Vec<Request>,
    /// The current attempt of each request that a router has sent to an engine.
    in_flight: HashMap<usize, Attempt>,
    /// Scheduled events, by the time at which they happen.
    events: BTreeMap<Duration, Vec<Event>>,
    /// Whether the engines of [`Load::cold`] have restarted.
    has_cold_engines: bool,
    /// Whether the zone of [`Load::evacuation`] is evacuated.
    is_evacuated: bool,
    /// Time of the last exchange of observations between the routers.
    exchanged_at: Duration,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates the state at time zero; `seed` determines all random decisions.
    fn new(load: &'a Load, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let router_count = load.routers as usize;
        let router_by_caller =
            (0..load.callers.unwrap_or(0)).map(|_| random.random_range(0..router_count)).collect();
        let routers =
            (0..load.routers).map(|number| router::new_router(load, number, seed)).collect();
        let engines = (0..load.engines.count).map(|_| Engine::new(load.engines)).collect();
        Self {
            load,
            random,
            now: Duration::ZERO,
            routers,
            router_by_caller,
            engines,
            is_down: vec![false; load.engines.count as usize],
            rejected_at: vec![Vec::new(); load.engines.count as usize],
            cold_arrivals: vec![ColdArrivals::default(); load.engines.count as usize],
            fallen_until: vec![Duration::ZERO; load.engines.count as usize],
            routes: (0..load.kinds.len()).map(|kind| router::route_for_kind(load, kind)).collect(),
            requests: Vec::new(),
            in_flight: HashMap::new(),
            events: BTreeMap::new(),
            has_cold_engines: false,
            is_evacuated: false,
            exchanged_at: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    /// Runs the simulation to its end.
    fn run(mut self) -> Outcome {
        let length = Duration::from_secs_f64(self.load.length_s);
        while self.now < length + DRAIN_TIME {
            if self.now < length {
                self.add_arrivals();
            }
            self.update_outages();
            self.update_evacuation();
            self.begin_cold_restart();
            self.exchange_observations();
            while self.events.first_key_value().is_some_and(|(at, _)| *at <= self.now) {
                let (_, events) = self.events.pop_first().unwrap_or_default();
                events.into_iter().for_each(|event| self.on_event(&event));
            }
            self.advance_engines();
            self.expire_deadlines();
            self.now += TICK;
        }
        for engine in &self.engines {
            self.outcome.totals.read_tokens += engine.cache_misses.read_tokens;
            self.outcome.totals.copied_tokens += engine.cache_misses.copied_tokens;
        }
        self.outcome
    }

    /// Sends the new requests of this tick to routers.
    fn add_arrivals(&mut self) {
        for request in arrivals(self.load, self.now, TICK, &mut self.random) {
            self.requests.push(request);
            let request = self.requests.len() - 1;
            self.count(request, |counts| &mut counts.asked);
            self.on_event(&Event::ReachRouter(request));
        }
    }

    /// Starts and ends outages; an engine loses its requests and cache when it goes down.
    fn update_outages(&mut self) {
        for engine in 0..self.engines.len() {
            let is_fallen = self.fallen_until[engine] > self.now;
            let is_down = is_fallen || self.load.is_down(engine as u32, self.now);
            if std::mem::replace(&mut self.is_down[engine], is_down) == is_down || !is_down {
                continue;
            }
            // Callers are not notified that their requests are lost, and wait until their deadline.
            self.engines[engine].crash();
        }
    }

    /// Notifies all routers when the evacuation begins and when it ends.
    fn update_evacuation(&mut self) {
        let is_evacuated =
            self.load.evacuation.is_some_and(|evacuation| evacuation.is_in_effect(self.now));
        if std::mem::replace(&mut self.is_evacuated, is_evacuated) == is_evacuated {
            return;
        }
        for fleet in &mut self.routers {
            router::set_evacuated(fleet, self.now, is_evacuated);
        }
    }

    /// Shares the routers' new observations of engines: the first router collects them from the
    /// others, and passes all of them on to each.
    fn exchange_observations(&mut self) {
        let Some(interval_ms) = self.load.exchange_ms else { return };
        if self.now < self.exchanged_at + duration_from_ms(interval_ms) {
            return;
        }
        let after = std::mem::replace(&mut self.exchanged_at, self.now);
        let Some((collector, others)) = self.routers.split_first_mut() else { return };
        for router in others.iter() {
            collector
                .apply_observations(self.now, &router.observations_after(self.now, after, true));
        }
        let observations = collector.observations_after(self.now, after, false);
        for router in others {
            router.apply_observations(self.now, &observations);
        }
    }

    /// Handles an event that is due.
    fn on_event(&mut self, event: &Event) {
        match *event {
            Event::ReachRouter(request) => {
                self.requests[request].attempts += 1;
                let router = self.choose_router(request);
                let kind = self.requests[request].kind;
                let remaining = self.requests[request].deadline.saturating_sub(self.now);
                let fleet = &mut self.routers[router];
                let route = &self.routes[kind];
                let request_at_router = CallerRequest {
                    route,
                    class: &Class { rank: 0, workspace: None },
                    prompt: None,
                    timeout: Some(remaining),
                };
                let is_late = fleet.on_request(self.now, &SERVICE.into(), &request_at_router);
                self.place(request, router, Vec::new(), is_late);
            }
            Event::ReachEngine(request) => self.on_reach_engine(request),
            Event::ConnectTimeout(request) => {
                let Some(ended) = self.end(request, Some(RequestOutcome::NoAnswer)) else { return };
                self.place(request, ended.router, ended.tried, ended.is_late);
            }
            Event::LearnRestarts(router) => self.on_learn_restarts(router),
        }
    }

    /// Returns the router that the current attempt of a request reaches.
    fn choose_router(&mut self, request: usize) -> usize {
        let is_first = self.requests[request].attempts == 1;
        let funnel_share = self.load.funnel.map_or(0.0, |funnel| funnel.share_at(self.now));
        if is_first && funnel_share > 0.0 && self.random.random::<f64>() < funnel_share {
            return 0;
        }
        let callers = self.router_by_caller.len();
        if callers == 0 || self.requests[request].attempts > 1 {
            return self.random.random_range(0..self.routers.len());
        }
        self.router_by_caller[self.random.random_range(0..callers)]
    }

    /// Lets a router choose an engine for a request, and sends the request there.
    fn place(&mut self, request: usize, router: usize, mut tried: Vec<Arc<str>>, is_late: bool) {
        let fleet = &mut self.routers[router];
        let result =
            router::place(fleet, self.load, self.now, &self.requests[request], &tried, is_late);
        let Placement { upstream, holder, .. } = match result {
            Ok(placement) => placement,
            Err(refusal) => {
                return self.on_refused(request, refusal.retry_after.unwrap_or_default());
            }
        };
        tried.push(upstream.id.clone());
        let engine = engine_index(upstream.address);
        let incarnation = upstream.incarnation();
        let holder = holder.map(engine_index);
        let sent_at = self.now;
        let attempt = Attempt { router, engine, incarnation, holder, sent_at, tried, is_late };
        self.in_flight.insert(request, attempt);
        let delay = self.one_way_delay();
        let connect_times = &mut self.routers[router].connect_times;
        if self.is_down[engine] {
            let timeout = connect_times.timeout();
            connect_times.on_timeout();
            return self.schedule(timeout, Event::ConnectTimeout(request));
        }
        connect_times.on_opened(2 * delay);
        self.schedule(delay, Event::ReachEngine(request));
    }

    /// Returns the one-way network delay between a router and an engine.
    fn one_way_delay(&self) -> Duration {
        duration_from_ms(self.load.one_way_delay_ms)
    }

    /// Schedules `event` to happen after `delay`.
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.entry(self.now + delay).or_default().push(event);
    }

    /// Schedules the retry of a refused request, or counts it as refused if its caller has no retry
    /// or no time left.
    fn on_refused(&mut self, request: usize, retry_after: Duration) {
        if self.requests[request].attempts == 1 {
            self.count(request, |counts| &mut counts.refused_first);
        }
        if self.requests[request].may_retry()
            && self.now + retry_after < self.requests[request].deadline
        {
            self.schedule(retry_after, Event::ReachRouter(request));
            return;
        }
        self.count(request, |counts| &mut counts.refused);
    }

    /// Adds a request to the queue of its engine; a full queue counts as a refusal.
    fn on_reach_engine(&mut self, request: usize) {
        let Some(attempt) = self.in_flight.get(&request) else { return };
        if self.is_misdirected(attempt) {
            let Some(ended) = self.end(request, Some(RequestOutcome::NoAnswer)) else { return };
            return self.place(request, ended.router, ended.tried, ended.is_late);
        }
        let (engine, router) = (attempt.engine, attempt.router);
        let Request { kind, key, answer_tokens, .. } = self.requests[request];
        let is_cached_elsewhere = attempt
            .holder
            .is_some_and(|holder| !self.is_down[holder] && self.engines[holder].has_cached(key));
        if self.overloads_cold_engine(engine) {
            return;
        }
        self.record_imbalance(engine);
        let kind = &self.load.kinds[kind];
        let job = Job {
            request,
            key,
            shared_tokens: kind.shared_tokens,
            own_tokens: kind.own_tokens,
            answer_tokens,
        };
        let shared_tokens = u64::from(job.shared_tokens);
        let brittle = self.load.brittle.filter(|brittle| brittle.is_in_effect(self.now));
        let queue = brittle.map_or(self.load.engines.queue, |brittle| brittle.queue);
        if self.engines[engine].enqueue(job, is_cached_elsewhere, queue) {
            self.outcome.totals.shared_tokens += shared_tokens;
            return;
        }
        self.on_rejected(engine, router, request);
        // As in `Deadline::max_retry_after`: a third of the time left, because the retry itself
        // needs the rest.
        let max_retry_after = self.requests[request].deadline.saturating_sub(self.now) / 3;
        let retry_after =
            self.routers[router].schedule_retry_after(self.now, SERVICE, max_retry_after);
        self.on_refused(request, retry_after);
    }

    /// Ends an attempt that an engine rejected; a brittle engine may fall over because of it.
    fn on_rejected(&mut self, engine: usize, router: usize, request: usize) {
        self.announce_brittleness(router);
        let Some(ended) = self.end(request, Some(RequestOutcome::Error)) else { return };
        self.routers[router].on_rejected(self.now, SERVICE, &ended.incarnation);
        let Some(brittle) = self.load.brittle.filter(|brittle| brittle.is_in_effect(self.now))
        else {
            return;
        };
        let rejected_at = &mut self.rejected_at[engine];
        rejected_at.retain(|at| *at + Duration::from_secs(1) > self.now);
        rejected_at.push(self.now);
        if rejected_at.len() > brittle.max_rejections as usize {
            rejected_at.clear();
            self.fallen_until[engine] = self.now + Duration::from_secs_f64(brittle.down_s);
            self.outcome.totals.falls += 1;
        }
    }

    /// Lets a router know that the engines are brittle, as each of their answers says.
    fn announce_brittleness(&mut self, router: usize) {
        if let Some(brittle) = self.load.brittle.filter(|brittle| brittle.is_announced(self.now)) {
            self.routers[router].on_brittle(self.now, SERVICE, brittle.max_rejections);
        }
    }

    /// Records how the loads of `engine`, which a request has just reached, and of the busiest
    /// engine compare to the mean load.
    ///
    /// Counts `engine` as beyond the bound if its load is more than twice the mean load plus three
    /// requests. Two is the `load_factor` of the routers; the bound by which they place requests is
    /// lower, because they use only a part of the load above the mean that `load_factor` allows.
    fn record_imbalance(&mut self, engine: usize) {
        let total: usize = self.engines.iter().map(Engine::request_count).sum();
        let mean = total as f64 / self.engines.len() as f64;
        let totals = &mut self.outcome.totals;
        totals.reached += 1;
        totals.beyond_bound +=
            u64::from(self.engines[engine].request_count() as f64 > 2.0 * mean + 3.0);
        let busiest = self.engines.iter().map(Engine::request_count).max().unwrap_or(0);
        totals.busiest_percent_sum += (100.0 * busiest as f64 / mean.max(1.0)) as u64;
    }

    /// Processes requests at all engines for one tick.
    fn advance_engines(&mut self) {
        for engine in 0..self.engines.len() {
            if self.is_down[engine] {
                continue;
            }
            for progress in self.engines[engine].advance(self.now, TICK) {
                match progress {
                    Progress::FirstToken(request) => self.on_first_token(request),
                    Progress::Finished(request) => self.on_finished(request),
                }
            }
        }
    }

    /// Passes the first token's latency and the engine's load report to the router.
    fn on_first_token(&mut self, request: usize) {
        let Some(attempt) = self.in_flight.get(&request) else { return };
        self.requests[request].first_token_at = Some(self.now);
        let router = attempt.router;
        self.announce_brittleness(router);
        let Some(attempt) = self.in_flight.get(&request) else { return };
        let fleet = &mut self.routers[router];
        fleet.on_first_byte(self.now, SERVICE, self.now.saturating_sub(attempt.sent_at));
        if let Some(report) = self.engines[attempt.engine].delayed_report(self.now) {
            fleet.on_load_report(self.now, SERVICE, &attempt.incarnation, report);
        }
    }

    /// Ends a request whose answer is complete, and counts it as in time or late.
    fn on_finished(&mut self, request: usize) {
        let Some(ended) = self.end(request, Some(RequestOutcome::Answered)) else { return };
        let route = &self.routes[self.requests[request].kind].name;
        // The time since the answered attempt was sent. It is shorter than the time since the
        // request's arrival if an earlier attempt timed out while connecting.
        let elapsed = self.now.saturating_sub(ended.sent_at);
        self.routers[ended.router].on_answered(self.now, route, SizeClass::default(), elapsed);
        let Request { kind, first_sent_at, first_token_at, .. } = self.requests[request];
        let wait = first_token_at.unwrap_or(self.now).saturating_sub(first_sent_at);
        let waits = self.outcome.waits_ms.entry(self.load.kinds[kind].name.to_string());
        waits.or_default().push(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        if self.requests[request].is_in_time(self.load) {
            self.count(request, |counts| &mut counts.in_time);
        } else {
            self.count(request, |counts| &mut counts.late);
        }
    }

    /// Increments a counter for a request.
    fn count(&mut self, request: usize, counter: impl Fn(&mut RequestCounts) -> &mut u32) {
        let Request { first_sent_at, kind, .. } = self.requests[request];
        self.outcome.count(first_sent_at, &self.load.kinds[kind].name, counter);
    }

    /// Ends the attempt of a request and reports to its router how it ended; returns the attempt,
    /// or `None` if the request has none.
    fn end(&mut self, request: usize, request_outcome: Option<RequestOutcome>) -> Option<Attempt> {
        let attempt = self.in_flight.remove(&request)?;
        let held = self.now.saturating_sub(attempt.sent_at);
        self.routers[attempt.router].on_attempt_end(
            self.now,
            SERVICE,
            &attempt.incarnation,
            request_outcome,
            held,
        );
        Some(attempt)
    }

    /// Ends the requests whose deadline has passed, and counts them as failed.
    fn expire_deadlines(&mut self) {
        let is_expired = |request: &usize| self.requests[*request].deadline <= self.now;
        let mut expired: Vec<usize> = self.in_flight.keys().copied().filter(is_expired).collect();
        expired.sort_unstable();
        for request in expired {
            // The router counts an engine whose answer is not complete by the deadline as failed.
            let Some(ended) = self.end(request, Some(RequestOutcome::NoAnswer)) else { continue };
            self.engines[ended.engine].cancel(request);
            self.count(request, |counts| &mut counts.failed);
        }
    }
}
