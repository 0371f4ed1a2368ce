//! Orders of real routers to engines: rollouts, a frozen holder, the platform down.

use std::time::{Duration, Instant};

use serde_json::json;
use teaselworks_standin::caller::Chat;
use teaselworks_standin::engine::Engine;
use teaselworks_standin::engine::order::{Order, OrderKind, ReceivedOrder};
use teaselworks_standin::fleet::{ADAPTER, Fleet, FleetPlan, MODEL, until};
use teaselworks_standin::router::Program;

const LOAD_TIME: Duration = Duration::from_millis(800);

fn plan(routers: usize, engines: usize, checks_fencing: bool) -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, routers, engines);
    plan.engine.load_time = LOAD_TIME;
    plan.engine.checks_fencing = checks_fencing;
    plan
}

/// Starts a fleet whose engines hold version 1, before its configuration names a version.
async fn start(plan: FleetPlan) -> Fleet {
    let fleet = Fleet::start(plan).await.unwrap();
    load_first_version(&fleet).await;
    fleet
}

async fn load_first_version(fleet: &Fleet) {
    for engine in &fleet.engines {
        for adapter in [None, Some(ADAPTER.to_owned())] {
            let order = Order {
                kind: OrderKind::Load,
                model: MODEL.into(),
                adapter,
                version: "1".into(),
                role: None,
                fencing: 0,
            };
            assert!(engine.order(order));
        }
    }
    tokio::time::sleep(LOAD_TIME).await;
}

async fn want(fleet: &Fleet, expect: u64, version: &str, serving_replicas: u32) {
    let model = json!({ "version": version, "serving_replicas": serving_replicas });
    let patch = json!({ "models": { MODEL: model }, "policy": { "weight_loads": 2 } });
    let answer = fleet.patch(0, &format!("want-{version}"), expect, &patch).await.unwrap();
    assert_eq!(answer.0, 200, "{}", answer.1);
}

fn holds(engine: &Engine, version: &str) -> bool {
    let models = engine.models();
    models.iter().any(|held| held.adapter.is_none() && held.version == version && held.ready)
}

async fn until_held(fleet: &Fleet, version: &str) {
    until(&format!("every engine holds version {version}"), async || {
        fleet.engines.iter().all(|engine| holds(engine, version))
    })
    .await;
}

/// Returns the orders of routers to an engine.
fn orders(engine: &Engine) -> Vec<ReceivedOrder> {
    engine.orders().into_iter().filter(|received| received.order.fencing > 0).collect()
}

fn first_fencing(fleet: &Fleet) -> Option<u64> {
    fleet.engines.iter().flat_map(orders).map(|received| received.order.fencing).min()
}

/// Returns the most loads that ran at once, over all engines.
fn most_loads_at_once(fleet: &Fleet) -> usize {
    let starts: Vec<Instant> = fleet
        .engines
        .iter()
        .flat_map(orders)
        .filter(|received| received.order.kind == OrderKind::Load)
        .map(|received| received.at)
        .collect();
    let runs_at = |at: &Instant| {
        starts.iter().filter(|start| **start <= *at && *at < **start + LOAD_TIME).count()
    };
    starts.iter().map(runs_at).max().unwrap_or_default()
}

/// Returns the router that gave the last order, by its log.
fn holder(fleet: &Fleet) -> usize {
    let held = |router: &teaselworks_standin::router::RouterProcess| {
        router.log().iter().any(|line| line.contains("orders_held"))
    };
    fleet.routers.iter().position(held).expect("a router holds the orders")
}

/// Symptom: a rollout takes so many replicas away that callers are refused, or never ends.
/// Sequence: a version is patched while chats go on; then another, with one replica to spare.
/// Cause: every replica is told to load as soon as the version is known.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_converges_within_its_limits_while_chats_go_on() {
    let fleet = start(plan(3, 4, true)).await;
    want(&fleet, 1, "2", 1).await;
    let rollout = async {
        until_held(&fleet, "2").await;
        assert_eq!(most_loads_at_once(&fleet), 2);
        want(&fleet, 2, "3", 3).await;
        until_held(&fleet, "3").await;
    };
    let chats = async {
        let mut answers = Vec::new();
        for number in 0..80 {
            let chat = Chat::new(MODEL, &format!("Verse {number}"), 20);
            answers.push(fleet.caller(number % 3).chat(&chat).await.checked(&chat).map(|_| ()));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        answers
    };
    let ((), answers) = tokio::join!(rollout, chats);
    let failed: Vec<_> = answers.iter().filter_map(|answer| answer.as_ref().err()).collect();
    assert!(failed.is_empty(), "{failed:?}");
    let second = |engine: &Engine| {
        let load = orders(engine).into_iter().find(|r| r.order.version == "3");
        load.expect("every engine was told").at
    };
    let mut starts: Vec<Instant> = fleet.engines.iter().map(second).collect();
    starts.sort();
    assert!(starts.windows(2).all(|pair| pair[1] - pair[0] >= LOAD_TIME), "{starts:?}");
}

