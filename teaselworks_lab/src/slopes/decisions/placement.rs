//! The choice of a replica, what owners keep of each, and the spread of very many chats.

use std::hint::black_box;
use std::time::{Duration, Instant};

use teaselworks_policy::load::{LoadSample, LoadTable};
use teaselworks_policy::membership::{View, owner_of};
use teaselworks_policy::placement::{
    ChatKey, Holdings, Phase, PlacementRequest, PrefixBlock, Replica, ReplicaIndex, ReplicaTable,
    Search, rank,
};

use super::membership::{infos, place};
use super::meter::{resident_bytes, time_ns};
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

/// Replicas of one model; the fleet of 800 has 200 of each of its four.
pub const REPLICAS: &[usize] = &[50, 100, 200, 400];
const MODELS: usize = 4;
const TABLES: usize = 60;
const SEARCHES: usize = 20_000;
/// Chats that may return.
const CHATS: [usize; 3] = [1_300_000, 4_000_000, 13_000_000];
/// Chats of one series; the quickest counts for the time.
const SERIES_CHATS: usize = 100_000;
/// Replicas among which the chats are spread.
const FLEET_REPLICAS: usize = 800;
/// Replicas whose estimates one router holds.
pub const HELD: &[usize] = &[2, 8, 32];
/// Prefixes that an owner keeps of one replica.
const PREFIXES: usize = 65_536;
/// Workspaces whose owners are counted.
const WORKSPACES: [usize; 3] = [6_000, 12_000, 18_000];
const ROUTERS: usize = 410;

/// Measures searches, holdings and the spread of chats and workspaces.
pub fn measure(points: &mut Collector) {
    for &replicas in REPLICAS {
        let size = replicas as f64;
        let (table, loads) = tables(replicas * MODELS);
        let search_ns = time_ns(SEARCHES, |number| {
            let mut search =
                Search::new(&request(number, "model-0"), &table, &loads, Duration::ZERO);
            search.next_ask()
        });
        points.add(SlopeName::SearchTime, size, search_ns);
    }
    measure_holdings(points);
    measure_chats(points);
    measure_workspaces(points);
}

fn tables(replicas: usize) -> (ReplicaTable, LoadTable) {
    let (mut table, mut loads) = (ReplicaTable::default(), LoadTable::default());
    for number in 0..replicas {
        let place = place(number);
        let serves = format!("model-{}", number % MODELS);
        let name = format!("engine-{number:04}");
        let index = table.upsert(Replica::new(name, place.region, place.zone, serves.clone()));
        let sample = LoadSample { load_tokens: 9_000, mean_tokens: 8_000.0, mean_weight: 3.0 };
        loads.observe(index, &serves.into(), sample, Duration::ZERO);
    }
    (table, loads)
}

fn request(number: usize, serves: &str) -> PlacementRequest<'_> {
    PlacementRequest {
        workspace: "workspace-00001",
        key: key(number),
        serves,
        version: None,
        adapter: None,
        phase: Phase::Whole,
        region: "region-0",
        zone: "zone-1",
        prompt_tokens: 1_200,
        reuse_tokens: 900,
        holder: None,
        draw: number as u64,
    }
}

/// Returns the key of one of very many chats, without the cost of making up its name.
fn key(number: usize) -> ChatKey {
    let bytes = number.to_le_bytes().map(|byte| char::from(b'a' + byte % 26));
    let mut buffer = [0; 8];
    for (target, letter) in buffer.iter_mut().zip(bytes) {
        *target = letter as u8;
    }
    let mixed = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let text = std::str::from_utf8(&buffer).expect("letters are text");
    ChatKey(ChatKey::of_conversation("workspace-00001", text).0 ^ mixed)
}

fn measure_holdings(points: &mut Collector) {
    for &replicas in HELD {
        let held = held(replicas);
        let held_ns = time_ns(SEARCHES, |number| {
            held[number % held.len()].expected_tokens(&chain(number as u64), Duration::ZERO)
        });
        points.add(SlopeName::HoldingsTime, replicas as f64, held_ns);
    }
}

/// Returns the memory of the tables of replicas and loads, `replicas` for each model.
pub fn tables_kb(replicas: usize) -> f64 {
    resident_bytes(TABLES, || tables(replicas * MODELS)) / 1e3
}

/// Returns the memory of the estimates of an owner's replicas.
pub fn holdings_mb(replicas: usize) -> f64 {
    resident_bytes(2, || held(replicas)) / 1e6
}

fn held(replicas: usize) -> Vec<Holdings> {
    (0..replicas).map(|replica| filled(replica as u64)).collect()
}

fn filled(seed: u64) -> Holdings {
    let mut holdings = Holdings::new(PREFIXES);
    for number in 0..PREFIXES as u64 {
        holdings.store(&chain(seed << 32 | number), Duration::ZERO);
    }
    holdings
}

/// Returns the prefixes of a chat of four turns.
fn chain(seed: u64) -> [PrefixBlock; 8] {
    let mut hash = seed.wrapping_add(1);
    let mut tokens = 0;
    [(); 8].map(|()| {
        hash = (hash ^ hash >> 31).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        tokens += 150;
        PrefixBlock { hash, tokens }
    })
}

/// Places every chat at its first home: the time of one, and how many more than the mean come to
/// the replica that gets most.
fn measure_chats(points: &mut Collector) {
    let (table, loads) = tables(FLEET_REPLICAS);
    let models: Vec<String> = (0..MODELS).map(|model| format!("model-{model}")).collect();
    let (mut homes, mut fallbacks) = (Vec::new(), Vec::new());
    for chats in CHATS {
        let mut counts = vec![0_u64; FLEET_REPLICAS];
        let mut least_ns = f64::MAX;
        for series in 0..chats / SERIES_CHATS {
            let start = Instant::now();
            for number in series * SERIES_CHATS..(series + 1) * SERIES_CHATS {
                let request = request(number, &models[number % MODELS]);
                rank(&request, &table, &loads, &mut homes, &mut fallbacks);
                if let Some(ReplicaIndex(home)) = homes.first() {
                    counts[*home as usize] += 1;
                }
            }
            let each_ns = start.elapsed().as_nanos() as f64 / SERIES_CHATS as f64;
            least_ns = least_ns.min(each_ns);
        }
        points.add(SlopeName::ChatTime, chats as f64, least_ns);
        points.add(SlopeName::ChatSpread, chats as f64, most_over_mean(&counts));
        black_box(counts);
    }
}

/// Counts the workspaces that each router owns.
fn measure_workspaces(points: &mut Collector) {
    let view = View::new(1, infos(ROUTERS));
    for workspaces in WORKSPACES {
        let mut counts = vec![0_u64; ROUTERS];
        for number in 0..workspaces {
            let name = format!("workspace-{number:05}");
            let owner = owner_of(&view, &name, None).expect("routers own");
            counts[(owner.incarnation % 1_000) as usize] += 1;
        }
        points.add(SlopeName::WorkspaceSpread, workspaces as f64, most_over_mean(&counts));
    }
}

/// Returns the highest count as a multiple of the mean of those that are not zero.
fn most_over_mean(counts: &[u64]) -> f64 {
    let used = counts.iter().filter(|count| **count > 0).count();
    let most = counts.iter().max().copied().unwrap_or_default();
    most as f64 * used as f64 / counts.iter().sum::<u64>() as f64
}
