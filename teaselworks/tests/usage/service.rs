//! The service of use alone, without a fleet.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use teaselworks::daemon::planned_stop;
use teaselworks::kernel::{Shutdown, ShutdownPhase};
use teaselworks::metrics::Metrics;
use teaselworks::usage::{BudgetStore, Slots, UsageParts, UsageService};
use teaselworks_config::configuration::Budget;
use teaselworks_config::settings::StopSettings;
use teaselworks_policy::budget::{BudgetOutcome, BudgetReading};
use teaselworks_policy::clock::{Clock, ManualClock, SystemClock};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::usage::{
    Fleet as Routers, Reading, SHARDS, Source, UsageRecord, UseOutcome, WriteOutcome,
};
use teaselworks_policy::verdict::{RefusalReason, Verdict};

use crate::fixture::until;

fn record(sequence: u64, output_tokens: u64) -> UsageRecord {
    UsageRecord {
        attempt: AttemptId { router: "a".into(), incarnation: 1, sequence, attempt: 0 },
        workspace: "choir".into(),
        model: "pripovednik".into(),
        adapter: None,
        prompt_tokens: 10,
        cached_tokens: 4,
        output_tokens,
        outcome: UseOutcome::Finished,
        at_ms: 0,
    }
}

/// Makes the service of a fleet of one router; what it writes goes to `values`.
fn alone(clock: Arc<dyn Clock>, values: &Arc<Mutex<Reading>>) -> Arc<UsageService> {
    UsageService::new(parts("a", clock, values))
}

/// Returns what makes the service of a router that sees no other one.
fn parts(own: &str, clock: Arc<dyn Clock>, values: &Arc<Mutex<Reading>>) -> UsageParts {
    let own: Name = own.into();
    let routers =
        Routers { owners: vec![Some(own.clone()); usize::from(SHARDS)], ..Routers::default() };
    let (read, written) = (values.clone(), values.clone());
    let slots = Slots {
        read: Arc::new(move |_| {
            let reading = read.lock().unwrap().clone();
            Box::pin(async move { Some(reading) })
        }),
        write: Arc::new(move |_, write| {
            let revision = write.expected_revision + 1;
            *written.lock().unwrap() = Reading { tally: write.tally, revision };
            Box::pin(async move { WriteOutcome::Written(revision) })
        }),
        month: Arc::new(|_| Box::pin(async { Ok(Vec::new()) })),
    };
    let value: Arc<Mutex<BudgetReading>> = Arc::default();
    let (read, written) = (value.clone(), value);
    let budgets = BudgetStore {
        read: Arc::new(move |_| {
            let reading = read.lock().unwrap().clone();
            Box::pin(async move { Some(reading) })
        }),
        write: Arc::new(move |_, write| {
            let revision = write.expected_revision + 1;
            *written.lock().unwrap() = BudgetReading { value: write.value, revision };
            Box::pin(async move { BudgetOutcome::Written(revision) })
        }),
        all: Arc::new(|| Box::pin(async { Ok(Vec::new()) })),
    };
    UsageParts {
        source: Source { router: own, incarnation: 1 },
        clock,
        metrics: Arc::new(Metrics::new()),
        fleet: Arc::new(move || routers.clone()),
        watched: Arc::new(|_| None),
        call: Arc::new(|_, _, _| Box::pin(async { None })),
        slots,
        budgets,
    }
}

// Symptom: a chat is charged twice.
// Sequence: the owner records an attempt at its end, and again when the entry's cancel arrives.
// Cause: two paths end one attempt.
#[tokio::test]
async fn an_attempt_is_charged_once() {
    let values = Arc::default();
    let usage = alone(Arc::new(SystemClock::new()), &values);
    usage.record(record(1, 5));
    usage.record(record(1, 5));
    usage.record(record(2, 7));
    usage.start(Shutdown::new());
    let written = || values.lock().unwrap().tally.rows.values().copied().next();
    let sum = until(async || written()).await;
    assert_eq!((sum.attempts, sum.output_tokens), (2, 12));
}

