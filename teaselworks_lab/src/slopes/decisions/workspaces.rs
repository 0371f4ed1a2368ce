//! Keys, limits and use, by the number of workspaces.

use std::time::Duration;

use teaselworks_config::configuration::key::{KeyDigest, KeyIndex};
use teaselworks_config::configuration::{Budget, Configuration, Workspace, WorkspaceLimits};
use teaselworks_policy::admission::limits::{Limits, Permit, Work, WorkspaceLimiter};
use teaselworks_policy::admission::open::OpenShare;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::usage::{Fleet, Ledger, Request, SHARDS, Source, UsageRecord, UseOutcome};
use teaselworks_wire::codec;

use super::meter::{resident_bytes, time_ns};
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

/// Workspaces of the configuration.
pub const WORKSPACES: &[usize] = &[1_000, 6_000, 18_000, 36_000];
/// Use records that a source holds at once.
pub const RECORDS: &[usize] = &[60, 120, 180, 240];
const CALLS: usize = 20_000;
const COPIES: usize = 8;
const LEDGERS: usize = 400;
const NOW: Duration = Duration::from_secs(1);
/// Limits that no call here reaches.
const LIMITS: Limits = Limits {
    requests_per_s: Some(1e9),
    tokens_per_s: Some(1e12),
    concurrent_requests: Some(1_000_000),
    share: 0.5,
    owner_reachable: true,
    owner: 1,
    open: OpenShare::NONE,
};
const WORK: Work = Work { tokens: 500, deadline_left: Duration::from_secs(30) };
/// Reading of the clock at which the records' batch has been closed.
const LATER: Duration = Duration::from_secs(10);

/// Measures every size.
pub fn measure(points: &mut Collector) {
    for &workspaces in WORKSPACES {
        let size = workspaces as f64;
        let configuration = configuration(workspaces);
        let encoded_mb = configuration.encode().len() as f64 / 1e6;
        points.add(SlopeName::ConfigurationSize, size, encoded_mb);
        let index = KeyIndex::new(&configuration);
        let keys: Vec<String> = (0..workspaces).map(|number| format!("key-{number}")).collect();
        let find_ns = time_ns(CALLS, |call| index.find(&keys[call * 7 % keys.len()]));
        points.add(SlopeName::KeyTime, size, find_ns);
        measure_limiter(workspaces, points);
    }
    for &records in RECORDS {
        measure_use(records, points);
    }
}

fn workspace_name(number: usize) -> String {
    format!("workspace-{number:05}")
}

fn configuration(workspaces: usize) -> Configuration {
    let mut configuration = Configuration::default();
    for number in 0..workspaces {
        let workspace = Workspace {
            key_digests: vec![KeyDigest::of(&format!("key-{number}"))],
            models: vec!["model-0".into()],
            weight: 1 + number as u32 % 7,
            limits: WorkspaceLimits {
                requests_per_s: Some(20.0),
                tokens_per_s: Some(5_000.0),
                concurrent_requests: Some(64),
            },
            budget: Some(Budget { tokens: 100_000_000, period_ms: 2_592_000_000 }),
            ..Workspace::default()
        };
        configuration.workspaces.insert(workspace_name(number).into(), workspace.into());
    }
    configuration
}

/// Returns the memory of the index of keys.
pub fn keys_mb(workspaces: usize) -> f64 {
    let configuration = configuration(workspaces);
    resident_bytes(COPIES, || KeyIndex::new(&configuration)) / 1e6
}

/// Returns the memory of a configuration.
pub fn configuration_mb(workspaces: usize) -> f64 {
    let encoded = configuration(workspaces).encode();
    resident_bytes(COPIES, || Configuration::decode(&encoded).expect("just encoded")) / 1e6
}

/// Returns the memory of a limiter that holds a permit of each workspace.
pub fn limiter_mb(workspaces: usize) -> f64 {
    let names = names(workspaces);
    resident_bytes(COPIES, || limiter(&names)) / 1e6
}

/// Returns the memory of a source that holds so many records.
pub fn use_kb(records: usize) -> f64 {
    resident_bytes(LEDGERS, || ledger(records)) / 1e3
}

fn names(workspaces: usize) -> Vec<Name> {
    (0..workspaces).map(|number| workspace_name(number).into()).collect()
}

/// Makes a limiter, and a permit of each workspace.
fn limiter(names: &[Name]) -> (WorkspaceLimiter, Vec<Permit>) {
    let mut limiter = WorkspaceLimiter::new(7);
    let mut permits = Vec::new();
    for name in names {
        permits.extend(limiter.try_take(NOW, name, &LIMITS, WORK).ok());
    }
    (limiter, permits)
}

fn measure_limiter(workspaces: usize, points: &mut Collector) {
    let names = names(workspaces);
    let (mut limiter, _permits) = limiter(&names);
    let take_ns = time_ns(CALLS, |call| {
        let name = &names[call * 7 % names.len()];
        let permit = limiter.try_take(NOW, name, &LIMITS, WORK).ok()?;
        limiter.release(NOW, permit)
    });
    points.add(SlopeName::LimiterTime, workspaces as f64, take_ns);
}

/// Measures a source that holds so many records, and the message by which it copies them.
fn measure_use(records: usize, points: &mut Collector) {
    let size = records as f64;
    let record_ns = time_ns(200, |_| ledger(records)) / size;
    points.add(SlopeName::UseTime, size, record_ns);
    let fleet = Fleet {
        partner: Some("router-001".into()),
        owners: vec![None; usize::from(SHARDS)],
        live: (0..410).map(|number| (format!("router-{number:03}").into(), 1)).collect(),
    };
    let mut copied_bytes = 0;
    for call in ledger(records).calls(&fleet, LATER) {
        if matches!(call.request, Request::Copy(_)) {
            copied_bytes = codec::encode(&call.request).map_or(0, |bytes| bytes.len());
        }
    }
    points.add(SlopeName::UseMessage, size, copied_bytes as f64);
}

fn ledger(records: usize) -> Ledger {
    let source = Source { router: "router-000".into(), incarnation: 1_790_000_000_000 };
    let mut ledger = Ledger::new(source);
    for number in 0..records {
        ledger.record(&record(number), Duration::from_secs(1));
    }
    ledger
}

/// Makes the record of an attempt.
pub fn record(number: usize) -> UsageRecord {
    let attempt = AttemptId {
        router: "router-000".into(),
        incarnation: 1_790_000_000_000,
        sequence: number as u64,
        attempt: 0,
    };
    UsageRecord {
        attempt,
        workspace: workspace_name(number * 31 % 18_000).into(),
        model: "model-0".into(),
        adapter: None,
        prompt_tokens: 1_200,
        cached_tokens: 900,
        output_tokens: 255,
        outcome: UseOutcome::Finished,
        at_ms: 1_790_000_000_000,
    }
}
