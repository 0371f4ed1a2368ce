//! Queues, deadlines and fair shares at real routers, measured at the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use teaselworks_config::configuration::key::KeyDigest;
use teaselworks_standin::caller::{Caller, Chat, ChatOutcome};
use teaselworks_standin::engine::EngineOptions;
use teaselworks_standin::fleet::{Fleet, FleetPlan, KEY, MODEL, OTHER_KEY, until};
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

const THIRD_KEY: &str = "third-key-for-tests";
/// Longest wait for what has to come at once.
const AT_ONCE: Duration = Duration::from_secs(30);

async fn fleet(routers: usize, step: Duration, policy: Value) -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, routers, 1).with_configuration(move |configuration| {
        configuration["policy"] = policy.clone();
        configuration["policy"]["bound_floor_tokens"] = json!(1_000_000);
        let keys = json!([KeyDigest::of(THIRD_KEY).to_string()]);
        configuration["workspaces"]["third"] = json!({ "key_digests": keys });
    });
    plan.engine = EngineOptions { step, ..plan.engine };
    Fleet::start(plan).await.unwrap()
}

fn chat(text: &str, tokens: u32) -> Chat {
    Chat::new(MODEL, text, tokens)
}

fn spawn(caller: Caller, chat: &Chat) -> JoinHandle<ChatOutcome> {
    let chat = chat.clone();
    tokio::spawn(async move { caller.chat(&chat).await })
}

async fn sum(fleet: &Fleet, metric: &str) -> f64 {
    let mut sum = 0.0;
    for router in &fleet.routers {
        sum += router.metric(metric, &["priority=\"normal\""]).await.unwrap();
    }
    sum
}

/// Holds the engine's only place with a chat that does not get on.
async fn hold_place(fleet: &Fleet) -> (Chat, JoinHandle<ChatOutcome>) {
    let held = chat("Hold the place.", 200);
    let answer = spawn(fleet.caller(0), &held);
    until("the place is taken", async || fleet.engines[0].totals().running == 1).await;
    fleet.engines[0].set_faults(|faults| faults.stalled = true);
    (held, answer)
}

/// Symptom: a caller is told that its request may have run, and cannot repeat it, though it only
/// waited in a queue.
/// Sequence: the engine's only place is taken; another chat waits until its deadline.
/// Cause: the entry's own deadline comes before the owner's answer, and the entry knows only that
/// the chat was sent to the owner.
#[tokio::test(flavor = "multi_thread")]
async fn what_only_waited_is_refused_as_not_run() {
    let fleet = fleet(2, Duration::from_millis(1), json!({ "running_requests": 1 })).await;
    let (held, answer) = hold_place(&fleet).await;
    for router in 0..2 {
        let waits = chat("Wait in vain.", 1).header("x-deadline-ms", "1500");
        let waiting = spawn(fleet.caller(router), &waits);
        until("the chat waits", async || sum(&fleet, "teaselworks_queued").await == 1.0).await;
        assert_eq!(sum(&fleet, "teaselworks_running").await, 1.0);
        let refused = waiting.await.unwrap().refused().unwrap();
        assert_eq!((&*refused.reason, &*refused.verdict), ("deadline", "not_run"));
        assert!(refused.retry_after_s.is_some(), "{}", refused.body);
    }
    fleet.engines[0].set_faults(|faults| faults.stalled = false);
    answer.await.unwrap().checked(&held).unwrap();
    assert_eq!(fleet.engines[0].runs_by_id().len(), 1);
    assert_eq!(sum(&fleet, "teaselworks_queue_wait_ms_count").await, 3.0);
    for gauge in ["teaselworks_queued", "teaselworks_running", "teaselworks_in_flight"] {
        until(gauge, async || sum(&fleet, gauge).await == 0.0).await;
    }
}

