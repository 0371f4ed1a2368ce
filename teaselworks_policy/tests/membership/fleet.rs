//! A fleet of membership state machines in one thread, joined by a queue of timed messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_policy::membership::{
    Action, Answer, Call, Contact, Identity, ListedState, Membership, Message, MessageKind, Place,
    Record, RouterState, Timing, Update, VmList,
};
use teaselworks_policy::name::Name;

pub const TICK: Duration = Duration::from_millis(100);

const WALL_START_MS: u64 = 1_700_000_000_000;

/// What the messages between routers suffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplicate: f64,
    pub longest_delay_ms: u64,
}

enum Event {
    Tick,
    ForwardFailed { asker: (usize, u64) },
    Request { from: usize, call: u64, message: Box<Message>, asker: Option<(usize, u64)> },
    Answer { call: u64, message: Box<Message>, asker: Option<(usize, u64)> },
}

/// The platform's list, which routers read when they choose to.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// State of each upstream.
    pub upstreams: Vec<(Name, ListedState)>,
    /// Routers that read an older copy.
    pub stale: BTreeMap<usize, Vec<(Name, ListedState)>>,
    /// Routers that can't reach the list.
    pub cut_off: BTreeSet<usize>,
    /// Readings that routers asked for: when and who.
    pub readings: Vec<(Duration, usize)>,
}

pub struct Node {
    pub membership: Membership,
    pub running: bool,
    pub paused_until: Duration,
    pub side: u8,
    /// Router on the other side that this one still reaches.
    pub friend: Option<usize>,
    pub bytes: u64,
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub zones: usize,
    pub timing: Timing,
    pub changes: u64,
    pub denials: u64,
    pub called: BTreeSet<(usize, usize)>,
    /// Absent while the test itself says who reads what.
    pub platform: Option<Platform>,
    rng: Pcg64,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
}

fn contact(node: &usize) -> Contact {
    let address = format!("10.0.{}.{}:7000", node / 256, node % 256).parse().unwrap();
    Contact { router: name(*node), address }
}

pub fn name(node: usize) -> Name {
    format!("router-{node:03}").into()
}

/// Makes a message from a router with one piece of news.
pub fn push(from: Name, sender: Record, about: Name, record: Record) -> Message {
    Message {
        kind: MessageKind::Push,
        sender: Update { router: from, record: sender, details: None },
        digest: 0,
        updates: vec![Update { router: about, record, details: None }],
        upstreams: Vec::new(),
    }
}

impl Fleet {
    /// Makes a fleet whose routers all start now and read one list.
    pub fn new(size: usize, zones: usize, timing: Timing, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            network: Network { longest_delay_ms: 2, ..Network::default() },
            zones,
            timing,
            changes: 0,
            denials: 0,
            called: BTreeSet::new(),
            platform: None,
            rng: Pcg64::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for node in 0..size {
            let membership = fleet.starting(node, fleet.now);
            let node = Node {
                membership,
                running: true,
                paused_until: Duration::ZERO,
                side: 0,
                friend: None,
                bytes: 0,
            };
            fleet.nodes.push(node);
        }
        for node in 0..size {
            fleet.read_list(node, &(0..size).collect::<Vec<_>>());
            let offset = Duration::from_millis(fleet.rng.random_range(0..100));
            fleet.push(offset, node, Event::Tick);
        }
        fleet
    }

    fn starting(&self, node: usize, wall: Duration) -> Membership {
        let place =
            Place { region: "region".into(), zone: format!("z{}", node % self.zones).into() };
        let address = format!("10.0.{}.{}:7000", node / 256, node % 256).parse().unwrap();
        let incarnation = 1_700_000_000_000 + wall.as_millis() as u64;
        let identity = Identity { name: name(node), incarnation, address, place };
        Membership::new(identity, self.timing, self.now)
    }

    pub fn read_list(&mut self, node: usize, listed: &[usize]) {
        let list = VmList { routers: listed.iter().map(contact).collect(), upstreams: Vec::new() };
        self.nodes[node].membership.on_vm_list(self.now, 0, &list);
    }

    /// Reads the platform's list where the router wants to.
    fn read_platform(&mut self, node: usize) {
        let wall_ms = WALL_START_MS + self.now.as_millis() as u64;
        let size = self.nodes.len();
        let Some(platform) = &mut self.platform else { return };
        let membership = &mut self.nodes[node].membership;
        if !membership.list_due(self.now, wall_ms, &mut self.rng) {
            return;
        }
        platform.readings.push((self.now, node));
        if platform.cut_off.contains(&node) {
            return;
        }
        let upstreams = platform.stale.get(&node).unwrap_or(&platform.upstreams).clone();
        let list = VmList { routers: (0..size).map(|node| contact(&node)).collect(), upstreams };
        membership.on_vm_list(self.now, wall_ms, &list);
    }

    /// Counts running routers that take an upstream for leaving.
    pub fn leaving(&self, upstream: &str) -> usize {
        let told = |node: &&Node| node.membership.upstreams().is_leaving(upstream);
        self.nodes.iter().filter(|node| node.running).filter(told).count()
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
    }

    /// Starts a new process under the router's name.
    pub fn restart(&mut self, node: usize) {
        self.restart_at(node, self.now);
    }

    /// Starts a new process whose wall clock shows another time.
    pub fn restart_at(&mut self, node: usize, wall: Duration) {
        self.nodes[node].membership = self.starting(node, wall);
        self.nodes[node].running = true;
        self.nodes[node].paused_until = Duration::ZERO;
        self.read_list(node, &(0..self.nodes.len()).collect::<Vec<_>>());
    }

