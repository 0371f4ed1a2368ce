//! Measures the time to place one request with a prompt among 18 and among 800 replicas.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use teaselworks_policy::placement::{
    PlacementRequest, PlacementSettings, Prompt, PromptPart, place,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::upstream::{Pool, Upstream};

fn pool(replicas: u32) -> Pool {
    let mut pool = Pool::default();
    for number in 0..replicas {
        pool.put(Upstream { slots: 48, ..Upstream::example(&format!("i-{number}"), "chat") });
    }
    pool
}

fn placement(criterion: &mut Criterion) {
    let settings = PlacementSettings { load_factor: 2.0, routers: 8 };
    let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    let prompt = Prompt { parts, input_tokens: 300, output_tokens: 100, output_hint: None };
    let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    for replicas in [18, 800] {
        let pool = pool(replicas);
        let request = PlacementRequest {
            prompt: Some(&prompt),
            zone: "a",
            tried: &[],
            version: None,
            begins_stream: false,
            remaining: Duration::from_secs(10),
            max_retry_after: Duration::from_secs(3),
            has_started: false,
            is_late: false,
            class: None,
            admission: Admission::Normal,
        };
        criterion.bench_function(&format!("placement of a prompt, {replicas} replicas"), |bench| {
            bench.iter(|| {
                black_box(place(&pool, Duration::ZERO, black_box(&request), &settings, &mut random))
            })
        });
    }
}

criterion_group!(benches, placement);
criterion_main!(benches);
