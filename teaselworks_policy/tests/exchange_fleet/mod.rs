//! Routers that exchange offered load over a network with faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::membership::Membership;
use teaselworks_policy::shares::{
    Exchange, ExchangeKind, ExchangeMessage, OfferedRow, RankLoad, ReportedLoad, Totals,
    WorkspaceKey, service_key,
};

pub const STEP: Duration = Duration::from_millis(5);
/// Age up to which totals are used.
const USABLE_AGE: Duration = Duration::from_secs(1);
/// Messages that the socket of a frozen router holds.
const SOCKET_MESSAGES: usize = 250;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number as u16).into()
}

pub fn load(slots: f64, is_overloaded: bool) -> ReportedLoad {
    let ranks = vec![RankLoad { rank: 1, new: slots, returning: 0.0 }];
    let rows = vec![OfferedRow { workspace: WorkspaceKey(7), usual: slots / 2.0, ranks }];
    ReportedLoad { rows, in_progress: slots, is_overloaded }
}

pub struct Router {
    pub exchange: Exchange,
    pub membership: Membership,
    pub is_up: bool,
    pub is_frozen: bool,
    pub is_cut_off: bool,
    pub slots: f64,
    phase: Duration,
    inbox: Vec<(SocketAddr, ExchangeMessage)>,
}

/// Routers whose datagrams take 1 to 10 ms.
pub struct Fleet {
    pub now: Duration,
    pub routers: Vec<Router>,
    pub is_overloaded: bool,
    in_flight: BTreeMap<(Duration, u64), (usize, SocketAddr, ExchangeMessage)>,
    rng: Pcg32,
    /// Part of the datagrams that are lost, part that arrive twice, and longest additional delay.
    pub faults: (f64, f64, u64),
    pub sent: HashMap<(usize, &'static str), u32>,
    pub received: HashMap<(usize, &'static str), u32>,
    /// Receivers of reports, with sender and time.
    pub reports: Vec<(Duration, usize, SocketAddr)>,
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        let list: Vec<(Arc<str>, SocketAddr)> =
            (0..size).map(|n| (format!("router-{n}").into(), address(n))).collect();
        let mut rng = Pcg32::seed_from_u64(size as u64);
        let router = |(name, _): &(Arc<str>, SocketAddr)| {
            let mut membership = Membership::new(name.clone(), Vec::new());
            membership.replace(Duration::ZERO, list.clone());
            Router {
                exchange: Exchange::new(rng.random()),
                membership,
                is_up: true,
                is_frozen: false,
                is_cut_off: false,
                slots: 2.0,
                phase: STEP * rng.random_range(0..50),
                inbox: Vec::new(),
            }
        };
        Self {
            now: Duration::ZERO,
            routers: list.iter().map(router).collect(),
            is_overloaded: true,
            in_flight: BTreeMap::new(),
            rng,
            faults: (0.0, 0.0, 0),
            sent: HashMap::new(),
            received: HashMap::new(),
            reports: Vec::new(),
        }
    }

    /// Returns the aggregator and backup aggregator that a router's list gives.
    pub fn aggregators(&self, number: usize) -> (usize, usize) {
        let membership = &self.routers[number].membership;
        let groups = membership.listed().count().div_ceil(16) as u64;
        let chosen = membership.rendezvous(service_key(membership.own_name()) % groups, 2);
        let number = |address: SocketAddr| usize::from(address.port()) - 1_000;
        (number(chosen[0]), number(chosen[1]))
    }

    fn send(&mut self, from: usize, messages: Vec<(SocketAddr, ExchangeMessage)>) {
        for (to, message) in messages {
            *self.sent.entry((from, message.kind.as_str())).or_default() += 1;
            if matches!(message.kind, ExchangeKind::Offered { .. }) {
                self.reports.push((self.now, from, to));
            }
            let (loss, doubled, delay_ms) = self.faults;
            let copies = if self.rng.random_bool(doubled) { 2 } else { 1 };
            for _ in 0..copies {
                if self.rng.random_bool(loss) {
                    continue;
                }
                let at = self.now + ms(self.rng.random_range(1..=10 + delay_ms));
                self.in_flight.insert((at, self.rng.random()), (from, to, message.clone()));
            }
        }
    }

    pub fn receive(&mut self, to: usize, from: SocketAddr, message: ExchangeMessage) {
        *self.received.entry((to, message.kind.as_str())).or_default() += 1;
        let answers = self.routers[to].exchange.on_message(self.now, from, message);
        self.send(to, answers);
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.in_flight.first_entry().filter(|due| due.key().0 <= self.now) {
            let (from, to, message) = entry.remove();
            let number = usize::from(to.port()) - 1_000;
            let Some(router) = self.routers.get_mut(number) else { continue };
            if !router.is_up || router.is_cut_off || self.routers[from].is_cut_off {
                continue;
            }
            let router = &mut self.routers[number];
            if !router.is_frozen {
                self.receive(number, address(from), message);
            } else if router.inbox.len() < SOCKET_MESSAGES {
                router.inbox.push((address(from), message));
            }
        }
        for number in 0..self.routers.len() {
            let router = &mut self.routers[number];
            let since = (self.now + router.phase).as_millis();
            if router.is_up && !router.is_frozen && since.is_multiple_of(Exchange::TICK.as_millis())
            {
                let own = [("chat".into(), load(router.slots, self.is_overloaded))];
                let messages = router.exchange.on_tick(self.now, &router.membership, &own);
                self.send(number, messages);
            }
        }
    }

    /// Lets a frozen router continue: it reads its socket before or after its next tick.
    pub fn thaw(&mut self, number: usize, ticks_first: bool) {
        self.routers[number].is_frozen = false;
        if ticks_first {
            let router = &mut self.routers[number];
            let messages = router.exchange.on_tick(self.now, &router.membership, &[]);
            self.send(number, messages);
        }
        for (from, message) in std::mem::take(&mut self.routers[number].inbox) {
            self.receive(number, from, message);
        }
    }

    pub fn restart(&mut self, number: usize) {
        self.routers[number].exchange = Exchange::new(self.rng.random());
        self.routers[number].is_up = true;
    }

    /// Runs for a time; passes the totals of all routers that are up to `check` after each step, with
    /// the sum of the load of these routers.
    pub fn run(
        &mut self,
        time: Duration,
        mut check: impl FnMut(Duration, usize, Option<&Totals>, f64),
    ) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            let is_up = |router: &&Router| router.is_up;
            let sum = self.routers.iter().filter(is_up).map(|router| router.slots).sum();
            for (number, router) in self.routers.iter().enumerate() {
                if router.is_up && !router.is_frozen {
                    let totals = router.exchange.totals(self.now, "chat");
                    check(self.now, number, totals.as_ref(), sum);
                }
            }
        }
    }

    pub fn settle(&mut self) {
        self.run(Duration::from_secs(3), |_, _, _, _| {});
        self.reports.clear();
    }
}

/// Returns the totals if they are new enough to be used.
pub fn usable(totals: Option<&Totals>) -> Option<&Totals> {
    totals.filter(|totals| totals.age <= USABLE_AGE)
}

pub fn offered(totals: &Totals) -> f64 {
    totals.rows.iter().flat_map(|row| &row.ranks).map(|load| load.new + load.returning).sum()
}

pub fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-6, "{value} instead of {expected}");
}
