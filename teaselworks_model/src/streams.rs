//! Simulation of streams that break off and are resumed at other routers, by callers that do not name
//! them, while replicas are replaced by a new software version, a route is split and routers are killed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::configuration::{Configuration, Kind, Route, Routes, Target};
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::origin_memory::RecordedOrigins;
use teaselworks_policy::placement::PlacementRequest;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::{Admission, SharesSettings};
use teaselworks_policy::stream_origin::{KnownOrigin, StreamKeys, StreamOrigin};
use teaselworks_policy::upstream::{Change, ColdSettings, Upstream};

/// Versions of the replicas: the first one at the start, and the one that replaces it.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Services of a split route; others send requests to the first one.
const SERVICES: [&str; 2] = ["engines", "others"];
/// Replicas of a service with the same version.
const REPLICAS: usize = 4;
/// Length of a tick.
const TICK: Duration = Duration::from_millis(100);
/// Longest time from a change in the store until a router knows it.
const MAX_LAG: Duration = Duration::from_millis(1_000);
/// Bound on the age of what routers know of the store.
const MAX_STALENESS: Duration = Duration::from_secs(3);
/// Longest time from the beginning of a stream to its break.
const MAX_LENGTH_MS: u64 = 6_000;
/// Longest time of an answer.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two checks of the record in the store.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// A simulated bug of the routers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamBug {
    /// A router that does not know an origin takes the first version.
    Guesses,
    /// A router takes what it has seen since its start for all that there was.
    ForgetsAtStart,
    /// A router draws the service of a split route anew.
    DrawsService,
}

/// Settings of a simulation of streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLoad {
    /// Number of routers.
    pub routers: u16,
    /// Streams that begin in a second, over all routers.
    pub streams_per_s: f64,
    /// Share of the streams that break off and are resumed at another router.
    pub broken_share: f64,
    /// Share of the routers that are killed at once in the middle, which forget all they know.
    pub killed_share: f64,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Simulated time.
    pub length: Duration,
    /// Whether a second version joins after a third of the time, and the first one leaves as the routers
    /// are killed.
    pub has_release: bool,
    /// Whether the route is split between two services.
    pub is_split: bool,
    /// A simulated bug.
    pub bug: Option<StreamBug>,
}

/// What happened to the streams of a simulation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamOutcome {
    /// Streams that were resumed at another router while replicas of their version were listed.
    pub resumed: u64,
    /// Of these, those that went on.
    pub went_on: u64,
    /// Streams that went on at another version or service than the one that began them.
    pub joined: u64,
    /// Largest number of keys of streams whose origin one router knew.
    pub most_known: usize,
    /// Datagrams sent for origins, over all routers.
    pub datagrams: u64,
    /// Writes of the record of where streams can have begun.
    pub record_writes: u64,
}

/// A stream in progress.
struct Stream {
    keys: StreamKeys,
    origin: StreamOrigin,
    began_at: usize,
    breaks_at: Duration,
}