/// Symptom: a request waits for its place and is then cut at its deadline, in the middle.
/// Sequence: the engine's answers show how long a token takes; while its place is taken, a chat
/// comes whose answer takes longer than its deadline allows, and one whose answer does not.
/// Cause: only the wait is compared with the time left, not the wait and the answer.
#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let fleet = fleet(1, Duration::from_millis(10), json!({ "running_requests": 1 })).await;
    let measured = chat("Measure.", 50);
    fleet.caller(0).chat(&measured).await.checked(&measured).unwrap();
    let (held, answer) = hold_place(&fleet).await;
    // 20,000 tokens take 200 s, more than the 120 s that the caller gives.
    let long = chat("Comment at length.", 20_000).header("x-deadline-ms", "120000");
    let refused = tokio::time::timeout(AT_ONCE, fleet.caller(0).chat(&long)).await;
    let refused = refused.expect("the chat is refused at once").refused().unwrap();
    assert_eq!((&*refused.reason, &*refused.verdict), ("deadline", "not_run"));
    assert!(refused.retry_after_s.is_some(), "{}", refused.body);
    let short = chat("Gloss.", 20).header("x-deadline-ms", "120000");
    let waiting = spawn(fleet.caller(0), &short);
    until("the short chat waits", async || sum(&fleet, "teaselworks_queued").await == 1.0).await;
    fleet.engines[0].set_faults(|faults| faults.stalled = false);
    for (chat, answer) in [(held, answer), (short, waiting)] {
        answer.await.unwrap().checked(&chat).unwrap();
    }
}

/// Symptom: on the evening when one workspace surges, the others are refused or wait for ever.
/// Sequence: two workspaces send as usual, a third one ten times as much, at an engine with two
/// places and a short queue, through three routers.
/// Cause: one line by arrival, which the surge fills.
#[tokio::test(flavor = "multi_thread")]
async fn a_surge_of_one_workspace_costs_the_others_nothing() {
    let policy = json!({ "running_requests": 2, "queue_requests": 9 });
    let fleet = fleet(3, Duration::from_millis(1), policy).await;
    let calm_ended = Arc::new(AtomicBool::new(false));
    let mut surge = Vec::new();
    for number in 0..20 {
        let caller = fleet.caller_with(number % 3, THIRD_KEY);
        let calm_ended = calm_ended.clone();
        surge.push(tokio::spawn(async move {
            let (mut whole, mut refused) = (0, 0);
            while !calm_ended.load(Ordering::Relaxed) {
                let chat = chat(&format!("Surge {number} {whole}."), 20);
                match caller.chat(&chat).await {
                    ChatOutcome::Refused(refusal) => {
                        assert_eq!(refusal.verdict, "not_run", "{}", refusal.body);
                        refused += 1;
                    }
                    outcome => {
                        outcome.checked(&chat).unwrap();
                        whole += 1;
                    }
                }
            }
            (whole, refused)
        }));
    }
    until("the surge fills the queue", async || sum(&fleet, "teaselworks_queued").await > 6.0)
        .await;
    let mut calm = Vec::new();
    for (number, key) in [KEY, KEY, OTHER_KEY, OTHER_KEY].into_iter().enumerate() {
        let caller = fleet.caller_with(number % 3, key);
        calm.push(tokio::spawn(async move {
            for round in 0..25 {
                let chat = chat(&format!("Calm {number} {round}."), 20);
                caller.chat(&chat).await.checked(&chat).unwrap();
            }
        }));
    }
    for calm in calm {
        calm.await.unwrap();
    }
    calm_ended.store(true, Ordering::Relaxed);
    let (mut whole, mut refused) = (0, 0);
    for surge in surge {
        let (surge_whole, surge_refused) = surge.await.unwrap();
        (whole, refused) = (whole + surge_whole, refused + surge_refused);
    }
    assert!(whole > 0 && refused > 0, "{whole} answered, {refused} refused");
    assert!(fleet.engines[0].totals().peak_running <= 2);
}
