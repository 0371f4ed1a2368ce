//! The counting of use in a fleet of full size: messages of one source, by its rate of requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{
    Call, Fleet, Ledger, Reading, SHARDS, Slot, SlotStep, Source, Tally, UsageRecord, UseSum,
    WriteOutcome,
};
use teaselworks_wire::codec;
use teaselworks_wire::frame::{CallKey, Frame};
use teaselworks_wire::message::Purpose;

use super::workspaces::record;
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

const ROUTERS: usize = 410;
/// Requests a second at one router.
pub const RATES: [usize; 4] = [6, 12, 24, 48];
/// Workspaces of the fleet; the share of each falls as one over its rank.
const WORKSPACES: usize = 18_000;
/// Time between two looks at what is due, as the service has it.
const TICK: Duration = Duration::from_millis(250);
const TICKS_PER_S: usize = 4;
/// Time before counting begins, and time counted: routers live for days, and at the rate expected
/// names are numbered anew about as often.
const WARM_S: usize = 1_200;
const COUNTED_S: usize = 2_400;
/// Bytes that WebSocket adds to a frame: a header, and a mask in one of two directions.
const WEBSOCKET_SIZE_BYTES: usize = 4;
/// Number of a message on its link, as it is after some hours.
const CALL: u32 = 100_000;
/// Wall clock of the records, in milliseconds.
const WALL_MS: u64 = 1_790_000_000_000;

/// A source, and one ledger that stands for all the routers it calls.
struct World {
    source: Ledger,
    others: Ledger,
    fleet: Fleet,
    random: Pcg64,
    records: usize,
    ticks: u32,
    revision: u64,
    sent_bytes: usize,
}

/// Measures every rate.
pub fn measure(points: &mut Collector) {
    for rate in RATES {
        let mut world = World::new();
        for _ in 0..WARM_S * TICKS_PER_S {
            world.tick(rate);
        }
        world.sent_bytes = 0;
        for _ in 0..COUNTED_S * TICKS_PER_S {
            world.tick(rate);
        }
        let size = rate as f64;
        // What this router asks others, it is also asked: requests and answers both count twice.
        let bytes_per_s = 2.0 * world.sent_bytes as f64 / COUNTED_S as f64;
        points.add(SlopeName::UseTraffic, size, bytes_per_s);
        points.add(SlopeName::UseHeld, size, world.source.held_charges().0 as f64);
    }
}

impl World {
    fn new() -> Self {
        let source = Source { router: "router-000".into(), incarnation: WALL_MS };
        let others = Source { router: "router-001".into(), incarnation: WALL_MS };
        let router = |number: usize| -> Name { format!("router-{number:03}").into() };
        let fleet = Fleet {
            partner: Some("router-001".into()),
            owners: (1..=SHARDS).map(|shard| Some(router(shard.into()))).collect(),
            live: (0..ROUTERS).map(|number| (router(number), WALL_MS)).collect(),
        };
        Self {
            source: Ledger::new(source),
            others: Ledger::new(others),
            fleet,
            random: Pcg64::seed_from_u64(7),
            records: 0,
            ticks: 0,
            revision: 0,
            sent_bytes: 0,
        }
    }

    fn tick(&mut self, rate: usize) {
        self.ticks += 1;
        let now = TICK * self.ticks;
        while self.records < rate * self.ticks as usize / TICKS_PER_S {
            self.record(now);
        }
        for call in self.source.calls(&self.fleet, now) {
            self.send(call, now);
        }
        self.serve_platform(now);
    }

    /// Records an attempt of a workspace drawn by its share of the requests.
    fn record(&mut self, now: Duration) {
        let mut used = record(self.records);
        used.workspace = drawn_workspace(self.random.random());
        self.source.record(&used, now);
        self.records += 1;
    }

    fn send(&mut self, call: Call, now: Duration) {
        let answer = self.others.serve(call.request.clone(), now);
        let sent = call.request.clone().without(&"router-000".into());
        self.sent_bytes += size_bytes(Purpose::Usage, &sent);
        self.sent_bytes += size_bytes(Purpose::Usage, &answer);
        self.source.answered(call, Some(answer), now);
    }

    /// Reads and writes what the owners ask of the platform, at once.
    fn serve_platform(&mut self, now: Duration) {
        for (slot, step) in self.others.steps(&self.fleet, now, WALL_MS) {
            match step {
                SlotStep::Read => {
                    self.others.read_done(slot, Some(value(slot)), WALL_MS);
                }
                SlotStep::Write(_) => {
                    self.revision += 1;
                    let outcome = WriteOutcome::Written(self.revision);
                    self.others.write_done(slot, outcome, WALL_MS);
                }
            }
        }
    }
}

/// Returns a workspace by its share of the requests, given a random number from 0 to 1.
pub fn drawn_workspace(draw: f64) -> Name {
    workspace((WORKSPACES as f64).powf(draw) as usize)
}

fn workspace(rank: usize) -> Name {
    format!("workspace-{rank:05}").into()
}

/// Returns a slot's value as it is some hours into a month: with a row of each of its workspaces.
fn value(slot: Slot) -> Reading {
    let mut tally = Tally::default();
    for workspace in (1..=WORKSPACES).map(workspace) {
        if Slot::of(slot.period, &workspace) == slot {
            let key = UsageRecord { workspace, ..record(0) }.key();
            tally.rows.insert(key, UseSum::default());
        }
    }
    Reading { tally, revision: 1 }
}

/// Returns the size of a control message on a link, with the frame around it.
pub fn size_bytes(purpose: Purpose, message: &impl Serialize) -> usize {
    let key = CallKey { call: CALL, purpose };
    let bytes = codec::encode(message).unwrap_or_default();
    let frame = Frame::Call { key, last: true, bytes };
    codec::encode(&frame).map_or(0, |bytes| bytes.len() + WEBSOCKET_SIZE_BYTES)
}