struct Simulation<'a> {
    load: &'a StreamLoad,
    random: Pcg32,
    now: Duration,
    routers: Vec<Fleet>,
    /// How far each router lags behind the store.
    lags: Vec<Duration>,
    names: Vec<(Arc<str>, SocketAddr)>,
    index_by_address: HashMap<SocketAddr, usize>,
    /// Changes of the list, with their times.
    changes: Vec<(Duration, Change)>,
    /// Record of origins in the store, and when it was written.
    record: Option<(Duration, RecordedOrigins)>,
    outcome: StreamOutcome,
}

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_model::{StreamLoad, run_streams};
///
/// let load = StreamLoad {
///     routers: 7,
///     streams_per_s: 20.0,
///     broken_share: 0.5,
///     killed_share: 0.0,
///     loss: 0.0,
///     length: Duration::from_secs(5),
///     has_release: false,
///     is_split: false,
///     bug: None,
/// };
/// let outcome = run_streams(&load, 1);
/// assert_eq!((outcome.went_on, outcome.joined), (outcome.resumed, 0));
/// ```
pub fn run_streams(load: &StreamLoad, seed: u64) -> StreamOutcome {
    Simulation::new(load, seed).run()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a StreamLoad, seed: u64) -> Self {
        let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 10_000 + number));
        let names: Vec<(Arc<str>, SocketAddr)> = (0..load.routers)
            .map(|number| (format!("router-{number}").into(), address(number)))
            .collect();
        let index_by_address =
            names.iter().enumerate().map(|(index, (_, address))| (*address, index)).collect();
        let mut random = Pcg32::seed_from_u64(seed);
        let lags = names
            .iter()
            .map(|_| Duration::from_millis(random.random_range(0..MAX_LAG.as_millis() as u64)))
            .collect();
        let (now, outcome) = (MAX_LAG, StreamOutcome::default());
        let mut simulation = Self {
            load,
            random,
            now,
            routers: Vec::new(),
            lags,
            names,
            index_by_address,
            changes: list_changes(load),
            record: None,
            outcome,
        };
        for index in 0..simulation.names.len() {
            let router = simulation.start_router(index, true);
            simulation.routers.push(router);
        }
        simulation
    }

    fn run(mut self) -> StreamOutcome {
        let mut streams: Vec<Stream> = Vec::new();
        let mut owed = 0.0;
        let mut has_killed = false;
        while self.now < MAX_LAG + self.load.length {
            self.update_routers();
            owed += self.load.streams_per_s * TICK.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                streams.extend(self.begin());
            }
            if !has_killed && (self.now - MAX_LAG) * 2 >= self.load.length {
                has_killed = true;
                self.kill();
            }
            let now = self.now;
            let broken: Vec<Stream> =
                streams.extract_if(.., |stream| stream.breaks_at <= now).collect();
            for stream in broken {
                self.resume(&stream);
            }
            self.now += TICK;
        }
        let known = self.routers.iter().map(|router| router.stream_origins.len());
        self.outcome.most_known = known.max().unwrap_or(0);
        self.outcome
    }

    /// Returns a router that starts now and reads the store.
    fn start_router(&self, index: usize, is_first_start: bool) -> Fleet {
        let membership = Membership::new(self.names[index].0.clone(), Vec::new());
        let mut fleet = Fleet::new(settings(), membership, index as u64);
        fleet.membership.replace(Duration::ZERO, self.names.clone());
        let forgets = self.load.bug == Some(StreamBug::ForgetsAtStart);
        if is_first_start || forgets {
            fleet.origin_memory.on_first_start();
        }
        fleet.set_configuration(self.now, configuration(self.load.is_split));
        let record = self.record.as_ref().filter(|_| !forgets);
        fleet.on_recorded_origins(1, record.map(|(_, record)| record.clone()));
        let applied = self.changes.iter().filter(|(at, _)| *at <= self.now);
        let (mut serving, mut gone) = (Vec::new(), Vec::new());
        for (_, change) in applied {
            match change {
                Change::Gone(id) => gone.push(id.clone()),
                change => serving.push(change),
            }
        }
        for change in serving {
            if !matches!(change, Change::Serving(upstream) if gone.contains(&upstream.id)) {
                fleet.apply(self.now, change);
            }
        }
        fleet.on_list_confirmed(self.now);
        if forgets {
            fleet.on_recorded_origins(1, Some(RecordedOrigins::default()));
        }
        fleet
    }

    /// Delivers the changes of the store to the routers, and writes the record if it lacks something.
    fn update_routers(&mut self) {
        let (now, forgets) = (self.now, self.load.bug == Some(StreamBug::ForgetsAtStart));
        for (fleet, lag) in self.routers.iter_mut().zip(&self.lags) {
            let is_due = |at: Duration| at + *lag <= now && at + *lag + TICK > now;
            for (_, change) in self.changes.iter().filter(|(at, _)| is_due(*at)) {
                fleet.apply(now, change);
            }
            let record = self.record.as_ref().filter(|(at, _)| is_due(*at) && !forgets);
            if let Some((_, record)) = record {
                fleet.on_recorded_origins(1, Some(record.clone()));
            }
            fleet.on_list_confirmed(now - *lag);
        }
        if !now.as_millis().is_multiple_of(RECORD_INTERVAL.as_millis()) {
            return;
        }
        let writer = &mut self.routers[0];
        let known = writer.origin_memory.recorded() == self.record.as_ref().map(|(_, known)| known);
        if let Some(record) = writer.missing_origin_record(now).filter(|_| known) {
            self.outcome.record_writes += 1;
            self.record = Some((now, record));
        }
    }

    /// Begins a stream at a random router and sends its origin to the holders.
    fn begin(&mut self) -> Option<Stream> {
        let began_at = self.random.random_range(0..self.routers.len());
        let keys = StreamKeys { request: self.random.random(), content: self.random.random() };
        let service = self.draw_service();
        let fleet = &mut self.routers[began_at];
        let placement = fleet.place(self.now, service, &new_stream()).ok()?;
        let incarnation = placement.upstream.incarnation();
        fleet.on_attempt_end(self.now, service, &incarnation, None, Duration::ZERO);
        let version = placement.upstream.version.clone();
        let origin = StreamOrigin { service: service.into(), version };
        fleet.stream_origins.record(self.now, keys, &origin);
        for holder in self.holders(began_at, keys.content) {
            if self.is_delivered() {
                self.routers[holder].stream_origins.record(self.now, keys, &origin);
            }
        }
        let is_broken = self.random.random::<f64>() < self.load.broken_share;
        let length = Duration::from_millis(self.random.random_range(0..MAX_LENGTH_MS));
        is_broken.then_some(Stream { keys, origin, began_at, breaks_at: self.now + length })
    }

    fn draw_service(&mut self) -> &'static str {
        let services = if self.load.is_split { 2 } else { 1 };
        SERVICES[self.random.random_range(0..services)]
    }

    /// Kills some routers: they start again without any memory.
    fn kill(&mut self) {
        let killed = (self.routers.len() as f64 * self.load.killed_share) as usize;
        for index in 0..killed {
            self.routers[index] = self.start_router(index, false);
        }
    }

    /// Resumes a stream at a router other than the one where it began.
    fn resume(&mut self, stream: &Stream) {
        let offset = self.random.random_range(1..self.routers.len());
        let router = (stream.began_at + offset) % self.routers.len();
        let pool = self.routers[router].pool(&stream.origin.service);
        let is_listed = pool.is_some_and(|pool| {
            pool.members().iter().any(|member| member.upstream.version == stream.origin.version)
        });
        self.outcome.resumed += u64::from(is_listed);
        // The caller does not name its stream: it sends the same content under another identifier.
        let keys = StreamKeys { request: self.random.random(), content: stream.keys.content };
        let Some(origin) = self.find_origin(router, keys) else { return };
        let is_joined = origin != stream.origin;
        self.outcome.joined += u64::from(is_joined);
        self.outcome.went_on += u64::from(is_listed && !is_joined);
    }

    fn find_origin(&mut self, router: usize, keys: StreamKeys) -> Option<StreamOrigin> {
        if self.load.bug == Some(StreamBug::DrawsService) {
            return Some(StreamOrigin {
                service: self.draw_service().into(),
                version: VERSIONS[0].into(),
            });
        }
        let forgets = self.load.bug == Some(StreamBug::ForgetsAtStart);
        let sole = self.routers[router].sole_origin(self.now, "host", "/gloss/x");
        if let Some(origin) = sole.clone().filter(|_| forgets) {
            return Some(origin);
        }
        let own = self.find(router, keys);
        let known = match own {
            Some((_, true)) => own,
            own => self.ask(router, keys).or(own),
        };
        match known {
            Some((KnownOrigin::One(origin), is_certain)) => {
                (is_certain || sole.as_ref() == Some(&*origin)).then(|| (*origin).clone())
            }
            Some((KnownOrigin::Several, _)) => None,
            None if self.load.bug == Some(StreamBug::Guesses) => {
                let (service, version) = (SERVICES[0].into(), VERSIONS[0].into());
                Some(StreamOrigin { service, version })
            }
            None => sole,
        }
    }

    /// Returns what a router knows of a stream, and whether that is certain.
    fn find(&mut self, router: usize, keys: StreamKeys) -> Option<(KnownOrigin, bool)> {
        let fleet = &mut self.routers[router];
        let known_for = fleet.origin_memory.streams_known_for(self.now);
        let is_certain = known_for >= 2 * ROUTE_TIMEOUT;
        Some((fleet.stream_origins.find(self.now, keys)?, is_certain))
    }

    /// Queries the holders of a stream's origin, twice each since datagrams may be lost.
    fn ask(&mut self, router: usize, keys: StreamKeys) -> Option<(KnownOrigin, bool)> {
        let mut told = None;
        for _ in 0..2 {
            for holder in self.holders(router, keys.content) {
                let is_answered = self.is_delivered() && self.is_delivered();
                let known = self.find(holder, keys).filter(|_| is_answered);
                if let Some((_, true)) = known {
                    return known;
                }
                told = told.or(known);
            }
        }
        told
    }

    fn holders(&self, router: usize, key: u64) -> Vec<usize> {
        let addresses = self.routers[router].membership.holders(key);
        addresses.iter().map(|address| self.index_by_address[address]).collect()
    }

    /// Counts a datagram. Returns whether it arrives.
    fn is_delivered(&mut self) -> bool {
        self.outcome.datagrams += 1;
        self.random.random::<f64>() >= self.load.loss
    }
}

