//! What the counting of use costs a router at the size of 410 routers, in bytes that are encoded.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_policy::budget::{BudgetAsk, BudgetGrant, BudgetLimit};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::usage::{
    Charge, Fleet, Ledger, Mark, Reading, Request, SHARDS, Slot, SlotStep, Source, Tally,
    UsageRecord, UseKey, UseOutcome, UseSum, WriteOutcome,
};
use teaselworks_wire::codec;

const ROUTERS: usize = 410;
const WORKSPACES: usize = 18_000;
const MODELS: usize = 4;
const RECORDS_PER_S: u64 = 24;
const TIME_S: u64 = 1_200;

fn router(number: usize) -> Name {
    format!("sfax-a-{number:03}").into()
}

/// Draws workspaces with a Zipf share.
struct Workspaces {
    sums: Vec<f64>,
}

impl Workspaces {
    fn new() -> Self {
        let mut sum = 0.0;
        let weights = (1..=WORKSPACES).map(|rank| 1.0 / rank as f64);
        let sums = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self { sums: sums.collect() }
    }

    fn draw(&self, random: &mut Pcg64) -> usize {
        let at = random.random_range(0.0..self.sums[WORKSPACES - 1]);
        self.sums.partition_point(|sum| *sum < at)
    }
}

fn record(sequence: u64, at_ms: u64, workspaces: &Workspaces, random: &mut Pcg64) -> UsageRecord {
    let entry = router(random.random_range(0..ROUTERS));
    UsageRecord {
        attempt: AttemptId { router: entry, incarnation: 1, sequence, attempt: 0 },
        workspace: format!("workspace-{:05}", workspaces.draw(random)).into(),
        model: format!("model-{}", random.random_range(0..MODELS)).into(),
        adapter: None,
        prompt_tokens: random.random_range(100..4_000),
        cached_tokens: random.random_range(0..100),
        output_tokens: random.random_range(10..1_000),
        outcome: UseOutcome::Finished,
        at_ms,
    }
}

/// Returns a slot's value as it is some hours into a month: with rows of every workspace.
fn value(slot: Slot) -> Reading {
    let mut tally = Tally::default();
    for number in 0..WORKSPACES {
        let workspace: Name = format!("workspace-{number:05}").into();
        if Slot::of(slot.period, &workspace) != slot {
            continue;
        }
        for model in 0..MODELS {
            let model = format!("model-{model}").into();
            let key = UseKey { workspace: workspace.clone(), model, adapter: None };
            tally.rows.insert(key, UseSum::default());
        }
    }
    Reading { tally, revision: 1 }
}

// The figures stand in docs/design/usage.md; the limits here are a fifth above them.
#[test]
fn a_record_costs_few_bytes_between_routers() {
    let (mut random, workspaces) = (Pcg64::seed_from_u64(1), Workspaces::new());
    let fleet = Fleet {
        partner: Some(router(1)),
        owners: (0..SHARDS).map(|_| Some(router(random.random_range(0..ROUTERS)))).collect(),
        live: (0..ROUTERS).map(|number| (router(number), 1)).collect(),
    };
    let mut source = Ledger::new(Source { router: router(0), incarnation: 1 });
    let mut others = Ledger::new(Source { router: router(1), incarnation: 1 });
    let mut bytes: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    let mut sequence = 0;
    for quarter in 0..TIME_S * 4 {
        let now = Duration::from_millis(250 * quarter);
        for _ in 0..RECORDS_PER_S / 4 {
            sequence += 1;
            source.record(&record(sequence, 0, &workspaces, &mut random), now);
        }
        for call in source.calls(&fleet, now) {
            let kind = match &call.request {
                Request::Copy(_) => "copy",
                Request::Offer(_) => "offer",
                Request::Claim(_) => "claim",
            };
            let answer = others.serve(call.request.clone(), now);
            let sent = call.request.clone().without(&router(0));
            let request_bytes = codec::encode(&sent).unwrap().len();
            let size_bytes = request_bytes + codec::encode(&answer).unwrap().len();
            let sum = bytes.entry(kind).or_default();
            *sum = (sum.0 + 1, sum.1 + size_bytes);
            source.answered(call, Some(answer), now);
        }
        for (slot, step) in others.steps(&fleet, now, 0) {
            match step {
                SlotStep::Read => others.read_done(slot, Some(value(slot)), 0),
                SlotStep::Write(write) => {
                    let outcome = WriteOutcome::Written(write.expected_revision + 1);
                    others.write_done(slot, outcome, 0);
                }
            }
        }
    }
    let mut total = 0;
    for (kind, (messages, size_bytes)) in &bytes {
        let per_record = *size_bytes as f64 / sequence as f64;
        let per_s = *messages as f64 / TIME_S as f64;
        println!("{kind}: {per_record:.1} bytes a record, {per_s:.2} messages a second");
        total += size_bytes;
    }
    let per_record = total as f64 / sequence as f64;
    println!("all: {per_record:.1} bytes a record, {:.0} bytes/s", total as f64 / TIME_S as f64);
    println!("held: {:?} charges", source.held_charges());
    assert!(per_record < 43.0, "{per_record} bytes a record");
}

