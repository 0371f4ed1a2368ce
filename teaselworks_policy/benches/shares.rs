//! Measures the time to record and decide on one request, with a plan that is fresh and with one
//! that is made anew, and the time to plan 64 and 18,000 workspaces.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use teaselworks_policy::demand::Demand;
use teaselworks_policy::shares::{
    Class, OfferedRow, RankLoad, Shares, SharesSettings, Totals, WorkspaceKey, plan,
};

const CAPACITY: f64 = 2_160.0;

fn rows(workspaces: u32) -> Vec<OfferedRow> {
    let usual = CAPACITY / f64::from(workspaces);
    let ranks = |growth: f64| {
        let load = |rank| RankLoad { rank, new: growth * usual, returning: 0.1 * usual };
        [0, 1, 2].map(load).to_vec()
    };
    let row = |number: u32| OfferedRow {
        workspace: WorkspaceKey::of(&format!("team-{number}")),
        usual,
        ranks: ranks(f64::from(1 + number % 10)),
    };
    (0..workspaces).map(row).collect()
}

fn shares(criterion: &mut Criterion) {
    let service: Arc<str> = "chat".into();
    let demand = Demand { slot_time: Duration::from_millis(900) };
    let classes: Vec<Class> = (0..192)
        .map(|number| Class {
            rank: number % 3,
            workspace: Some(format!("team-{}", number / 3).into()),
        })
        .collect();
    for (name, interval) in [("fresh plan", 0), ("new plan", 100)] {
        let settings = SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 };
        let mut shares = Shares::new(settings);
        let mut now = Duration::from_secs(1);
        let mut next = classes.iter().cycle();
        let totals = Totals { rows: rows(64), in_progress: 0.0, routers: 410, age: Duration::ZERO };
        criterion.bench_function(&format!("admit, {name}"), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(interval) + Duration::from_nanos(10);
                if shares.in_progress(now, &service).is_none() {
                    shares.set_totals(now, &service, totals.clone());
                }
                let class = next.next().unwrap();
                shares.on_request(now, &service, class, demand, false);
                black_box(shares.admit(now, &service, class, false, CAPACITY, 410))
            });
        });
    }
    for workspaces in [64, 18_000] {
        let rows = rows(workspaces);
        criterion.bench_function(&format!("plan, {workspaces} workspaces"), |bencher| {
            bencher.iter(|| plan(CAPACITY, black_box(&rows)));
        });
    }
}

criterion_group!(benches, shares);
criterion_main!(benches);
