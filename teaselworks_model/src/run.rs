//! Plays a load.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::configuration::Route;
use teaselworks_policy::fleet::Fleet;
use teaselworks_policy::placement::Placement;
use teaselworks_policy::upstream::{Incarnation, RequestOutcome};

use crate::caller::{Call, arrivals, milliseconds};
use crate::engine::{Engine, Job, Progress};
use crate::load::Load;
use crate::result::{Outcome, Window};
use crate::router::{self, SERVICE, engine_at};

/// Time that is modelled at once.
const TICK: Duration = Duration::from_millis(2);
/// Time after the last call in which answers still come.
const AFTERMATH: Duration = Duration::from_secs(15);

/// Plays a load; equal seeds give equal results.
///
/// ```
/// use teaselworks_model::{Load, run};
///
/// let load = Load::parse(include_str!("../loads/calm.jsonc")).unwrap();
/// assert_eq!(run(&load, 1), run(&load, 1));
/// ```
pub fn run(load: &Load, seed: u64) -> Outcome {
    Run::new(load, seed).play()
}

/// A call that a router has sent to an engine.
struct Sent {
    router: usize,
    engine: usize,
    incarnation: Incarnation,
    holder: Option<usize>,
    at: Duration,
    tried: Vec<Arc<str>>,
    is_late: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Ask(usize),
    Reach(usize),
    Unreachable(usize),
}

struct Run<'a> {
    load: &'a Load,
    random: Pcg32,
    now: Duration,
    routers: Vec<Fleet>,
    engines: Vec<Engine>,
    dark: Vec<bool>,
    routes: Vec<Route>,
    calls: Vec<Call>,
    sent: HashMap<usize, Sent>,
    events: BTreeMap<Duration, Vec<Event>>,
    exchanged_at: Duration,
    outcome: Outcome,
}