fn settings() -> FleetSettings {
    FleetSettings {
        load_factor: 2.0,
        cold: ColdSettings { overshoot: 1.0, slack: 0.0 },
        budget: BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        shares: SharesSettings::default(),
        max_staleness: MAX_STALENESS,
    }
}

fn configuration(is_split: bool) -> Configuration {
    let services = if is_split { &SERVICES[..] } else { &SERVICES[..1] };
    let target = |service: &&str| Target { service: (*service).into(), weight: 1 };
    let targets = services.iter().map(target).collect();
    let route = Route { targets, ..Route::example(Kind::Stream, "/gloss/") };
    Configuration { version: 1, routes: Routes::new([route]), ..Configuration::default() }
}

/// Returns the changes of the list of replicas, in order, with their times.
fn list_changes(load: &StreamLoad) -> Vec<(Duration, Change)> {
    let services = if load.is_split { 2 } else { 1 };
    let mut changes = Vec::new();
    for service in &SERVICES[..services] {
        for number in 0..REPLICAS {
            for (index, version) in VERSIONS.iter().enumerate() {
                let id = format!("{service}-{version}-{number}");
                let upstream =
                    Upstream { version: (*version).into(), ..Upstream::example(&id, service) };
                let joins_at = load.length * index as u32 / 3;
                if index == 0 || load.has_release {
                    changes.push((joins_at, Change::Serving(upstream)));
                }
            }
            if load.has_release {
                let gone = Change::Gone(format!("{service}-{}-{number}", VERSIONS[0]).into());
                changes.push((load.length / 2, gone));
            }
        }
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

fn new_stream() -> PlacementRequest<'static> {
    PlacementRequest {
        prompt: None,
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: true,
        remaining: Duration::from_secs(8),
        max_retry_after: Duration::from_secs(1),
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    }
}