    pub fn leave(&mut self, node: usize) {
        self.nodes[node].membership.leave(self.now);
        self.act(node);
    }

    pub fn run_until(&mut self, end: Duration, mut check: impl FnMut(&Fleet)) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (to, event) = entry.remove();
            let paused_until = self.nodes[to].paused_until;
            if paused_until > at {
                // Messages wait in the sockets of a paused process.
                self.push(paused_until - self.now, to, event);
                continue;
            }
            self.now = at;
            let changes = self.changes;
            let ticked = matches!(event, Event::Tick) && to == 0;
            self.handle(to, event);
            if changes != self.changes || ticked {
                check(self);
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds; returns the time it took.
    pub fn run_while(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Fleet) -> bool,
    ) -> Duration {
        let start = self.now;
        while holds(self) {
            assert!(self.now - start < limit, "not reached within {limit:?}");
            self.run_until(self.now + TICK, |_| {});
        }
        self.now - start
    }

    /// Sums the bytes that all routers sent and received.
    pub fn bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.bytes).sum()
    }

    /// Counts running routers in whose view `node` has the state.
    pub fn seen(&self, node: usize, state: RouterState) -> usize {
        let shows = |other: &&Node| {
            other.membership.view().router(&name(node)).is_some_and(|r| r.state == state)
        };
        self.nodes.iter().filter(|node| node.running).filter(shows).count()
    }

    /// Tells whether every running router's view shows all routers as they are.
    pub fn agrees(&self) -> bool {
        let expected = |node: &Node, own: RouterState| {
            if node.running { own } else { RouterState::Dead }
        };
        self.nodes.iter().filter(|node| node.running).all(|viewer| {
            self.nodes.iter().enumerate().all(|(index, node)| {
                let own = node.membership.view().router(&name(index)).unwrap().state;
                let seen = viewer.membership.view().router(&name(index)).map(|r| r.state);
                (!node.running || own != RouterState::Joining)
                    && seen.unwrap_or(RouterState::Dead) == expected(node, own)
            })
        })
    }

    fn handle(&mut self, node: usize, event: Event) {
        if !self.nodes[node].running {
            if matches!(event, Event::Tick) {
                self.push(TICK, node, Event::Tick);
            }
            return;
        }
        let now = self.now;
        let membership = &mut self.nodes[node].membership;
        match event {
            Event::Tick => {
                membership.tick(now, &mut self.rng);
                self.read_platform(node);
                self.push(TICK, node, Event::Tick);
            }
            Event::Request { from, call, message, asker } => {
                match membership.on_request(now, &message) {
                    Answer::Reply(message) => {
                        self.send(node, from, message, |message| Event::Answer {
                            call,
                            message,
                            asker,
                        });
                    }
                    Answer::Forward(forward) => self.forward(node, (from, call), *forward),
                }
            }
            Event::ForwardFailed { asker: (asker, call) } => {
                let answer = membership.on_forwarded(now, &name(asker), None);
                self.answer(node, asker, call, answer);
            }
            Event::Answer { message, asker: Some((asker, call)), .. } => {
                let answer = membership.on_forwarded(now, &name(asker), Some(*message));
                self.answer(node, asker, call, answer);
            }
            Event::Answer { call, message, asker: None } => {
                membership.on_answer(now, call, &message);
            }
        }
        self.act(node);
    }

    fn answer(&mut self, from: usize, to: usize, call: u64, message: Message) {
        self.send(from, to, Box::new(message), |message| Event::Answer {
            call,
            message,
            asker: None,
        });
    }

    fn forward(&mut self, node: usize, asker: (usize, u64), forward: Call) {
        self.push(forward.timeout, node, Event::ForwardFailed { asker });
        let to = index_of(&forward.to.router);
        let asker = Some(asker);
        self.send(node, to, Box::new(forward.message), |message| Event::Request {
            from: node,
            call: 0,
            message,
            asker,
        });
    }

    fn act(&mut self, node: usize) {
        for action in self.nodes[node].membership.take_actions() {
            match action {
                Action::Call(call) => {
                    let id = call.call;
                    self.called.insert((node, index_of(&call.to.router)));
                    let to = index_of(&call.to.router);
                    self.send(node, to, Box::new(call.message), |message| Event::Request {
                        from: node,
                        call: id,
                        message,
                        asker: None,
                    });
                }
                Action::ViewChanged(_) => self.changes += 1,
                Action::Denied { .. } => self.denials += 1,
                Action::UpstreamsChanged => {}
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        message: Box<Message>,
        wrap: impl Fn(Box<Message>) -> Event,
    ) {
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).unwrap();
        self.nodes[from].bytes += encoded.len() as u64;
        if !self.connected(from, to) || self.rng.random_bool(self.network.loss) {
            return;
        }
        self.nodes[to].bytes += encoded.len() as u64;
        let copies = 1 + u32::from(self.rng.random_bool(self.network.duplicate));
        for _ in 0..copies {
            let message: Message = ciborium::from_reader(encoded.as_slice()).unwrap();
            let delay = self.rng.random_range(0..=self.network.longest_delay_ms);
            self.push(Duration::from_millis(delay), to, wrap(Box::new(message)));
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        a.side == b.side || a.friend == Some(to) || b.friend == Some(from)
    }

    fn push(&mut self, delay: Duration, to: usize, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (to, event));
    }
}

fn index_of(router: &str) -> usize {
    router.trim_start_matches("router-").parse().unwrap()
}