impl<'a> Run<'a> {
    fn new(load: &'a Load, seed: u64) -> Self {
        let routers = (0..load.routers).map(|number| router::router(load, number, seed)).collect();
        let engines = (0..load.engines.count).map(|_| Engine::new(load.engines)).collect();
        Self {
            load,
            random: Pcg32::seed_from_u64(seed),
            now: Duration::ZERO,
            routers,
            engines,
            dark: vec![false; load.engines.count as usize],
            routes: (0..load.kinds.len()).map(|kind| router::route(load, kind)).collect(),
            calls: Vec::new(),
            sent: HashMap::new(),
            events: BTreeMap::new(),
            exchanged_at: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        let length = Duration::from_secs_f64(self.load.length_s);
        while self.now < length + AFTERMATH {
            if self.now < length {
                self.arrive();
            }
            self.darken();
            self.exchange();
            while self.events.first_key_value().is_some_and(|(at, _)| *at <= self.now) {
                let (_, events) = self.events.pop_first().unwrap_or_default();
                events.into_iter().for_each(|event| self.on_event(&event));
            }
            self.work();
            self.leave();
            self.now += TICK;
        }
        for engine in &self.engines {
            self.outcome.totals.read_tokens += engine.missed.read;
            self.outcome.totals.copied_tokens += engine.missed.copied;
        }
        self.outcome
    }

    fn arrive(&mut self) {
        for call in arrivals(self.load, self.now, TICK, &mut self.random) {
            self.calls.push(call);
            let number = self.calls.len() - 1;
            self.count(number, |window| &mut window.asked);
            self.on_event(&Event::Ask(number));
        }
    }

    fn darken(&mut self) {
        for engine in 0..self.engines.len() {
            let is_dark = self.load.is_dark(engine as u32, self.now);
            if std::mem::replace(&mut self.dark[engine], is_dark) == is_dark || !is_dark {
                continue;
            }
            // Its callers hear nothing: they wait until they leave.
            self.engines[engine].crash();
        }
    }

    /// Lets routers tell each other what they heard of engines, through the first of them.
    fn exchange(&mut self) {
        let Some(interval_ms) = self.load.exchange_ms else { return };
        if self.now < self.exchanged_at + milliseconds(interval_ms) {
            return;
        }
        let after = std::mem::replace(&mut self.exchanged_at, self.now);
        let Some((reader, others)) = self.routers.split_first_mut() else { return };
        for router in others.iter() {
            reader.apply_observations(self.now, &router.observations_after(self.now, after, true));
        }
        let observations = reader.observations_after(self.now, after, false);
        for router in others {
            router.apply_observations(self.now, &observations);
        }
    }

    fn on_event(&mut self, event: &Event) {
        match *event {
            Event::Ask(call) => {
                self.calls[call].attempts += 1;
                let router = self.random.random_range(0..self.routers.len());
                let kind = self.calls[call].kind;
                let left = self.calls[call].deadline.saturating_sub(self.now);
                let fleet = &mut self.routers[router];
                let route = &self.routes[kind];
                let is_late = fleet.on_request(self.now, &SERVICE.into(), route, Some(left));
                self.place(call, router, Vec::new(), is_late);
            }
            Event::Reach(call) => self.reach(call),
            Event::Unreachable(call) => {
                let Some(sent) = self.end(call, Some(RequestOutcome::NoAnswer)) else { return };
                self.place(call, sent.router, sent.tried, sent.is_late);
            }
        }
    }

    fn place(&mut self, call: usize, router: usize, mut tried: Vec<Arc<str>>, is_late: bool) {
        let fleet = &mut self.routers[router];
        let placed = router::place(fleet, self.load, self.now, &self.calls[call], &tried, is_late);
        let Placement { upstream, holder, .. } = match placed {
            Ok(placement) => placement,
            Err(refusal) => {
                return self.refuse(call, refusal.retry_after.unwrap_or_default());
            }
        };
        tried.push(upstream.id.clone());
        let engine = engine_at(upstream.address);
        let incarnation = upstream.incarnation();
        let holder = holder.map(engine_at);
        let at = self.now;
        let sent = Sent { router, engine, incarnation, holder, at, tried, is_late };
        self.sent.insert(call, sent);
        let way = self.way();
        let connect_times = &mut self.routers[router].connect_times;
        if self.dark[engine] {
            let wait = connect_times.timeout();
            connect_times.on_timeout();
            return self.schedule(wait, Event::Unreachable(call));
        }
        connect_times.on_opened(2 * way);
        self.schedule(way, Event::Reach(call));
    }

    fn way(&self) -> Duration {
        milliseconds(self.load.way_ms)
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.events.entry(self.now + wait).or_default().push(event);
    }

    fn refuse(&mut self, call: usize, retry_after: Duration) {
        if self.calls[call].returns() && self.now + retry_after < self.calls[call].deadline {
            self.schedule(retry_after, Event::Ask(call));
            return;
        }
        self.count(call, |window| &mut window.refused);
    }

    fn reach(&mut self, call: usize) {
        let Some(sent) = self.sent.get(&call) else { return };
        let (engine, router) = (sent.engine, sent.router);
        let Call { kind, key, answer_tokens, .. } = self.calls[call];
        let is_held =
            sent.holder.is_some_and(|holder| !self.dark[holder] && self.engines[holder].keeps(key));
        self.count_bound(engine);
        let kind = &self.load.kinds[kind];
        let job = Job {
            call,
            key,
            shared_tokens: kind.shared_tokens,
            own_tokens: kind.own_tokens,
            answer_tokens,
        };
        let shared_tokens = u64::from(job.shared_tokens);
        if self.engines[engine].offer(job, is_held) {
            self.outcome.totals.shared_tokens += shared_tokens;
            return;
        }
        self.end(call, Some(RequestOutcome::Error));
        let max_retry_after = self.calls[call].deadline.saturating_sub(self.now) / 3;
        let retry_after =
            self.routers[router].schedule_retry_after(self.now, SERVICE, max_retry_after);
        self.refuse(call, retry_after);
    }

    fn count_bound(&mut self, engine: usize) {
        let total: usize = self.engines.iter().map(Engine::holds).sum();
        let mean = total as f64 / self.engines.len() as f64;
        let totals = &mut self.outcome.totals;
        totals.reached += 1;
        totals.beyond_bound += u64::from(self.engines[engine].holds() as f64 > 2.0 * mean + 3.0);
        let busiest = self.engines.iter().map(Engine::holds).max().unwrap_or(0);
        totals.busiest_percent += (100.0 * busiest as f64 / mean.max(1.0)) as u64;
    }

    fn work(&mut self) {
        for engine in 0..self.engines.len() {
            if self.dark[engine] {
                continue;
            }
            for progress in self.engines[engine].work(self.now, TICK) {
                match progress {
                    Progress::First(call) => self.on_first(call),
                    Progress::Done(call) => self.on_done(call),
                }
            }
        }
    }

    fn on_first(&mut self, call: usize) {
        let Some(sent) = self.sent.get(&call) else { return };
        self.calls[call].first_at = Some(self.now);
        let fleet = &mut self.routers[sent.router];
        fleet.on_first_byte(self.now, SERVICE, self.now.saturating_sub(sent.at));
        if let Some(report) = self.engines[sent.engine].report(self.now) {
            fleet.on_load_report(self.now, SERVICE, &sent.incarnation, report);
        }
    }

    fn on_done(&mut self, call: usize) {
        let Some(sent) = self.end(call, Some(RequestOutcome::Answered)) else { return };
        let route = &self.routes[self.calls[call].kind].name;
        self.routers[sent.router].on_answered(route, self.now.saturating_sub(sent.at));
        let Call { kind, asked_at, first_at, .. } = self.calls[call];
        let wait = first_at.unwrap_or(self.now).saturating_sub(asked_at);
        let waits = self.outcome.waits_ms.entry(self.load.kinds[kind].name.to_string());
        waits.or_default().push(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        if self.calls[call].is_in_time(self.load) {
            self.count(call, |window| &mut window.in_time);
        } else {
            self.count(call, |window| &mut window.late);
        }
    }

    fn count(&mut self, call: usize, counter: impl Fn(&mut Window) -> &mut u32) {
        let Call { asked_at, kind, .. } = self.calls[call];
        self.outcome.count(asked_at, &self.load.kinds[kind].name, counter);
    }

    /// Takes a call off its engine at the router.
    fn end(&mut self, call: usize, request_outcome: Option<RequestOutcome>) -> Option<Sent> {
        let sent = self.sent.remove(&call)?;
        let held = self.now.saturating_sub(sent.at);
        self.routers[sent.router].on_attempt_end(
            self.now,
            SERVICE,
            &sent.incarnation,
            request_outcome,
            held,
        );
        Some(sent)
    }

    fn leave(&mut self) {
        let is_over = |call: &usize| self.calls[*call].deadline <= self.now;
        let mut over: Vec<usize> = self.sent.keys().copied().filter(is_over).collect();
        over.sort_unstable();
        for call in over {
            // Silence until the end of a request's time is a request outcome.
            let Some(sent) = self.end(call, Some(RequestOutcome::NoAnswer)) else { continue };
            self.engines[sent.engine].cancel(call);
            self.count(call, |window| &mut window.failed);
        }
    }
}
