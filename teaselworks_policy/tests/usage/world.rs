//! A few routers with their ledgers, messages on their way, and the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::usage::{
    Answer, AttemptKey, Call, Charge, Fleet, Ledger, Reading, SHARDS, Sighting, Slot, SlotStep,
    Source, Tally, UsageRecord, UseOutcome, WriteOutcome,
};

pub const ROUTERS: usize = 4;
pub const WORKSPACES: [&str; 3] = ["zbor", "choir", "wedding"];

/// Longest time that a message is on its way before its link is given up.
pub const LONGEST_WAY: Duration = Duration::from_secs(10);

/// A message on its way: a request or its answer.
#[derive(Clone)]
pub enum Message {
    Request(usize, u64, Duration, Call),
    Answer(usize, u64, Call, Answer),
}

/// A call to the platform on its way.
pub struct Step {
    pub router: usize,
    pub incarnation: u64,
    pub slot: Slot,
    pub step: SlotStep,
}

pub struct Router {
    pub ledger: Ledger,
    pub incarnation: u64,
    pub view: BTreeSet<usize>,
}

/// An attempt at one router that came in at another.
pub struct Attempt {
    pub key: AttemptKey,
    pub record: UsageRecord,
    pub owner: usize,
    pub incarnation: u64,
    pub entry: usize,
    pub holder: Option<usize>,
    pub running: bool,
}

pub struct World {
    pub now: Duration,
    pub routers: Vec<Router>,
    pub messages: Vec<Message>,
    pub steps: Vec<Step>,
    pub platform: BTreeMap<Slot, Reading>,
    pub attempts: Vec<Attempt>,
    pub may_be_lost: BTreeSet<usize>,
}

pub fn name(router: usize) -> Name {
    format!("router-{router}").into()
}

pub fn index(name: &str) -> usize {
    name["router-".len()..].parse().unwrap()
}

/// Returns a message as it arrives over a link.
pub fn recode<T: Serialize + DeserializeOwned>(message: &T) -> T {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    ciborium::from_reader(bytes.as_slice()).unwrap()
}

impl World {
    pub fn new() -> Self {
        let routers = (0..ROUTERS).map(|index| Router {
            ledger: Ledger::new(Source { router: name(index), incarnation: 1 }),
            incarnation: 1,
            view: (0..ROUTERS).collect(),
        });
        Self {
            now: Duration::from_secs(1),
            routers: routers.collect(),
            messages: Vec::new(),
            steps: Vec::new(),
            platform: BTreeMap::new(),
            attempts: Vec::new(),
            may_be_lost: BTreeSet::new(),
        }
    }

    pub fn wall_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// The fleet as one router sees it; odd and even routers stand in two zones.
    pub fn fleet(&self, me: usize) -> Fleet {
        let view = &self.routers[me].view;
        let members: Vec<usize> = view.iter().copied().collect();
        let owner = |shard: u8| members.get(usize::from(shard) % members.len().max(1));
        Fleet {
            partner: self.partner(me, me).map(name),
            owners: (0..SHARDS).map(|shard| owner(shard).map(|owner| name(*owner))).collect(),
            live: view.iter().map(|it| (name(*it), self.routers[*it].incarnation)).collect(),
        }
    }

    /// The holder of a router's copies as another one sees it.
    pub fn partner(&self, me: usize, of: usize) -> Option<usize> {
        let view = &self.routers[me].view;
        let elsewhere = |other: &&usize| **other % 2 != of % 2;
        let any = |other: &&usize| **other != of;
        view.iter().find(elsewhere).or_else(|| view.iter().find(any)).copied()
    }

    /// Starts an attempt, under a model of its own so that its row tells how often it counted.
    pub fn begin(&mut self, owner: usize, entry: usize) {
        let sequence = self.attempts.len() as u64;
        let record = UsageRecord {
            attempt: AttemptId { router: "entry".into(), incarnation: 1, sequence, attempt: 0 },
            workspace: WORKSPACES[self.attempts.len() % WORKSPACES.len()].into(),
            model: format!("model-{sequence}").into(),
            adapter: (sequence % 2 == 1).then(|| "ballads".into()),
            prompt_tokens: 100,
            cached_tokens: 50,
            output_tokens: 7 + sequence,
            outcome: UseOutcome::Finished,
            at_ms: self.wall_ms(),
        };
        self.attempts.push(Attempt {
            key: (&record.attempt).into(),
            record,
            owner,
            incarnation: self.routers[owner].incarnation,
            entry,
            holder: None,
            running: true,
        });
    }

    /// Ends a running attempt: its owner charges it unless it is dead, and its entry sees it.
    pub fn end(&mut self, index: usize, dead: Option<usize>) {
        let Attempt { key, owner, incarnation, entry, .. } = self.attempts[index];
        let record = self.attempts[index].record.clone();
        let now = self.now;
        self.attempts[index].running = false;
        if dead != Some(owner) {
            self.routers[owner].ledger.record(&record, now);
        }
        let holder = self.partner(entry, owner);
        let (Some(partner), true) = (holder, dead != Some(entry) && entry != owner) else {
            return;
        };
        self.attempts[index].holder = holder;
        assert_eq!(key, Charge::from(&record).attempt);
        self.routers[entry].ledger.see(Sighting {
            owner: Source { router: name(owner), incarnation },
            holder: name(partner),
            period: record.period(),
            charge: Charge::from(&record),
            heard_at: now,
            since: now,
        });
    }

