//! Prints what a configuration of very many workspaces costs in bytes, memory and time.
//!
//! One process makes it and another measures, whose memory then holds nothing else:
//!
//! ```text
//! cargo build --release -p teaselworks_config --example configuration_size
//! cd target/release/examples && ./configuration_size 18000 | ./configuration_size
//! ```

use std::fs;
use std::io::{self, Read, Write};
use std::time::Instant;

use serde_json::json;
use teaselworks_config::configuration::chunk::{CHUNK_SIZE_BYTES, split};
use teaselworks_config::configuration::key::{KeyDigest, KeyIndex};
use teaselworks_config::configuration::{Budget, Configuration, Workspace, WorkspaceLimits, patch};

const MODELS: usize = 4;
const REPLICAS: usize = 800;
const COPIES: usize = 6;
const SEARCHES: usize = 10_000;

fn main() {
    let Some(workspaces) = std::env::args().nth(1) else { return measure() };
    let workspaces = workspaces.parse().expect("a number of workspaces");
    io::stdout().write_all(&sample(workspaces).encode()).expect("a reader");
}

fn measure() {
    let mut encoded = Vec::new();
    io::stdin().read_to_end(&mut encoded).expect("a configuration on standard input");
    let start_kib = status_kib("VmRSS:");
    let (manifest, chunks) = split(1, &encoded, CHUNK_SIZE_BYTES);
    println!(
        "encoded                    {} KiB, {} chunks",
        manifest.size_bytes >> 10,
        chunks.len()
    );

    let begin = Instant::now();
    let configuration = Configuration::decode_chunks(&manifest, &chunks).unwrap();
    println!("decode                     {:?}", begin.elapsed());
    drop(chunks);
    let held_kib = status_kib("VmRSS:");
    println!("workspaces                 {}", configuration.workspaces.len());
    println!("resident, configuration    {} KiB", held_kib - start_kib);

    let begin = Instant::now();
    let index = KeyIndex::new(&configuration);
    println!("index keys                 {:?}", begin.elapsed());
    let indexed_kib = status_kib("VmRSS:");
    println!("resident, key index        {} KiB", indexed_kib - held_kib);
    let begin = Instant::now();
    for number in 0..SEARCHES {
        let key = format!("key-{}", number % configuration.workspaces.len());
        assert!(index.find(&key).is_some());
    }
    println!("find a key                 {:?}", begin.elapsed() / SEARCHES as u32);

    let change = json!({ "workspaces": { "workspace-00007": { "weight": 3 } } });
    let begin = Instant::now();
    let patched = patch::apply(&configuration, &change).unwrap();
    println!("patch and validate         {:?}", begin.elapsed());
    let begin = Instant::now();
    patch::adopt(&configuration, &change).unwrap();
    println!("patch, accepted already    {:?}", begin.elapsed());
    let both_kib = status_kib("VmRSS:");
    println!("resident, second version   {} KiB", both_kib.saturating_sub(indexed_kib));
    println!("resident, peak of all      {} KiB", status_kib("VmHWM:") - start_kib);

    // The first copies fill what reading left free; the last ones show what a copy itself takes.
    let mut copies = Vec::new();
    let mut before_kib = 0;
    for _ in 0..COPIES {
        before_kib = status_kib("VmRSS:");
        copies.push(Configuration::decode(&encoded).unwrap());
    }
    println!("resident, a further copy   {} KiB", status_kib("VmRSS:") - before_kib);
    drop((configuration, patched, copies));
}

fn sample(workspaces: usize) -> Configuration {
    let mut configuration = Configuration::default();
    let mut models = serde_json::Map::new();
    for model in 0..MODELS {
        models.insert(format!("model-{model}"), json!({ "version": "1", "serving_replicas": 2 }));
    }
    let mut upstreams = serde_json::Map::new();
    for replica in 0..REPLICAS {
        let upstream = json!({
            "kind": "engine",
            "serves": format!("model-{}", replica % MODELS),
            "url": format!("http://10.0.{}.{}:8000", replica / 250, replica % 250),
            "region": format!("region-{}", replica % 2),
            "zone": format!("zone-{}", replica % 7),
        });
        upstreams.insert(format!("engine-{replica:03}"), upstream);
    }
    let fleet = json!({ "models": models, "upstreams": upstreams });
    configuration = patch::apply(&configuration, &fleet).unwrap().configuration;
    for number in 0..workspaces {
        let workspace = Workspace {
            key_digests: vec![KeyDigest::of(&format!("key-{number}"))],
            models: vec!["model-0".into(), format!("model-{}", 1 + number % (MODELS - 1)).into()],
            weight: 1 + number as u32 % 7,
            limits: WorkspaceLimits {
                requests_per_s: Some(20.0),
                tokens_per_s: Some(5_000.0),
                concurrent_requests: Some(64),
            },
            budget: Some(Budget { tokens: 100_000_000, period_ms: 2_592_000_000 }),
            ..Workspace::default()
        };
        let name = format!("workspace-{number:05}");
        configuration.workspaces.insert(name.into(), workspace.into());
    }
    configuration
}

fn status_kib(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a Linux process");
    let line = status.lines().find(|line| line.starts_with(field)).expect("the field");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}
