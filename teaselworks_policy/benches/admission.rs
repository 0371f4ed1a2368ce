//! Cost of one decision of admission, retry and assembly.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use teaselworks_policy::admission::limits::{Limits, Work, WorkspaceLimiter};
use teaselworks_policy::admission::open::OpenShare;
use teaselworks_policy::admission::queue::{Entry, FairQueue};
use teaselworks_policy::attempt::{Assembly, Event};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::retry::budget::{BudgetSettings, RetryBudget};
use teaselworks_policy::verdict::Priority;

const WAITING: usize = 64;

fn entry(name: &Name, item: usize) -> Entry<usize> {
    Entry {
        workspace: name.clone(),
        priority: Priority::ALL[item % 3],
        weight: 1,
        work_tokens: 100 + item as u64 % 900,
        deadline: Duration::from_secs(1_000_000),
        item,
    }
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| format!("workspace-{number}").as_str().into()).collect()
}

/// A push and a pop with 64 requests of as many workspaces waiting at each priority.
fn queue(criterion: &mut Criterion) {
    let names = names(WAITING);
    let mut queue = FairQueue::new(WAITING + 1, 1);
    let mut count = 0;
    while count < 3 * WAITING {
        let _queued = queue.push(Duration::ZERO, entry(&names[count % WAITING], count));
        count += 1;
    }
    criterion.bench_function("queue_push_pop", |bencher| {
        bencher.iter(|| {
            count += 1;
            let now = Duration::from_micros(count as u64 * 50);
            let taken = queue.pop(now);
            let Some(taken) = taken else { return };
            let _queued = black_box(queue.push(now, entry(&taken.workspace, taken.item)));
        })
    });
}

/// A permit and its release, for 18,000 workspaces in turn.
fn limits(criterion: &mut Criterion) {
    let names = names(18_000);
    let limits = Limits {
        requests_per_s: Some(100.0),
        tokens_per_s: Some(1e5),
        concurrent_requests: Some(100),
        share: 1.0,
        owner_reachable: false,
        owner: 0,
        open: OpenShare::NONE,
    };
    let work = Work { tokens: 900, deadline_left: Duration::from_secs(60) };
    let mut limiter = WorkspaceLimiter::new(1);
    let mut count = 0;
    criterion.bench_function("limits_take_release", |bencher| {
        bencher.iter(|| {
            count += 1;
            let now = Duration::from_micros(count as u64 * 50);
            if let Ok(permit) = limiter.try_take(now, &names[count % names.len()], &limits, work) {
                black_box(limiter.release(now, permit));
            }
        })
    });
}

/// A request and a retry counted, for 18,000 workspaces in turn.
fn budget(criterion: &mut Criterion) {
    let names = names(18_000);
    let settings = BudgetSettings { ratio: 0.1, workspace_burst: 10.0, overall_burst: 100.0 };
    let mut budget = RetryBudget::new(settings);
    let mut count = 0;
    criterion.bench_function("retry_budget", |bencher| {
        bencher.iter(|| {
            count += 1;
            let now = Duration::from_micros(count as u64 * 50);
            budget.on_request(now, &names[count % names.len()]);
            black_box(budget.try_take(now, &names[count % names.len()]));
        })
    });
}

/// One part of an answer.
fn assembly(criterion: &mut Criterion) {
    let id = AttemptId { router: "router-7".into(), incarnation: 7, sequence: 1, attempt: 0 };
    let mut assembly = Assembly::new(id.clone());
    assembly.accept(&id, &Event::Head { status: 200 });
    let mut tokens = 0;
    criterion.bench_function("assembly_data", |bencher| {
        bencher.iter(|| {
            let offset_bytes = tokens * 200;
            tokens += 1;
            let event = Event::Data { offset_bytes, size_bytes: 200, output_tokens: tokens };
            black_box(assembly.accept(&id, &event));
        })
    });
}

criterion_group!(benches, queue, limits, budget, assembly);
criterion_main!(benches);
