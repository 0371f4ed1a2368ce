//! Failures along the path of a request, with real routers behind the fault-injecting proxy.
//!
//! Checked from outside in each: one final outcome, the caller's own, whole or an explicit error;
//! "not run" means that no engine ran it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, until};
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

/// Length of an answer that is still going on when a fault is caused, in tokens.
const LONG_TOKENS: u32 = 600;
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

fn plan(routers: usize, engines: usize) -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    FleetPlan::new(program, routers, engines)
        .with_configuration(|value| value["models"][MODEL]["resumes"] = json!(true))
}

/// Plans three routers of which the last owns no engine: its zone has none.
fn plan_with_plain_entry() -> FleetPlan {
    let mut plan = plan(3, 2);
    plan.zones = vec!["zone-a".into(), "zone-b".into(), "zone-c".into()];
    plan
}

/// Number of the router that owns no engine.
const PLAIN_ENTRY: usize = 2;

fn ballad(number: usize) -> Chat {
    Chat::new(MODEL, &format!("Comment on ballad number {number}, at length."), LONG_TOKENS)
}

fn spawn(fleet: &Fleet, router: usize, chat: &Chat) -> JoinHandle<ChatOutcome> {
    let (caller, chat) = (fleet.caller(router), chat.clone());
    tokio::spawn(async move { caller.chat(&chat).await })
}

/// Waits until some engine has generated part of the only answer; returns its number.
async fn engine_at_work(fleet: &Fleet) -> usize {
    let mut at_work = None;
    until("an engine is in the middle of an answer", async || {
        at_work = fleet.engines.iter().position(|engine| engine.totals().output_tokens > 30);
        at_work.is_some()
    })
    .await;
    at_work.unwrap()
}

/// Returns the number of the router that owns an engine, as the plain entry sees it.
async fn owner_of(fleet: &Fleet, engine: usize) -> usize {
    let rows = fleet.routers[PLAIN_ENTRY].get("/v1/upstreams").await.unwrap();
    let name = format!("engine-{engine}");
    let row = rows.as_array().unwrap().iter().find(|row| row["name"] == name).unwrap();
    let owner = row["owner"].as_str().unwrap();
    owner.strip_prefix("router-").unwrap().parse().unwrap()
}

/// Returns how often each attempt ran, over all engines.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    fleet.engines.iter().flat_map(|engine| engine.runs_by_id()).collect()
}

async fn retries(fleet: &Fleet, router: usize, reason: &str) -> f64 {
    let label = format!("reason=\"{reason}\"");
    fleet.routers[router].metric("teaselworks_retries_total", &[&label]).await.unwrap()
}

/// Symptom: a long answer stops in the middle, or looks complete and is not.
/// Sequence: a chat streams through entry and owner; the owner's process is killed.
/// Cause: the tokens sent so far live at the entry alone; the engine cancels with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_does_not_cut_the_answer() {
    let mut fleet = Fleet::start(plan_with_plain_entry()).await.unwrap();
    let chat = ballad(1);
    let answer = spawn(&fleet, PLAIN_ENTRY, &chat);
    let owner = owner_of(&fleet, engine_at_work(&fleet).await).await;
    fleet.routers[owner].kill();
    answer.await.unwrap().checked(&chat).unwrap();
    assert!(retries(&fleet, PLAIN_ENTRY, "resumed").await >= 1.0);
    assert!(runs(&fleet).values().all(|times| *times == 1), "{:?}", runs(&fleet));
}

/// Symptom: the caller waits until its own deadline for an answer that will never come.
/// Sequence: the link between entry and owner is cut, or carries nothing while it stays open.
/// Cause: TCP reports a cut at once and a half-open connection not at all.
#[tokio::test(flavor = "multi_thread")]
async fn cut_and_frozen_links_do_not_cut_the_answer() {
    for freeze in [false, true] {
        let mut plan = plan_with_plain_entry()
            .with_settings(|_, settings| settings.links.idle_timeout_ms = 500);
        plan.proxy_links = true;
        let fleet = Fleet::start(plan).await.unwrap();
        let chat = ballad(2);
        let answer = spawn(&fleet, PLAIN_ENTRY, &chat);
        let owner = owner_of(&fleet, engine_at_work(&fleet).await).await;
        // Either of the two may have opened the link.
        for router in [PLAIN_ENTRY, owner] {
            if freeze {
                fleet.link_proxies[router].set_frozen(true);
            } else {
                fleet.link_proxies[router].cut();
            }
        }
        answer.await.unwrap().checked(&chat).unwrap();
        assert!(retries(&fleet, PLAIN_ENTRY, "resumed").await >= 1.0);
    }
}

/// Symptom: a stream ends early and the caller takes it for the whole answer.
/// Sequence: the engine's connection breaks, or closes in order, before the end marker.
/// Cause: the end of a connection is taken for the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn broken_engine_stream_is_resumed() {
    let fleet = Fleet::start(plan(2, 2)).await.unwrap();
    for engine in &fleet.engines {
        engine.set_faults(|faults| {
            faults.break_chats = 1;
            faults.break_after_tokens = 20;
        });
    }
    for stream in [true, false] {
        let chat = if stream { ballad(3) } else { ballad(4).whole() };
        fleet.caller(0).chat(&chat).await.checked(&chat).unwrap();
    }
    assert!(retries(&fleet, 0, "resumed").await >= 1.0);
}