    pub fn end_running(&mut self, dead: Option<usize>, ends: impl Fn(&Attempt) -> bool) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].running && ends(&self.attempts[index]) {
                self.end(index, dead);
            }
        }
    }

    /// Lets a router tell what the attempts used that only it sees.
    pub fn progress(&mut self, router: usize) {
        let alone = |it: &&Attempt| it.running && it.owner == router && it.entry == router;
        for attempt in self.attempts.iter().filter(alone) {
            self.routers[router].ledger.progress(&attempt.record);
        }
    }

    pub fn record(&mut self, owner: usize, entry: usize) {
        self.begin(owner, entry);
        self.end(self.attempts.len() - 1, None);
    }

    /// Records an attempt under the same workspace, model and adapter as another one.
    pub fn record_like(&mut self, like: usize, owner: usize, entry: usize) {
        self.begin(owner, entry);
        let index = self.attempts.len() - 1;
        let attempt = self.attempts[index].record.attempt.clone();
        let at_ms = self.wall_ms();
        let record = self.attempts[like].record.clone();
        self.attempts[index].record = UsageRecord { attempt, at_ms, ..record };
        self.end(index, None);
    }

    pub fn tick(&mut self, router: usize) {
        let (fleet, now, wall_ms) = (self.fleet(router), self.now, self.wall_ms());
        let incarnation = self.routers[router].incarnation;
        let calls = self.routers[router].ledger.calls(&fleet, now);
        for call in calls {
            // A link ends at a process: what was sent to one never reaches the next.
            let to_incarnation = self.routers[index(&call.to)].incarnation;
            self.messages.push(Message::Request(router, to_incarnation, now, call));
        }
        for (slot, step) in self.routers[router].ledger.steps(&fleet, now, wall_ms) {
            self.steps.push(Step { router, incarnation, slot, step });
        }
    }

    /// Delivers a message; `fate` says whether it or its answer is lost, or it is repeated.
    pub fn deliver(&mut self, position: usize, fate: u8) {
        if self.messages.is_empty() {
            return;
        }
        let position = position % self.messages.len();
        let message = self.messages.swap_remove(position);
        let now = self.now;
        match message {
            Message::Request(from, to_incarnation, since, call) => {
                let to = index(&call.to);
                let incarnation = self.routers[from].incarnation;
                let late = now > since + LONGEST_WAY;
                if fate == 1 || late || self.routers[to].incarnation != to_incarnation {
                    self.routers[from].ledger.answered(call, None, now);
                    return;
                }
                if fate == 2 {
                    let again = Message::Request(from, to_incarnation, since, call.clone());
                    self.messages.push(again);
                }
                let sent = recode(&call.request.clone().without(&name(from)));
                let answer = self.routers[to].ledger.serve(sent.with(&name(from)), now);
                self.messages.push(Message::Answer(from, incarnation, call, answer));
            }
            Message::Answer(to, incarnation, call, answer) => {
                let router = &mut self.routers[to];
                if router.incarnation == incarnation {
                    let answer = (fate != 1).then(|| recode(&answer));
                    router.ledger.answered(call, answer, now);
                }
            }
        }
    }

    /// Runs a platform call; `fate` 1 loses it, 2 loses its answer.
    pub fn platform_step(&mut self, position: usize, fate: u8) {
        if self.steps.is_empty() {
            return;
        }
        let position = position % self.steps.len();
        let Step { router, incarnation, slot, step } = self.steps.swap_remove(position);
        let current = self.platform.get(&slot).cloned().unwrap_or_default();
        let wall_ms = self.wall_ms();
        let outcome = match step {
            SlotStep::Write(write) if fate != 1 => {
                if write.expected_revision == current.revision {
                    let revision = current.revision + 1;
                    self.platform.insert(slot, Reading { tally: write.tally, revision });
                    Some(WriteOutcome::Written(revision))
                } else {
                    Some(WriteOutcome::Conflict(current.clone()))
                }
            }
            SlotStep::Write(_) => Some(WriteOutcome::Unknown),
            SlotStep::Read => None,
        };
        let router = &mut self.routers[router];
        if router.incarnation != incarnation {
            return;
        }
        match outcome {
            Some(_) if fate != 0 => {
                router.ledger.write_done(slot, WriteOutcome::Unknown, wall_ms);
            }
            Some(outcome) => router.ledger.write_done(slot, outcome, wall_ms),
            None => router.ledger.read_done(slot, (fate == 0).then_some(current), wall_ms),
        }
    }

    /// Returns how often the platform counts a record.
    pub fn count(&self, index: usize) -> u64 {
        let record = &self.attempts[index].record;
        let slot = Slot::of(record.period(), &record.workspace);
        let tally: Option<&Tally> = self.platform.get(&slot).map(|reading| &reading.tally);
        let sum = tally.and_then(|tally| tally.rows.get(&record.key()));
        sum.map_or(0, |sum| {
            assert_eq!(sum.output_tokens, sum.attempts * record.output_tokens);
            sum.attempts
        })
    }
}
