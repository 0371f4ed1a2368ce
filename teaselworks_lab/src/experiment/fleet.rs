//! Runs one design under one workload: time, arrivals, engines, changes of the fleet.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use teaselworks_policy::load::LoadTable;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::{Ask, Belief, PrefixBlock, ReplicaIndex};

use super::candidates::work_of;
use super::design::{Design, Part, Route, Trial};
use super::engine::{CACHE_TOKENS, Cache, Engine, Sequence, TICK_MS};
use super::report::Measured;
use super::router::{Answer, Life, News, Router, model, plain};
use super::sizes::{Refused, refused_bytes};
use super::trial::Export;
use super::workload::{Request, Scale, Workload};

/// Size of a load sample on a reply in the wire's encoding.
const SAMPLE_BYTES: u64 = 17;
/// Sizes of a pool's part in an exchange of means, and the least of an engine's report.
const EXCHANGE_BYTES: u64 = 60;
const REPORT_BYTES: u64 = 40;
/// Searches that follow one which found no place for load.
const SEARCHES: u32 = 5;
/// Ticks between corrections of an attempt's work.
const PROGRESS_TICKS: u64 = 5;
/// Ticks between looks of owners at their replicas, at which engines are asked that are due.
const LOOK_TICKS: u64 = 12;

/// One run.
pub struct Fleet<'a> {
    pub(super) scale: &'a Scale,
    pub(super) design: Design,
    workload: Workload,
    pub(super) requests: &'a [Request],
    pub(super) models: Vec<Name>,
    /// Engines of each model.
    pub(super) pools: Vec<Vec<usize>>,
    pub(super) routers: Vec<Router>,
    pub(super) engines: Vec<Engine>,
    pub(super) life: Vec<Life>,
    changes: Vec<(Duration, News)>,
    /// When which router will hear of what.
    news: Vec<(Duration, usize, News)>,
    /// What the engines reported last.
    pub(super) reported: LoadTable,
    pub(super) served: HashMap<u32, usize>,
    /// Tokens that an engine holds.
    cache_tokens: u64,
    /// When an owner hears that an engine dropped a prefix.
    pub(super) drops: VecDeque<(Duration, usize, u64)>,
    /// Last whole turn of each chat, and what leaving engines still export.
    pub(super) last_turns: HashMap<u32, u32>,
    pub(super) exports: Vec<Export>,
    /// Requests that found no place for load: index, attempts, searches.
    waiting: Vec<(u32, u32, u32)>,
    /// Questions of the request at hand that owners at other routers refused.
    refused: Vec<Refused>,
    random: Pcg64Mcg,
    measured: Measured,
}

impl<'a> Fleet<'a> {
    /// Makes a fleet at rest.
    pub fn new(
        scale: &'a Scale,
        design: Design,
        workload: Workload,
        requests: &'a [Request],
        seed: u64,
    ) -> Self {
        let models: Vec<Name> =
            (0..scale.models).map(|engine| model(scale, engine * scale.places.len())).collect();
        let of_model = |name: &Name| {
            (0..scale.engines).filter(|engine| model(scale, *engine) == *name).collect()
        };
        let cache_tokens = match workload {
            Workload::Evict => CACHE_TOKENS / 5,
            _ => CACHE_TOKENS,
        };
        let mut fleet = Self {
            scale,
            design,
            workload,
            requests,
            pools: models.iter().map(of_model).collect(),
            models,
            routers: (0..scale.routers).map(|router| Router::new(router, scale)).collect(),
            engines: (0..scale.engines).map(|_| Engine::new(cache_tokens)).collect(),
            life: vec![Life::Up; scale.engines],
            changes: Vec::new(),
            news: Vec::new(),
            reported: LoadTable::default(),
            served: HashMap::new(),
            cache_tokens,
            drops: VecDeque::new(),
            last_turns: HashMap::new(),
            exports: Vec::new(),
            waiting: Vec::new(),
            refused: Vec::new(),
            random: Pcg64Mcg::new((u128::from(seed) << 8) | 3),
            measured: Measured::default(),
        };
        fleet.schedule();
        fleet
    }