/// Symptom: a caller reads another caller's answer.
/// Sequence: an engine mixes up two chats: from the start, or from a token on.
/// Cause: what arrives on a connection is taken for the answer to what was sent on it.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_never_reach_a_stranger() {
    let fleet = Fleet::start(plan(2, 2)).await.unwrap();
    let other = ballad(5);
    fleet.caller(0).chat(&other).await.checked(&other).unwrap();
    for after_tokens in [0, 10] {
        for engine in &fleet.engines {
            engine.set_faults(|faults| {
                faults.cross_chats = 1;
                faults.cross_after_tokens = after_tokens;
            });
        }
        let chat = ballad(6 + after_tokens as usize);
        fleet.caller(1).chat(&chat).await.checked(&chat).unwrap();
    }
}

/// Symptom: refused with "not run", and yet an engine worked on it.
/// Sequence: engines refuse connections, then refuse chats with 503, then answer 500.
/// Cause: a guess at the verdict by the kind of error.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_means_not_run() {
    let fleet = Fleet::start(plan(2, 2)).await.unwrap();
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.fail_chats = 50);
    }
    let refused = fleet.caller(0).chat(&ballad(8)).await.refused().unwrap();
    assert_eq!(refused.verdict, "may_have_run", "{}", refused.body);
    let fleet = Fleet::start(plan(2, 2)).await.unwrap();
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.refuse_chats = 50);
    }
    let refused = fleet.caller(0).chat(&ballad(7)).await.refused().unwrap();
    assert_eq!(refused.verdict, "not_run", "{}", refused.body);
    assert!(refused.retry_after_s.is_some(), "{}", refused.body);
    assert!(runs(&fleet).is_empty());
    for engine in &fleet.engines {
        engine.crash();
    }
    let before = runs(&fleet);
    let refused = fleet.caller(1).chat(&ballad(9)).await.refused().unwrap();
    assert_eq!(refused.verdict, "not_run", "{}", refused.body);
    assert_eq!(runs(&fleet), before);
}

/// Symptom: a rollout cuts answers, or callers meet a closed port.
/// Sequence: SIGTERM to the entry and the owner of answers in progress.
/// Cause: the process ends with its signal, or with its last request but before its peers'.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing() {
    let mut fleet = Fleet::start(plan(3, 6)).await.unwrap();
    let chats: Vec<Chat> = (10..19).map(ballad).collect();
    let answers: Vec<_> =
        chats.iter().enumerate().map(|(at, chat)| spawn(&fleet, at % 3, chat)).collect();
    engine_at_work(&fleet).await;
    fleet.routers[0].terminate();
    until("the health check fails", async || fleet.routers[0].get("/health").await.is_err()).await;
    for (chat, answer) in chats.iter().zip(answers) {
        answer.await.unwrap().checked(chat).unwrap();
    }
    let status = fleet.routers[0].until_exit(STOP_TIMEOUT).await.unwrap();
    assert!(status.success(), "{:?}", fleet.routers[0].log());
    let later = ballad(20);
    fleet.caller(1).chat(&later).await.checked(&later).unwrap();
}

/// Symptom: an engine goes on generating for nobody.
/// Sequence: a caller hangs up in the middle of its answer, through entry and owner.
/// Cause: the cancellation stops at the entry.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_up_reaches_the_engine() {
    let fleet = Fleet::start(plan(3, 3)).await.unwrap();
    for router in 0..3 {
        let answer = spawn(&fleet, router, &ballad(30 + router));
        until("the engine began", async || {
            fleet.engines.iter().map(|engine| engine.totals().running).sum::<u64>() == 1
        })
        .await;
        answer.abort();
        until("the engine cancelled", async || {
            let cancelled: u64 = fleet.engines.iter().map(|e| e.totals().cancelled).sum();
            cancelled == router as u64 + 1
        })
        .await;
    }
}

/// Symptom: a request that cannot be answered in time holds its caller back.
/// Sequence: engines stall; the caller's deadline passes before and after the first token.
/// Cause: no deadline travels with the request.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_ends_a_stalled_answer_with_an_error() {
    let fleet = Fleet::start(plan(2, 2)).await.unwrap();
    let answer = spawn(&fleet, 0, &ballad(40).header("x-deadline-ms", "1000"));
    engine_at_work(&fleet).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.stalled = true);
    }
    match answer.await.unwrap() {
        ChatOutcome::Broken { error, .. } => assert!(error.contains("deadline"), "{error}"),
        other => panic!("{other}"),
    }
    let chat = ballad(41).header("x-deadline-ms", "300");
    let refused = fleet.caller(1).chat(&chat).await.refused().unwrap();
    assert_eq!(refused.reason, "deadline", "{}", refused.body);
    assert_ne!(refused.verdict, "not_run");
}
