//! Roles of engines in a fleet of real routers: who serves whom, and orders that change it.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use teaselworks_standin::caller::{Caller, Chat, ChatOutcome};
use teaselworks_standin::engine::Engine;
use teaselworks_standin::engine::batch::{Run, RunState};
use teaselworks_standin::engine::order::{Order, OrderKind, ReceivedOrder};
use teaselworks_standin::fleet::{Fleet, FleetPlan, KEY, MODEL, OTHER_KEY, WORKSPACE};
use teaselworks_standin::router::Program;

const GLOSS: &str = "gloss";
const COMMENTARY: &str = "commentary";
/// Lengths of answers, by which an engine's runs tell for whom they were.
const GLOSS_TOKENS: u32 = 20;
const COMMENTARY_TOKENS: u32 = 1_500;
/// Longer than a test.
const ENDLESS_TOKENS: u32 = 200_000;
/// Longer than a lost holder's lease, its successor's wait and the changes after them.
const PATIENCE: Duration = Duration::from_secs(90);

fn plan(checks_fencing: bool) -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 3, 4).with_configuration(|configuration| {
        configuration["models"][MODEL]["role"] = json!(COMMENTARY);
        configuration["models"][MODEL]["serving_replicas"] = json!(1);
        configuration["workspaces"][WORKSPACE]["roles"] = json!({ MODEL: GLOSS });
        for (number, role) in [GLOSS, GLOSS, COMMENTARY, COMMENTARY].iter().enumerate() {
            configuration["upstreams"][format!("engine-{number}")]["role"] = json!(role);
        }
    });
    plan.engine.checks_fencing = checks_fencing;
    plan
}

/// Starts a fleet whose engines are in the roles that they are to have.
async fn start(checks_fencing: bool) -> Fleet {
    let fleet = Fleet::start(plan(checks_fencing)).await.unwrap();
    give_roles(&fleet, [GLOSS, GLOSS, COMMENTARY, COMMENTARY], 0);
    fleet
}

/// Gives roles from outside, as a holder numbered `fencing` would.
fn give_roles(fleet: &Fleet, roles: [&str; 4], fencing: u64) {
    for (engine, role) in fleet.engines.iter().zip(roles) {
        assert!(engine.order(Order {
            kind: OrderKind::Role,
            model: String::new(),
            adapter: None,
            version: String::new(),
            role: Some(role.into()),
            fencing,
        }));
    }
}

/// Exchanges the roles of the second and the third engine.
async fn exchange(fleet: &Fleet) {
    let upstreams = json!({ "engine-1": { "role": COMMENTARY }, "engine-2": { "role": GLOSS } });
    let patch = json!({ "upstreams": upstreams });
    let answer = fleet.patch(0, "exchange", 1, &patch).await.unwrap();
    assert_eq!(answer.0, 200, "{}", answer.1);
}

async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn until_roles(fleet: &Fleet, roles: [&str; 4]) {
    until(&format!("roles {roles:?}"), async || {
        fleet.engines.iter().zip(roles).all(|(engine, role)| engine.role() == role)
    })
    .await;
}

const EXCHANGED: [&str; 4] = [GLOSS, COMMENTARY, GLOSS, COMMENTARY];

async fn chat(fleet: &Fleet, router: usize, key: &str, number: usize) -> ChatOutcome {
    let tokens = if key == KEY { GLOSS_TOKENS } else { COMMENTARY_TOKENS };
    let chat = Chat::new(MODEL, &format!("Verse {number} of {key}"), tokens);
    fleet.caller_with(router, key).chat(&chat).await
}

async fn answered(fleet: &Fleet, router: usize, key: &str, number: usize) -> Result<(), String> {
    let tokens = if key == KEY { GLOSS_TOKENS } else { COMMENTARY_TOKENS };
    let chat = Chat::new(MODEL, &format!("Verse {number} of {key}"), tokens);
    let outcome = fleet.caller_with(router, key).chat(&chat).await;
    outcome.checked(&chat).map(|_| ()).map_err(|error| format!("{key} {number}: {error:?}"))
}

/// Returns the orders of routers to an engine.
fn orders(engine: &Engine) -> Vec<ReceivedOrder> {
    engine.orders().into_iter().filter(|received| received.order.fencing > 0).collect()
}