    /// Runs to the end; returns what was measured.
    pub fn run(mut self) -> Measured {
        if self.design.route == Route::Pooled {
            return self.pooled();
        }
        let mut next = 0;
        for tick in 0..self.scale.end.as_millis() as u64 / TICK_MS {
            let now = Duration::from_millis(tick * TICK_MS);
            self.change(now);
            self.hear_drops(now);
            self.run_exports(now);
            for (index, attempt, searches) in std::mem::take(&mut self.waiting) {
                self.place(index, now, attempt, searches);
            }
            while next < self.requests.len() && self.requests[next].at < now {
                self.place(next as u32, now, 0, 0);
                next += 1;
            }
            self.run_engines(tick, now);
            if tick.is_multiple_of(LOOK_TICKS) {
                self.look(now);
            }
            if tick.is_multiple_of(1_000 / TICK_MS) {
                self.each_second(now);
            }
        }
        let measured_s = (self.scale.end - self.scale.warmup).as_secs_f64();
        self.measured.router_seconds = measured_s * self.scale.routers as f64;
        self.measured
    }

    fn pooled(mut self) -> Measured {
        let mut cache = Cache::new(self.cache_tokens * self.engines.len() as u64);
        for request in self.requests {
            let held_tokens = cache.held_tokens(&request.chain);
            cache.store(&request.chain);
            cache.store(&[&request.chain[..], &[request.answered]].concat());
            self.measured.add_prompt(request, held_tokens, self.scale);
        }
        self.measured
    }

    fn schedule(&mut self) {
        let measured = self.scale.end - self.scale.warmup;
        if self.workload == Workload::Split {
            for (share, router) in [(0.1, 1), (0.8, 4)] {
                let at = self.scale.warmup + measured.mul_f64(share);
                let back = at + measured.mul_f64(0.05);
                self.changes.push((at, News::Router(router, false)));
                self.changes.push((back, News::Router(router, true)));
            }
        }
        let step = Duration::from_secs(60).div_f64(0.05 * self.scale.engines as f64);
        let steps = match self.workload {
            Workload::Churn | Workload::Leave => measured.div_duration_f64(step) as usize,
            _ => 0,
        };
        for number in 0..steps {
            let at = self.scale.warmup + step * (number as u32 + 1);
            let engine = (number * 7 + 3) % self.scale.engines;
            let kind = if self.workload == Workload::Leave { 0 } else { number % 3 };
            let (life, back_s) =
                [(Life::Leaving, 60), (Life::Unreachable, 5), (Life::Down, 60)][kind];
            let back = at + Duration::from_secs(back_s);
            self.changes.push((at, News::Engine(engine, life)));
            self.changes.push((back, News::Engine(engine, Life::Up)));
        }
        self.changes.sort_by_key(|change| change.0);
    }

    fn change(&mut self, now: Duration) {
        while self.changes.first().is_some_and(|change| change.0 <= now) {
            let (_, news) = self.changes.remove(0);
            if let News::Engine(engine, life) = news {
                self.change_engine(engine, life, now);
            }
            self.tell(news, now, |_| true);
        }
        let before = self.scale.is_disturbed(now.saturating_sub(Duration::from_millis(TICK_MS)));
        if self.workload == Workload::Split && before != self.scale.is_disturbed(now) {
            for router in 0..self.scale.routers {
                self.tell(News::Router(router, before), now, |other| other % 2 != router % 2);
            }
        }
        let handover = self.design.has(Part::Handover);
        for (_, router, news) in self.news.extract_if(.., |news| news.0 <= now) {
            self.routers[router].learn(news, now, self.scale, handover);
        }
    }

    fn change_engine(&mut self, engine: usize, life: Life, now: Duration) {
        let before = std::mem::replace(&mut self.life[engine], life);
        if life == Life::Up && before != Life::Unreachable {
            self.engines[engine] = Engine::new(self.cache_tokens);
        }
        if life == Life::Leaving {
            self.start_export(engine);
        }
        if life == Life::Down {
            for lost in std::mem::take(&mut self.engines[engine].sequences) {
                self.finish(engine, &lost, None, now);
                self.place(lost.request, now, lost.attempt + 1, 0);
            }
        }
    }

    fn tell(&mut self, news: News, now: Duration, hears: impl Fn(usize) -> bool) {
        for router in (0..self.scale.routers).filter(|router| hears(*router)) {
            let delay = Duration::from_millis(self.random.random_range(200..2_500));
            self.news.push((now + delay, router, news));
        }
    }

