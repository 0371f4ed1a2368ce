//! Simulation of requests of which some hold a part that crashes engines, and of what routers tell each
//! other of it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::crash::{CrashAction, CrashLedger, CrashReport, WRITING_TIME};
use teaselworks_policy::membership::Membership;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Time between two looks of a router at what crashes tell.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a datagram takes.
const DELAY: Duration = Duration::from_millis(10);
/// Time from the sending of a request until its answer begins, and from there until an engine crashes.
const WAIT: Duration = Duration::from_millis(200);
const CRASH_DELAY: Duration = Duration::from_millis(80);
/// Shortest and longest time that a sound answer is written.
const SHORTEST_ANSWER_MS: u64 = 100;
const LONGEST_ANSWER_MS: u64 = 2_000;
/// Part that crashes engines.
const CRASHING_PART: u64 = 0xbad;

/// Settings of a simulation of crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashLoad {
    /// Number of routers.
    pub routers: u16,
    /// Number of engines.
    pub engines: usize,
    /// Sound requests in a second, over all routers.
    pub sound_per_s: f64,
    /// Requests with the crashing part in a second, over all routers.
    pub crashing_per_s: f64,
    /// Share of the sound requests that have the same first part as those that crash engines.
    pub shared_first_share: f64,
    /// Number of second parts, of which each sound request has one.
    pub second_parts: u64,
    /// Time for which a crashed engine is down.
    pub down: Duration,
    /// Engines that crash in a second for another reason.
    pub other_crashes_per_s: f64,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Simulated time.
    pub length: Duration,
    /// A simulated bug: routers do not refuse requests with blocked parts.
    pub ignores_blocks: bool,
}

/// What happened in a simulation of crashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashOutcome {
    /// Times of the crashes on the crashing part.
    pub crashed_at: Vec<Duration>,
    /// Times at which requests with the crashing part reached engines.
    pub reached_at: Vec<Duration>,
    /// Sound requests, and those of them that were refused because of a blocked part.
    pub sound: u64,
    /// Sound requests that were refused because of a blocked part.
    pub sound_refused: u64,
    /// Parts of sound requests that any router blocked.
    pub wrongly_blocked: Vec<u64>,
    /// Bytes of the datagrams that were sent, over all routers, with their headers.
    pub sent_bytes: u64,
}

/// A request at an engine.
struct Job {
    router: usize,
    engine: usize,
    parts: [u64; 2],
    sent_at: Duration,
    ends_at: Duration,
    is_written: bool,
}

impl Job {
    fn is_crashing(&self) -> bool {
        self.parts.contains(&CRASHING_PART)
    }

    fn begins_at(&self) -> Duration {
        self.sent_at + WAIT
    }
}

/// A message on its way to a router.
enum Message {
    Reports(Vec<CrashReport>),
    Suspected(u64, Duration),
    Proven(u64, Duration),
    Blocked(u64, Vec<u64>, Duration),
    Released(u64),
}

impl Message {
    /// Returns about how many bytes a datagram takes with its headers.
    fn size_bytes(&self) -> u64 {
        match self {
            Message::Reports(reports) => 50 + 30 * reports.len() as u64,
            Message::Blocked(_, crashes, _) => 60 + 9 * crashes.len() as u64,
            Message::Suspected(..) | Message::Proven(..) | Message::Released(_) => 60,
        }
    }
}

struct Router {
    membership: Membership,
    crashes: CrashLedger,
}