/// Checks from the engines' own counts that no chat was cut or ran in another role.
fn assert_right_runs(fleet: &Fleet) {
    for engine in &fleet.engines {
        let runs: Vec<Run> = engine.runs().into_iter().filter(|run| run.ran).collect();
        for run in &runs {
            assert_ne!(run.state, RunState::Cancelled, "{run:?}");
            let role = if run.output_tokens > GLOSS_TOKENS { COMMENTARY } else { GLOSS };
            assert!(run.state != RunState::Finished || run.role == role, "{run:?}");
        }
        let cut: Vec<_> =
            orders(engine).into_iter().filter(|received| received.requests > 0).collect();
        assert!(cut.is_empty(), "{cut:?}");
    }
}

/// Symptom: chats are cut, run on an engine of another role, or are refused while roles change.
/// Sequence: two engines exchange their roles while chats of both roles go on.
/// Cause: engines are told at once, chats are placed by the role that is wanted, or both engines
/// change together.
#[tokio::test(flavor = "multi_thread")]
async fn an_exchange_of_roles_cuts_no_chat_and_moves_new_ones() {
    let fleet = start(true).await;
    until_roles(&fleet, [GLOSS, GLOSS, COMMENTARY, COMMENTARY]).await;
    let changed = std::sync::atomic::AtomicBool::new(false);
    let is_over = || changed.load(std::sync::atomic::Ordering::Relaxed);
    let glosses = async {
        let mut failed = Vec::new();
        for number in 0.. {
            failed.extend(answered(&fleet, number % 3, KEY, number).await.err());
            if is_over() {
                return failed;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        failed
    };
    let commentaries = |router: usize| {
        let (fleet, is_over) = (&fleet, &is_over);
        async move {
            let mut failed = Vec::new();
            for number in 0.. {
                let number = 10_000 * router + number;
                failed.extend(answered(fleet, router, OTHER_KEY, number).await.err());
                if is_over() {
                    break;
                }
            }
            failed
        }
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        exchange(&fleet).await;
        until("the exchanged roles", async || {
            let roles: Vec<String> = fleet.engines.iter().map(Engine::role).collect();
            for role in [GLOSS, COMMENTARY] {
                assert!(roles.iter().any(|shown| shown == role), "{roles:?}");
            }
            roles == EXCHANGED
        })
        .await;
        let before = fleet.engines[2].runs().len();
        until("new chats of the new role", async || fleet.engines[2].runs().len() > before).await;
        changed.store(true, std::sync::atomic::Ordering::Relaxed);
    };
    let ((), glosses, first, second) =
        tokio::join!(change, glosses, commentaries(1), commentaries(2));
    let failed = [glosses, first, second].concat();
    assert!(failed.is_empty(), "{failed:?}");
    assert_right_runs(&fleet);
    let changes: Vec<u32> = fleet.engines.iter().map(Engine::role_changes).collect();
    assert_eq!(changes, [1, 2, 2, 1]);
    for router in &fleet.routers {
        let shown: Value = router.get("/v1/upstreams").await.unwrap();
        assert_eq!(shown[2]["role"], GLOSS, "{shown}");
        assert_eq!(shown[2]["role_in_force"], GLOSS, "{shown}");
    }
}

/// Symptom: a chat runs on an engine of another role when no other is left.
/// Sequence: engines that take orders of a higher number alone are all in another role.
/// Cause: the role that is wanted is taken for the one in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_without_an_engine_of_its_role_does_not_run() {
    let fleet = start(true).await;
    give_roles(&fleet, [COMMENTARY; 4], u64::MAX);
    // Longer than a reading of a role counts.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let outcome = chat(&fleet, 0, KEY, 1).await;
    let ChatOutcome::Refused(refused) = outcome else { panic!("{outcome:?}") };
    let refused = format!("{refused:?}");
    assert!(refused.contains("other_role") && refused.contains("not_run"), "{refused}");
    assert!(fleet.engines.iter().all(|engine| engine.runs().is_empty()));
    answered(&fleet, 1, OTHER_KEY, 2).await.unwrap();
    let metrics = fleet.routers[0].get_text("/metrics").await.unwrap();
    let counted = metrics.lines().any(|line| {
        line.starts_with("teaselworks_refusals_total")
            && line.contains("reason=\"other_role\"")
            && line.ends_with(" 1")
    });
    assert!(counted, "{metrics}");
    assert_right_runs(&fleet);
}

/// Freezes the holder in the middle of an exchange of roles until another one has ended it.
///
/// A chat that no router knows of keeps the second engine busy meanwhile.
async fn freeze_holder(checks_fencing: bool) -> (Fleet, usize) {
    let fleet = start(checks_fencing).await;
    until_roles(&fleet, [GLOSS, GLOSS, COMMENTARY, COMMENTARY]).await;
    let stranger = Caller::new(&fleet.engines[2].url(), KEY);
    let endless = Chat::new(MODEL, "Verses without end", ENDLESS_TOKENS);
    let busy = stranger.open(&endless).await.unwrap();
    exchange(&fleet).await;
    until("the first order", async || !orders(&fleet.engines[1]).is_empty()).await;
    let held = |line: &String| line.contains("orders_held");
    let holder = fleet.routers.iter().position(|router| router.log().iter().any(held)).unwrap();
    until("the release of the other", async || {
        let released = |line: &String| line.contains("engine_released: engine=engine-2");
        fleet.routers.iter().any(|router| router.log().iter().any(released))
    })
    .await;
    fleet.routers[holder].freeze();
    assert!(orders(&fleet.engines[2]).is_empty());
    drop(busy);
    until_roles(&fleet, EXCHANGED).await;
    (fleet, holder)
}

/// Symptom: an engine goes back to an old role, or chats are cut, long after a change.
/// Sequence: the holder is frozen in the middle of an exchange of roles, and another router goes
/// on; the engines lose the new roles, and the old holder wakes.
/// Cause: an engine that ignores fencing numbers obeys an order sent after the lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_holder_changes_no_role_of_engines_that_ignore_fencing() {
    let (fleet, frozen) = freeze_holder(false).await;
    give_roles(&fleet, [GLOSS, GLOSS, COMMENTARY, COMMENTARY], 0);
    fleet.routers[frozen].thaw();
    until_roles(&fleet, EXCHANGED).await;
    let mut given: Vec<(Instant, u64)> =
        fleet.engines.iter().flat_map(orders).map(|got| (got.at, got.order.fencing)).collect();
    given.sort();
    assert!(given.is_sorted_by_key(|(_, fencing)| *fencing), "{given:?}");
    assert!(given.first().unwrap().1 < given.last().unwrap().1, "{given:?}");
    let early: Vec<_> =
        fleet.engines.iter().flat_map(orders).filter(|got| got.requests > 0).collect();
    assert!(early.is_empty(), "{early:?}");
}