    fn place(&mut self, index: u32, now: Duration, earlier: u32, searches: u32) {
        let request = &self.requests[index as usize];
        let started = Instant::now();
        let mut search = self.search(request, searches, now);
        let (mut served, mut over, mut attempt) = (None, Vec::new(), earlier);
        while let Some(ask) = search.next_ask() {
            let engine = ask.replica.0 as usize;
            match self.ask(index, (ask, search.refused_mean_tokens()), attempt, now) {
                Answer::Admitted => {
                    served = Some(engine);
                    break;
                }
                Answer::OverBound(load_tokens) => {
                    over.push(engine);
                    search.refused(ask.replica, load_tokens);
                }
                Answer::NotHeld(Belief::Perhaps, load) => search.perhaps(ask.replica, load),
                Answer::NotHeld(_, load) => search.refused(ask.replica, load),
                Answer::Failed => search.failed(ask.replica),
            }
            attempt += 1;
        }
        let decision = started.elapsed();
        for refused in std::mem::take(&mut self.refused) {
            let bytes = || refused_bytes(request, &self.models[request.model], refused);
            self.measured.add_control(bytes, true, now, self.scale);
        }
        let last = self.served.get(&request.chat).copied();
        if let Some(engine) = served {
            self.send(index, engine, attempt, now);
            self.served.insert(request.chat, engine);
        }
        let again = served.is_none() && !over.is_empty() && searches < SEARCHES;
        if again {
            self.waiting.push((index, attempt, searches + 1));
        }
        if request.at < self.scale.warmup {
            return;
        }
        let measured = &mut self.measured;
        measured.decision_ns += decision.as_nanos() as u64;
        measured.retried += u64::from(attempt - earlier) + u64::from(earlier > 0 && searches == 0);
        if again {
            return;
        }
        measured.refused_over_bound += u64::from(served.is_none() && !over.is_empty());
        measured.refused_no_replica += u64::from(served.is_none() && over.is_empty());
        if let Some(last) = last {
            measured.gone += u64::from(self.life[last] != Life::Up);
            measured.moved += u64::from(served != Some(last));
            measured.spilled += u64::from(served != Some(last) && over.contains(&last));
        }
    }

    fn ask(&mut self, index: u32, asked: (Ask, u64), attempt: u32, now: Duration) -> Answer {
        let ask = asked.0;
        let request = &self.requests[index as usize];
        if !matches!(self.life[ask.replica.0 as usize], Life::Up | Life::Leaving) {
            return Answer::Failed;
        }
        if self.design.route != Route::Owners {
            return Answer::Admitted;
        }
        let owner = self.routers[request.entry].owners[ask.replica.0 as usize];
        let model = &self.models[request.model];
        let id = attempt_id(index, attempt);
        let answer = self.routers[owner].answer(&self.design, request, &id, asked, model, now);
        if let Some(reason) = answer.reason() {
            let load = self.routers[owner].sample(ask.replica, &self.design, model, now);
            if request.entry != owner {
                self.refused.push(Refused { ask, told_tokens: asked.1, attempt: id, reason, load });
            }
            self.routers[request.entry].loads.observe(ask.replica, model, load, now);
        }
        answer
    }

    fn send(&mut self, index: u32, engine: usize, attempt: u32, now: Duration) {
        let request = &self.requests[index as usize];
        let held_tokens = self.engines[engine].cache.held_tokens(&request.chain);
        self.engines[engine].push(Sequence {
            request: index,
            attempt,
            owner: self.routers[request.entry].owners[engine],
            work: work_of(request, held_tokens),
            produced: 0.0,
            answer_tokens: request.answer_tokens,
            prompt_ms: 0.0,
        });
        self.store(engine, &request.chain, now);
        self.measured.add_prompt(request, held_tokens, self.scale);
    }

    /// Holds a chain at an engine, which may publish what it drops.
    pub(super) fn store(&mut self, engine: usize, chain: &[PrefixBlock], now: Duration) {
        let dropped = self.engines[engine].cache.store(chain);
        let Some(Trial::Events { late, lost_percent }) = self.design.trial else { return };
        for hash in dropped {
            if !self.random.random_ratio(lost_percent, 100) {
                self.drops.push_back((now + late, engine, hash));
            }
        }
    }