/// Freezes the holder in a rollout until another router has ended it; returns the frozen one.
async fn freeze_holder(checks_fencing: bool) -> (Fleet, usize) {
    let fleet = start(plan(3, 4, checks_fencing)).await;
    want(&fleet, 1, "2", 3).await;
    until("the first order", async || fleet.engines.iter().any(|e| !orders(e).is_empty())).await;
    let frozen = holder(&fleet);
    fleet.routers[frozen].freeze();
    until_held(&fleet, "2").await;
    (fleet, frozen)
}

/// Symptom: an engine goes back to an old version after a rollout.
/// Sequence: the holder is frozen in a rollout; its lease ends, another router goes on; the engines
/// lose their version, and the old holder wakes with the rollout in hand.
/// Cause: an engine that ignores fencing numbers obeys the old holder's order, sent after the wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_holder_sends_nothing_to_engines_that_ignore_fencing() {
    let (fleet, frozen) = freeze_holder(false).await;
    load_first_version(&fleet).await;
    fleet.routers[frozen].thaw();
    until_held(&fleet, "2").await;
    let mut numbers = Vec::new();
    for engine in &fleet.engines {
        let given: Vec<u64> =
            orders(engine).iter().map(|received| received.order.fencing).collect();
        assert!(given.is_sorted(), "{given:?}");
        numbers.extend(orders(engine).into_iter().map(|r| (r.at, r.order.fencing)));
    }
    numbers.sort();
    assert!(numbers.is_sorted_by_key(|(_, fencing)| *fencing), "{numbers:?}");
    assert!(numbers.first().unwrap().1 < numbers.last().unwrap().1, "{numbers:?}");
}

/// Symptom: an engine that checks fencing numbers takes an old order.
/// Sequence: as above, and an order with the first holder's number arrives late.
/// Cause: the new holder's number is not above the old one's.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_refuses_an_old_holder() {
    let (fleet, frozen) = freeze_holder(true).await;
    fleet.routers[frozen].thaw();
    let engine = fleet.engines.iter().find(|engine| {
        let last = orders(engine).last().map(|received| received.order.fencing);
        last > first_fencing(&fleet)
    });
    let engine = engine.expect("the second holder told one");
    let all: Vec<ReceivedOrder> = fleet.engines.iter().flat_map(orders).collect();
    let oldest = all.iter().min_by_key(|received| received.order.fencing).unwrap();
    assert!(all.iter().all(|received| received.accepted));
    assert!(!engine.order(oldest.order.clone()));
    assert!(holds(engine, "2"));
}

/// Symptom: chats fail, or engines are told things by a router whose lease has ended.
/// Sequence: the platform goes away in a rollout for longer than the lease, and comes back.
/// Cause: a holder that cannot renew takes its lease for its own.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_stops_orders_and_no_chat() {
    let fleet = start(plan(2, 2, false)).await;
    want(&fleet, 1, "2", 1).await;
    until_held(&fleet, "2").await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    // Longer than the lease: its entry is gone, and no router can take another.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let given: usize = fleet.engines.iter().map(|engine| orders(engine).len()).sum();
    let back =
        Order { version: "1".into(), fencing: 0, ..orders(&fleet.engines[0])[0].order.clone() };
    assert!(fleet.engines[0].order(back));
    for number in 0..20 {
        let chat = Chat::new(MODEL, &format!("Meanwhile {number}"), 20);
        fleet.caller(number % 2).chat(&chat).await.checked(&chat).unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(given, fleet.engines.iter().map(|engine| orders(engine).len()).sum::<usize>());
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    until_held(&fleet, "2").await;
}

/// Symptom: one router spends a hundred looks a second on engines that are as they should be.
/// Sequence: one engine of many is down for good.
/// Cause: the holder looks without pause as long as not everything is as it should be.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_out_of_reach_does_not_keep_the_holder_looking() {
    const WATCHED: Duration = Duration::from_secs(12);
    let fleet = start(plan(2, 3, false)).await;
    want(&fleet, 1, "2", 1).await;
    until_held(&fleet, "2").await;
    fleet.engines[2].server().stop();
    // The last orders' outcome is looked at.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = fleet.engines[0].looks();
    tokio::time::sleep(WATCHED).await;
    let looks = fleet.engines[0].looks() - before;
    assert!((1..=3).contains(&looks), "{looks} looks in {WATCHED:?}, each 5 s expected");
    fleet.engines[2].server().resume().unwrap();
    want(&fleet, 2, "3", 1).await;
    until_held(&fleet, "3").await;
}