struct Simulation<'a> {
    load: &'a CrashLoad,
    random: Pcg32,
    now: Duration,
    routers: Vec<Router>,
    addresses: Vec<SocketAddr>,
    index_by_address: HashMap<SocketAddr, usize>,
    /// For each engine, the number of its starts and the time until which it is down.
    engines: Vec<(u64, Duration)>,
    jobs: Vec<Job>,
    messages: Vec<(Duration, usize, Arc<Message>)>,
    outcome: CrashOutcome,
}

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_model::{CrashLoad, run_crashes};
///
/// let load = CrashLoad {
///     routers: 7,
///     engines: 18,
///     sound_per_s: 100.0,
///     crashing_per_s: 3.0,
///     shared_first_share: 0.2,
///     second_parts: 100,
///     down: Duration::from_secs(4),
///     other_crashes_per_s: 0.0,
///     loss: 0.0,
///     length: Duration::from_secs(6),
///     ignores_blocks: false,
/// };
/// assert!(run_crashes(&load, 1).crashed_at.len() < 12);
/// ```
pub fn run_crashes(load: &CrashLoad, seed: u64) -> CrashOutcome {
    Simulation::new(load, seed).run()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a CrashLoad, seed: u64) -> Self {
        let addresses: Vec<SocketAddr> =
            (0..load.routers).map(|number| ([127, 0, 0, 1], 10_000 + number).into()).collect();
        let names = (0..load.routers).map(|number| format!("router-{number}").into());
        let list: Vec<(Arc<str>, SocketAddr)> = names.zip(addresses.iter().copied()).collect();
        let new_router = |(name, _): &(Arc<str>, SocketAddr)| {
            let mut membership = Membership::new(name.clone(), Vec::new());
            membership.replace(Duration::ZERO, list.clone());
            Router { membership, crashes: CrashLedger::default() }
        };
        Self {
            load,
            random: Pcg32::seed_from_u64(seed),
            now: Duration::ZERO,
            routers: list.iter().map(new_router).collect(),
            index_by_address: addresses.iter().copied().zip(0..).collect(),
            addresses,
            engines: vec![(0, Duration::ZERO); load.engines],
            jobs: Vec::new(),
            messages: Vec::new(),
            outcome: CrashOutcome::default(),
        }
    }

    fn run(mut self) -> CrashOutcome {
        let (mut sound, mut crashing, mut other) = (0.0, 0.0, 0.0);
        let tick_s = TICK.as_secs_f64();
        while self.now < self.load.length {
            sound += self.load.sound_per_s * tick_s;
            crashing += self.load.crashing_per_s * tick_s * self.random.random_range(0.0..2.0);
            other += self.load.other_crashes_per_s * tick_s;
            for _ in 0..take_whole(&mut sound) {
                let parts = self.sound_parts();
                self.send(parts);
            }
            for _ in 0..take_whole(&mut crashing) {
                self.send([1, CRASHING_PART]);
            }
            for _ in 0..take_whole(&mut other) {
                let engine = self.random.random_range(0..self.engines.len());
                self.crash(engine);
            }
            self.deliver();
            self.advance();
            self.look();
            self.now += TICK;
        }
        self.outcome.wrongly_blocked.sort_unstable();
        self.outcome.wrongly_blocked.dedup();
        self.outcome
    }

    fn sound_parts(&mut self) -> [u64; 2] {
        let is_shared = self.random.random::<f64>() < self.load.shared_first_share;
        let first = if is_shared { 1 } else { self.random.random_range(2..10) };
        [first, 0x1000 + self.random.random_range(0..self.load.second_parts)]
    }

    /// Sends a request to a random router, and from there to a random engine that is up.
    fn send(&mut self, parts: [u64; 2]) {
        let router = self.random.random_range(0..self.routers.len());
        let is_crashing = parts.contains(&CRASHING_PART);
        self.outcome.sound += u64::from(!is_crashing);
        let blocked = self.routers[router].crashes.blocked.find(self.now, parts);
        if blocked.is_some() && !self.load.ignores_blocks {
            self.outcome.sound_refused += u64::from(!is_crashing);
            return;
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1 <= self.now).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        if is_crashing {
            self.outcome.reached_at.push(self.now);
        }
        let answer_ms = self.random.random_range(SHORTEST_ANSWER_MS..LONGEST_ANSWER_MS);
        let written = if is_crashing { CRASH_DELAY } else { Duration::from_millis(answer_ms) };
        let ends_at = self.now + WAIT + written;
        let sent_at = self.now;
        self.jobs.push(Job { router, engine, parts, sent_at, ends_at, is_written: false });
    }

    /// Writes answers, ends those that are complete, and crashes engines.
    fn advance(&mut self) {
        let now = self.now;
        let mut crashing = Vec::new();
        for job in &mut self.jobs {
            let is_over = job.ends_at <= now;
            if is_over && job.is_crashing() {
                crashing.push(job.engine);
                continue;
            }
            let is_written = is_over || now >= job.begins_at() + WRITING_TIME;
            if is_written && !job.is_written && !job.is_crashing() {
                job.is_written = true;
                let crashes = &mut self.routers[job.router].crashes;
                crashes.on_written(now, &job.parts, job.begins_at());
            }
        }
        self.jobs.retain(|job| job.ends_at > now || job.is_crashing());
        for engine in crashing {
            if self.engines[engine].1 <= now {
                self.outcome.crashed_at.push(now);
                self.crash(engine);
            }
        }
    }

    /// Crashes an engine, which breaks off all its requests.
    fn crash(&mut self, engine: usize) {
        if self.engines[engine].1 > self.now {
            return;
        }
        let incarnation = (engine as u64) << 32 | self.engines[engine].0;
        self.engines[engine] = (self.engines[engine].0 + 1, self.now + self.load.down);
        let jobs = std::mem::take(&mut self.jobs);
        let (broken, kept) = jobs.into_iter().partition(|job| job.engine == engine);
        self.jobs = kept;
        for job in Vec::<Job>::into_iter(broken).filter(|job| !job.is_written) {
            let crashes = &mut self.routers[job.router].crashes;
            crashes.on_crashed(self.now, &job.parts, incarnation, job.sent_at);
        }
    }

    /// Lets each router evaluate the crash reports, and sends the messages that follow.
    fn look(&mut self) {
        for router in 0..self.routers.len() {
            // Routers evaluate at different times.
            let offset = TICK * (router % 10) as u32;
            let is_due = (self.now + offset).as_millis().is_multiple_of(LOOK_INTERVAL.as_millis());
            if !is_due || !self.routers[router].crashes.is_active() {
                continue;
            }
            for action in self.routers[router].crashes.tick(self.now) {
                self.carry_out(router, action);
            }
        }
    }

    fn carry_out(&mut self, router: usize, action: CrashAction) {
        match action {
            CrashAction::Report(reports) => {
                let mut by_holder: HashMap<usize, Vec<CrashReport>> = HashMap::new();
                for report in reports {
                    for holder in self.holders(router, report.part) {
                        by_holder.entry(holder).or_default().push(report);
                    }
                }
                let mut by_holder: Vec<_> = by_holder.into_iter().collect();
                by_holder.sort_by_key(|(holder, _)| *holder);
                for (holder, reports) in by_holder {
                    self.post(&[holder], Message::Reports(reports));
                }
            }
            CrashAction::Suspect { part, first_at } => {
                self.post_to_all(router, Message::Suspected(part, first_at));
            }
            CrashAction::Prove { part, began_at } => {
                let holders = self.holders(router, part);
                self.post(&holders, Message::Proven(part, began_at));
            }
            CrashAction::Block { part, crashes, first_at } => {
                if part != CRASHING_PART {
                    self.outcome.wrongly_blocked.push(part);
                }
                self.post_to_all(router, Message::Blocked(part, crashes, first_at));
            }
            CrashAction::Release { part } => self.post_to_all(router, Message::Released(part)),
        }
    }

    fn holders(&self, router: usize, part: u64) -> Vec<usize> {
        let addresses = self.routers[router].membership.holders(part);
        addresses.iter().map(|address| self.index_by_address[address]).collect()
    }

    fn post_to_all(&mut self, router: usize, message: Message) {
        let others: Vec<usize> =
            (0..self.addresses.len()).filter(|other| *other != router).collect();
        self.post(&others, message);
    }

    fn post(&mut self, recipients: &[usize], message: Message) {
        let message = Arc::new(message);
        for recipient in recipients {
            self.outcome.sent_bytes += message.size_bytes();
            if self.random.random::<f64>() >= self.load.loss {
                self.messages.push((self.now + DELAY, *recipient, message.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, waiting) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = waiting;
        for (_, recipient, message) in Vec::<(Duration, usize, Arc<Message>)>::into_iter(due) {
            let crashes = &mut self.routers[recipient].crashes;
            match &*message {
                Message::Reports(reports) => {
                    reports.iter().for_each(|report| crashes.on_report(now, report));
                }
                Message::Suspected(part, first_at) => crashes.on_suspected(now, *part, *first_at),
                Message::Proven(part, began_at) => crashes.on_proven(now, *part, *began_at),
                Message::Blocked(part, incarnations, first_at) => {
                    crashes.on_blocked(now, *part, incarnations, *first_at);
                }
                Message::Released(part) => {
                    crashes.blocked.release(*part);
                }
            }
        }
    }
}

/// Takes the whole part of a number of requests that are due, and leaves the rest.
fn take_whole(due: &mut f64) -> u64 {
    let whole = due.floor();
    *due -= whole;
    whole as u64
}