    fn run_engines(&mut self, tick: u64, now: Duration) {
        let corrects = self.design.route == Route::Owners && self.design.has(Part::Progress);
        for engine in 0..self.engines.len() {
            for ended in self.engines[engine].tick() {
                let request = &self.requests[ended.request as usize];
                let whole = [&request.chain[..], &[request.answered]].concat();
                self.store(engine, &whole, now);
                self.last_turns.insert(request.chat, ended.request);
                self.export_ended(engine, ended.request);
                self.finish(engine, &ended, Some(request), now);
            }
            if !corrects || !tick.is_multiple_of(PROGRESS_TICKS) {
                continue;
            }
            for sequence in &self.engines[engine].sequences {
                let id = attempt_id(sequence.request, sequence.attempt);
                let owned =
                    self.routers[sequence.owner].owned.get_mut(&ReplicaIndex(engine as u32));
                if let Some(owned) = owned {
                    owned.load.progress(&id, sequence.produced as u32);
                }
            }
        }
    }

    /// Ends an attempt at its owner; a whole answer carries the owner's sample to the entry.
    fn finish(&mut self, engine: usize, ended: &Sequence, whole: Option<&Request>, now: Duration) {
        if self.design.route != Route::Owners {
            return;
        }
        let index = ReplicaIndex(engine as u32);
        let id = attempt_id(ended.request, ended.attempt);
        let Some(owned) = self.routers[ended.owner].owned.get_mut(&index) else { return };
        owned.load.finish(&id);
        let Some(request) = whole else { return };
        let prompt_tokens = u64::from(request.prompt_tokens);
        let cached_tokens = prompt_tokens - u64::from(ended.work.uncached_tokens);
        owned.holdings.learn(&request.chain, cached_tokens, prompt_tokens, now);
        owned.holdings.store(&request.chain, now);
        let model = &self.models[request.model];
        let sample = self.routers[ended.owner].sample(index, &self.design, model, now);
        let remote = request.entry != ended.owner;
        self.routers[request.entry].loads.observe(index, model, sample, now);
        self.measured.add_control(|| SAMPLE_BYTES, remote, now, self.scale);
    }

    fn each_second(&mut self, now: Duration) {
        for (number, pool) in self.pools.iter().enumerate() {
            let model = &self.models[number];
            for engine in pool {
                let sample = plain(self.engines[*engine].counted_tokens());
                self.reported.observe(ReplicaIndex(*engine as u32), model, sample, now);
            }
            if now >= self.scale.warmup {
                let up = pool.iter().filter(|engine| self.life[**engine] == Life::Up);
                self.measured.add_loads(up.map(|engine| &self.engines[*engine]));
            }
        }
        if self.design.route == Route::Owners {
            self.exchange(now);
        }
        let (routers, engines) = (self.scale.routers as u64, self.scale.engines as u64);
        let reports = match self.design.route {
            Route::TwoChoices | Route::LocalBound => engines * routers,
            _ => 0,
        };
        self.measured.add_control(|| REPORT_BYTES * reports, true, now, self.scale);
    }

    /// Lets owners look at their replicas.
    fn look(&mut self, now: Duration) {
        if self.design.route != Route::Owners {
            return;
        }
        for (number, pool) in self.pools.iter().enumerate() {
            for engine in pool {
                let requests = self.engines[*engine].sequences.len() as u32;
                let requests = Some(requests).filter(|_| self.design.has(Part::Handover));
                for router in &mut self.routers {
                    let asked = router.look(*engine, requests, &self.models[number], now);
                    self.measured.add_control(|| REPORT_BYTES, asked, now, self.scale);
                }
            }
        }
    }

    /// Lets each router exchange what it saw itself with one other, drawn at random.
    fn exchange(&mut self, now: Duration) {
        for router in 0..self.routers.len() {
            let other = self.random.random_range(0..self.routers.len());
            if !self.routers[router].reaches(other) || !self.routers[other].reaches(router) {
                continue;
            }
            for (one, two) in [(router, other), (other, router)] {
                for model in &self.models {
                    let sample = self.routers[one].loads.to_send(model, 0, now);
                    if self.design.has(Part::Merge) {
                        self.routers[two].loads.merge(model, sample, now);
                    }
                    self.measured.add_control(|| EXCHANGE_BYTES, one != two, now, self.scale);
                }
            }
        }
    }
}

fn attempt_id(request: u32, attempt: u32) -> AttemptId {
    AttemptId { router: "r".into(), incarnation: 1, sequence: u64::from(request), attempt }
}