// Symptom: a planned stop ends with event 401, or with use that no other router holds.
// Sequence: a router drains, announces the last phase, and only then hands its use over.
// Cause: the service that hands over ends in the last phase; whether it still copies is chance.
#[tokio::test]
async fn services_live_until_a_planned_stop_has_handed_over() {
    let shutdown = Shutdown::new();
    let settings = StopSettings { notice_ms: 0, drain_ms: 0 };
    let mut phase = None;
    let hand_over = async { phase = Some(shutdown.phase()) };
    planned_stop(&shutdown, &settings, || 0, hand_over).await;
    assert_eq!(phase, Some(ShutdownPhase::Draining));
    assert_eq!(shutdown.phase(), ShutdownPhase::Stopped);
}

// Symptom: a planned stop loses the attempts of its last quarter of a second, without event 401.
// Sequence: a tick has taken what was recorded and not charged it yet; the router is asked to
// stop, looks whether it holds anything, and ends.
// Cause: between the two steps an attempt was held by neither.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_in_the_middle_of_a_tick_loses_nothing() {
    let (clock, values) = (Arc::new(SystemClock::new()), Arc::default());
    let holder = UsageService::new(parts("b", clock.clone(), &values));
    holder.start(Shutdown::new());
    let (in_tick, mut ticking) = tokio::sync::mpsc::unbounded_channel();
    let (resume, resumed) = std::sync::mpsc::channel::<()>();
    let (resumed, ended) = (Mutex::new(resumed), Arc::new(AtomicBool::new(false)));
    let mut parts = parts("a", clock, &Arc::default());
    let routers = (parts.fleet)();
    parts.fleet = Arc::new(move || {
        // Fails once the test has let ticks go on.
        let _ = in_tick.send(());
        let _ = resumed.lock().unwrap().recv();
        Routers { partner: Some("b".into()), ..routers.clone() }
    });
    let process_ended = ended.clone();
    parts.call = Arc::new(move |_, message, _| {
        let (holder, ended) = (holder.clone(), process_ended.clone());
        Box::pin(async move {
            let sent = !ended.load(Ordering::SeqCst);
            if sent { holder.handle(&"a".into(), &message).await } else { None }
        })
    });
    let usage = UsageService::new(parts);
    usage.record(record(1, 5));
    usage.start(Shutdown::new());
    ticking.recv().await.unwrap();
    let mut stop = tokio::spawn(async move {
        usage.hand_over().await;
        ended.store(true, Ordering::SeqCst);
    });
    // Long enough for a stop that sees nothing to wait for.
    let early = tokio::time::timeout(Duration::from_millis(500), &mut stop).await;
    drop(resume);
    if early.is_err() {
        stop.await.unwrap();
    }
    let written = || values.lock().unwrap().tally.rows.values().copied().next();
    let sum = until(async || written()).await;
    assert_eq!((sum.attempts, sum.output_tokens), (1, 5));
}

#[tokio::test]
async fn a_spent_budget_refuses_until_the_next_period() {
    let clock = Arc::new(ManualClock::default());
    let usage = alone(clock.clone(), &Arc::default());
    usage.start(Shutdown::new());
    let budget = Budget { tokens: 100, period_ms: 10_000 };
    let workspace: Name = "wedding".into();
    let reserve = async |tokens| usage.reserve(&workspace, Some(&budget), tokens).await;
    let first = reserve(60).await.unwrap();
    let refusal = reserve(60).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Budget);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.retry_after_ms, Some(10_000));
    first.settle(30);
    clock.advance(Duration::from_secs(3));
    drop(reserve(60).await.unwrap());
    clock.advance(Duration::from_secs(3));
    assert!(reserve(11).await.is_err());
    assert!(usage.reserve(&workspace, None, 1_000_000).await.is_ok());
    clock.advance(Duration::from_secs(4));
    assert!(reserve(100).await.is_ok());
}
