//! Simulation of a request that crashes each engine which runs it, of the sound requests beside it, and
//! of what routers exchange about both.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::crash::{CrashLedger, ReplicaEnd};
use teaselworks_policy::membership::Membership;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Time from the sending of the crashing request until its engine crashes.
const CRASH_DELAY: Duration = Duration::from_millis(80);
/// Time that an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Shortest and longest time until a sound request is answered.
const SHORTEST_ANSWER_MS: u64 = 100;
const LONGEST_ANSWER_MS: u64 = 2_000;
/// Time after which routers read what the store lists.
const LISTING_DELAY: Duration = Duration::from_millis(100);
/// Time between two reports of ends that no router has acknowledged, and between two exchanges.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of routers that an exchange reaches.
const EXCHANGE_PEERS: usize = 2;
/// Number of times that a caller sends a sound request that broke off.
const SOUND_TRIES: u32 = 2;
/// Fingerprint of the request that crashes engines.
const CRASHING: u64 = 0xbad;
/// Size of a datagram without ends, and of each end.
const MESSAGE_BYTES: u64 = 40;
const END_BYTES: u64 = 22;

/// What disturbs the routers of a simulation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RouterFault {
    /// Nothing.
    #[default]
    None,
    /// One router after the other is killed and starts again, one in each of these intervals.
    KilledInSeries(Duration),
    /// All routers are killed at once in each of these intervals.
    AllKilled(Duration),
    /// The first routers, this many, reach neither the store nor other routers.
    OutOfTouch(usize),
    /// The store takes no writes and answers no reads.
    StoreAway,
    /// The registrations of all routers have lapsed.
    ListLapsed,
}

/// Settings of a simulation of one request that crashes engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedRequestLoad {
    /// Number of routers.
    pub routers: u16,
    /// Number of engines.
    pub engines: usize,
    /// Sound requests in a second, over all routers.
    pub sound_per_s: f64,
    /// Tries of the crashing request in a second.
    pub tries_per_s: f64,
    /// Share of these tries that reach the first router.
    pub first_router_share: f64,
    /// Engines that crash in a second for another reason.
    pub other_crashes_per_s: f64,
    /// What disturbs the routers.
    pub fault: RouterFault,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Simulated time.
    pub length: Duration,
    /// A simulated bug: routers exchange nothing.
    pub has_no_exchange: bool,
}

/// What happened in a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndedRequestOutcome {
    /// Number of engines that the request crashed.
    pub ended: usize,
    /// Number of its tries that were refused.
    pub refused: usize,
    /// Number of attempts of sound requests, and of those that were refused.
    pub sound: u64,
    /// Number of sound attempts that were refused.
    pub sound_refused: u64,
    /// Bytes of all datagrams.
    pub sent_bytes: u64,
    /// Largest number of requests that one router remembers.
    pub max_remembered: usize,
    /// Number of calls by which ends were listed in the store.
    pub store_writes: usize,
}

#[derive(Clone)]
struct Job {
    router: usize,
    engine: usize,
    fingerprint: u64,
    tries: u32,
    sent_at: Duration,
    ends_at: Duration,
}

enum Message {
    Ends { from: usize, is_report: bool, fingerprint: u64, ends: Vec<ReplicaEnd> },
    Answered(u64, Duration),
}

struct Router {
    membership: Membership,
    crashes: CrashLedger,
    started_at: Duration,
}