#[test]
fn a_value_stays_far_below_a_megabyte() {
    let mut tally = Tally::default();
    let slot = Slot::of(UsageRecord::period(&sample()), "workspace-00000");
    for workspace in 0..WORKSPACES {
        let workspace: Name = format!("workspace-{workspace:05}").into();
        if Slot::of(slot.period, &workspace) != slot {
            continue;
        }
        for model in 0..MODELS {
            for adapter in [None, Some(format!("adapter-of-{workspace}").into())] {
                let model = format!("model-{model}").into();
                let key = UseKey { workspace: workspace.clone(), model, adapter };
                let sum = UseSum {
                    attempts: 100_000,
                    prompt_tokens: 1 << 36,
                    cached_tokens: 1 << 35,
                    output_tokens: 1 << 34,
                };
                tally.rows.insert(key, sum);
            }
        }
    }
    // A month with 102 starts of routers a day, of which marks are kept for three days.
    for number in 0..ROUTERS + 306 {
        let source = Source { router: router(number % ROUTERS), incarnation: 1 << 40 };
        let source = Source { incarnation: source.incarnation + number as u64, ..source };
        tally.marks.insert(source, Mark { through: 1 << 20, at_ms: 1 << 40 });
    }
    let size_bytes = codec::encode(&tally).unwrap().len();
    println!("{} rows, {} marks: {size_bytes} bytes", tally.rows.len(), tally.marks.len());
    assert!(size_bytes < 100_000, "{size_bytes} bytes");
    assert_eq!(codec::decode::<Tally>(&codec::encode(&tally).unwrap()).unwrap(), tally);
}

#[test]
fn a_budgets_message_costs_few_bytes() {
    let limit = BudgetLimit { tokens: 100_000_000, period_ms: 86_400_000 };
    let ask = BudgetAsk {
        workspace: "workspace-01234".into(),
        period: limit.period_at(1 << 40),
        budget_tokens: limit.tokens,
        need_tokens: 4_000,
        ahead_tokens: 30_000,
        returned_tokens: 0,
        used_tokens: 30_000,
    };
    let request_bytes = codec::encode(&ask).unwrap().len();
    let answer_bytes = codec::encode(&BudgetGrant::Granted(34_000)).unwrap().len();
    println!("{request_bytes} bytes asked, {answer_bytes} answered");
    assert!(request_bytes + answer_bytes < 80);
}

fn sample() -> UsageRecord {
    let (mut random, workspaces) = (Pcg64::seed_from_u64(1), Workspaces::new());
    let record = record(1, 0, &workspaces, &mut random);
    assert!(!Charge::from(&record).contested);
    record
}