/// Symptom: an engine that checks fencing numbers takes an old holder's role.
/// Sequence: as above, and an order with the first holder's number arrives late.
/// Cause: changes of role carry no number, or the new holder's is not above the old one's.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_refuses_the_role_of_an_old_holder() {
    let (fleet, frozen) = freeze_holder(true).await;
    fleet.routers[frozen].thaw();
    let all: Vec<ReceivedOrder> = fleet.engines.iter().flat_map(orders).collect();
    assert!(all.iter().all(|received| received.accepted));
    let oldest = all.iter().map(|received| received.order.fencing).min().unwrap();
    // Of the two that changed, the one that the second holder told.
    let told = |engine: &&Engine| {
        orders(engine).last().is_some_and(|received| received.order.fencing > oldest)
    };
    let engine = fleet.engines.iter().find(told).expect("the second holder told one");
    let role = engine.role();
    let late = Order { role: Some("other".into()), fencing: oldest, ..all[0].order.clone() };
    assert!(!engine.order(late));
    assert_eq!(engine.role(), role);
}

/// Symptom: chats fail, or roles change, while the platform is away.
/// Sequence: the platform goes away right after roles were exchanged, and comes back.
/// Cause: a holder that cannot renew goes on, or chats are placed by the roles that are wanted.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_leaves_roles_and_chats_alone() {
    let fleet = start(false).await;
    until_roles(&fleet, [GLOSS, GLOSS, COMMENTARY, COMMENTARY]).await;
    exchange(&fleet).await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    // Longer than the lease.
    for number in 0..70 {
        let key = if number % 10 == 0 { OTHER_KEY } else { KEY };
        answered(&fleet, number % 3, key, number).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let given: usize = fleet.engines.iter().map(|engine| orders(engine).len()).sum();
    for number in 100..120 {
        answered(&fleet, number % 3, KEY, number).await.unwrap();
    }
    let later: usize = fleet.engines.iter().map(|engine| orders(engine).len()).sum();
    assert_eq!(given, later);
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    until_roles(&fleet, EXCHANGED).await;
    assert_right_runs(&fleet);
}