struct Simulation<'a> {
    load: &'a EndedRequestLoad,
    random: Pcg32,
    now: Duration,
    addresses: Vec<SocketAddr>,
    index_by_address: HashMap<SocketAddr, usize>,
    routers: Vec<Router>,
    /// Number of starts of each engine, and the time until which it is down.
    engines: Vec<(u64, Duration)>,
    jobs: Vec<Job>,
    messages: Vec<(Duration, usize, Arc<Message>)>,
    /// Ends that the store lists, and when they were written.
    listed: HashMap<u64, (Vec<u64>, Duration)>,
    next_fingerprint: u64,
    next_killed: usize,
    outcome: EndedRequestOutcome,
}

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_model::{EndedRequestLoad, RouterFault, run_ended_requests};
///
/// let load = EndedRequestLoad {
///     routers: 7,
///     engines: 18,
///     sound_per_s: 50.0,
///     tries_per_s: 5.0,
///     first_router_share: 0.0,
///     other_crashes_per_s: 0.0,
///     fault: RouterFault::None,
///     loss: 0.0,
///     length: Duration::from_secs(3),
///     has_no_exchange: false,
/// };
/// assert_eq!(run_ended_requests(&load, 1).ended, 3);
/// ```
pub fn run_ended_requests(load: &EndedRequestLoad, seed: u64) -> EndedRequestOutcome {
    Simulation::new(load, seed).run()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a EndedRequestLoad, seed: u64) -> Self {
        let addresses: Vec<SocketAddr> =
            (0..load.routers).map(|number| ([127, 0, 0, 1], 10_000 + number).into()).collect();
        let mut simulation = Self {
            load,
            random: Pcg32::seed_from_u64(seed),
            now: Duration::from_secs(60),
            routers: Vec::new(),
            index_by_address: addresses.iter().copied().zip(0..).collect(),
            addresses,
            engines: vec![(0, Duration::ZERO); load.engines],
            jobs: Vec::new(),
            messages: Vec::new(),
            listed: HashMap::new(),
            next_fingerprint: 0x1_0000,
            next_killed: 0,
            outcome: EndedRequestOutcome::default(),
        };
        for number in 0..usize::from(load.routers) {
            let router = simulation.start_router(number, Duration::ZERO);
            simulation.routers.push(router);
        }
        simulation
    }

    /// Returns a router with the list of the others and the records of the store.
    fn start_router(&self, number: usize, started_at: Duration) -> Router {
        let name = |number: usize| -> Arc<str> { format!("router-{number}").into() };
        let names = (0..self.addresses.len()).map(name);
        let list = names.zip(self.addresses.iter().copied()).collect();
        let mut membership = Membership::new(name(number), Vec::new());
        membership.replace(self.now, list);
        if self.load.fault == RouterFault::ListLapsed {
            membership.replace(self.now, Vec::new());
        }
        let mut crashes = CrashLedger::default();
        for (fingerprint, (ends, _)) in &self.listed {
            crashes.on_listed_ends(self.now, *fingerprint, ends, false);
        }
        Router { membership, crashes, started_at }
    }

    fn run(mut self) -> EndedRequestOutcome {
        let end = self.now + self.load.length;
        let (mut sound, mut tries, mut other) = (0.0, 0.0, 0.0);
        let tick_s = TICK.as_secs_f64();
        while self.now < end {
            sound += self.load.sound_per_s * tick_s;
            tries += self.load.tries_per_s * tick_s;
            other += self.load.other_crashes_per_s * tick_s;
            while sound >= 1.0 {
                sound -= 1.0;
                self.next_fingerprint += 1;
                self.send(self.next_fingerprint, 1);
            }
            while tries >= 1.0 {
                tries -= 1.0;
                self.send(CRASHING, 1);
            }
            while other >= 1.0 {
                other -= 1.0;
                let engine = self.random.random_range(0..self.engines.len());
                self.crash(engine);
            }
            self.kill_routers();
            self.deliver();
            self.advance();
            self.exchange();
            self.read_listed();
            self.now += TICK;
        }
        self.outcome
    }

    fn send(&mut self, fingerprint: u64, tries: u32) {
        let is_crashing = fingerprint == CRASHING;
        let is_first = is_crashing && self.random.random::<f64>() < self.load.first_router_share;
        let drawn = self.random.random_range(0..self.routers.len());
        let router = if is_first { 0 } else { drawn };
        self.outcome.sound += u64::from(!is_crashing);
        if self.routers[router].crashes.requests.blocked(self.now, fingerprint).is_some() {
            self.outcome.sound_refused += u64::from(!is_crashing);
            self.outcome.refused += usize::from(is_crashing);
            return;
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1 <= self.now).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        let answer_ms = self.random.random_range(SHORTEST_ANSWER_MS..LONGEST_ANSWER_MS);
        let time = if is_crashing { CRASH_DELAY } else { Duration::from_millis(answer_ms) };
        let (sent_at, ends_at) = (self.now, self.now + time);
        self.jobs.push(Job { router, engine, fingerprint, tries, sent_at, ends_at });
    }

    /// Ends answers that are complete, and crashes engines.
    fn advance(&mut self) {
        let now = self.now;
        let (due, waiting) =
            std::mem::take(&mut self.jobs).into_iter().partition(|job: &Job| job.ends_at <= now);
        self.jobs = waiting;
        for job in Vec::<Job>::into_iter(due) {
            if job.fingerprint == CRASHING {
                if self.engines[job.engine].1 <= now {
                    let engine = job.engine;
                    self.outcome.ended += 1;
                    self.jobs.push(job);
                    self.crash(engine);
                }
                continue;
            }
            let requests = &mut self.routers[job.router].crashes.requests;
            if requests.on_answered(now, job.fingerprint, job.sent_at) {
                let peers = self.others(job.router);
                self.post(job.router, &peers, Message::Answered(job.fingerprint, job.sent_at));
            }
        }
    }

    /// Crashes an engine, which breaks off all its requests. Callers send sound ones once more.
    fn crash(&mut self, engine: usize) {
        if self.engines[engine].1 > self.now {
            return;
        }
        let incarnation = (engine as u64) << 32 | self.engines[engine].0;
        self.engines[engine] = (self.engines[engine].0 + 1, self.now + DOWN_TIME);
        let (broken, kept) =
            std::mem::take(&mut self.jobs).into_iter().partition(|job: &Job| job.engine == engine);
        self.jobs = kept;
        for job in Vec::<Job>::into_iter(broken) {
            let end = ReplicaEnd {
                incarnation,
                sent_at: job.sent_at,
                ended_at: self.now,
                has_begun: true,
            };
            self.on_ended(job.router, job.fingerprint, end);
            if job.fingerprint != CRASHING && job.tries < SOUND_TRIES {
                self.send(job.fingerprint, job.tries + 1);
            }
        }
    }

    fn on_ended(&mut self, router: usize, fingerprint: u64, end: ReplicaEnd) {
        let holders = self.holders(router, fingerprint);
        let has_peers = !holders.is_empty() && !self.load.has_no_exchange;
        let now = self.now;
        let known = &mut self.routers[router];
        known.crashes.on_ended(now, fingerprint, end, has_peers);
        let remembered = known.crashes.requests.len();
        self.outcome.max_remembered = self.outcome.max_remembered.max(remembered);
        self.report(router, fingerprint);
        self.announce(router, fingerprint);
        self.list(router, fingerprint);
    }

    fn report(&mut self, router: usize, fingerprint: u64) {
        let holders = self.holders(router, fingerprint);
        self.post_ends(router, &holders, true, fingerprint);
    }

    fn announce(&mut self, router: usize, fingerprint: u64) {
        if self.routers[router].crashes.requests.take_announcement(fingerprint) {
            let others = self.others(router);
            self.post_ends(router, &others, false, fingerprint);
        }
    }

    fn list(&mut self, router: usize, fingerprint: u64) {
        let age = self.now.saturating_sub(self.routers[router].started_at);
        let requests = &self.routers[router].crashes.requests;
        let is_away = self.load.fault == RouterFault::StoreAway || self.is_out_of_touch(router);
        if is_away || self.load.has_no_exchange || !requests.needs_listing(fingerprint, age) {
            return;
        }
        let ends = requests.ends(fingerprint).iter().map(|end| end.incarnation).collect();
        self.listed.insert(fingerprint, (ends, self.now));
        self.outcome.store_writes += 1;
    }

    /// Lets routers read what was written to the store.
    fn read_listed(&mut self) {
        let due: Vec<(u64, Vec<u64>)> = self
            .listed
            .iter()
            .filter(|(_, (_, at))| *at + LISTING_DELAY == self.now)
            .map(|(fingerprint, (ends, _))| (*fingerprint, ends.clone()))
            .collect();
        for (fingerprint, ends) in due {
            for number in 0..self.routers.len() {
                if !self.is_out_of_touch(number) {
                    let crashes = &mut self.routers[number].crashes;
                    crashes.on_listed_ends(self.now, fingerprint, &ends, false);
                }
            }
        }
    }

    fn kill_routers(&mut self) {
        let is_due = |interval: Duration| {
            self.now.as_millis().is_multiple_of(interval.as_millis()) && !interval.is_zero()
        };
        let killed: Vec<usize> = match self.load.fault {
            RouterFault::KilledInSeries(interval) if is_due(interval) => {
                self.next_killed += 1;
                vec![self.next_killed % self.routers.len()]
            }
            RouterFault::AllKilled(interval) if is_due(interval) => {
                (0..self.routers.len()).collect()
            }
            _ => Vec::new(),
        };
        for number in killed {
            self.routers[number] = self.start_router(number, self.now);
            self.jobs.retain(|job| job.router != number);
        }
    }

    /// Reports ends again that no router has acknowledged, and sends announced records to some routers.
    fn exchange(&mut self) {
        let is_due = |interval: Duration| self.now.as_millis().is_multiple_of(interval.as_millis());
        let (is_report_due, is_exchange_due) = (is_due(REPORT_INTERVAL), is_due(EXCHANGE_INTERVAL));
        if !is_report_due {
            return;
        }
        for router in 0..self.routers.len() {
            for fingerprint in self.routers[router].crashes.requests.unacknowledged() {
                self.report(router, fingerprint);
            }
            if !is_exchange_due {
                continue;
            }
            let announced = self.routers[router].crashes.requests.announced();
            let others = self.others(router);
            if others.is_empty() {
                continue;
            }
            for fingerprint in announced.into_iter().take(8) {
                let peers: Vec<usize> = (0..EXCHANGE_PEERS)
                    .map(|_| others[self.random.random_range(0..others.len())])
                    .collect();
                self.post_ends(router, &peers, false, fingerprint);
            }
        }
    }

    fn is_out_of_touch(&self, router: usize) -> bool {
        matches!(self.load.fault, RouterFault::OutOfTouch(count) if router < count)
    }

    fn holders(&self, router: usize, fingerprint: u64) -> Vec<usize> {
        let addresses = self.routers[router].membership.possible_holders(fingerprint);
        addresses.iter().map(|address| self.index_by_address[address]).collect()
    }

    fn others(&self, router: usize) -> Vec<usize> {
        (0..self.routers.len()).filter(|other| *other != router).collect()
    }

    fn post_ends(&mut self, from: usize, recipients: &[usize], is_report: bool, fingerprint: u64) {
        let ends = self.routers[from].crashes.requests.ends(fingerprint).to_vec();
        self.post(from, recipients, Message::Ends { from, is_report, fingerprint, ends });
    }

    fn post(&mut self, from: usize, recipients: &[usize], message: Message) {
        if self.load.has_no_exchange {
            return;
        }
        let ends = match &message {
            Message::Ends { ends, .. } => ends.len() as u64,
            Message::Answered(..) => 0,
        };
        let message = Arc::new(message);
        let unreachable: HashSet<usize> =
            (0..self.routers.len()).filter(|other| self.is_out_of_touch(*other)).collect();
        for recipient in recipients {
            self.outcome.sent_bytes += MESSAGE_BYTES + END_BYTES * ends;
            let is_cut = unreachable.contains(&from) || unreachable.contains(recipient);
            if !is_cut && self.random.random::<f64>() >= self.load.loss {
                self.messages.push((self.now + TICK, *recipient, message.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= now);
        self.messages = waiting;
        for (_, recipient, message) in Vec::<(Duration, usize, Arc<Message>)>::into_iter(due) {
            let crashes = &mut self.routers[recipient].crashes;
            match &*message {
                Message::Ends { from, is_report, fingerprint, ends } => {
                    crashes.merge_ends(now, *fingerprint, ends, false);
                    if *is_report {
                        self.post_ends(recipient, &[*from], false, *fingerprint);
                    } else if crashes.requests.is_unacknowledged(*fingerprint) {
                        crashes.requests.on_acknowledged(*fingerprint);
                        self.announce(recipient, *fingerprint);
                        self.list(recipient, *fingerprint);
                    }
                }
                Message::Answered(fingerprint, sent_at) => {
                    crashes.requests.on_answered(now, *fingerprint, *sent_at);
                }
            }
        }
    }
}
