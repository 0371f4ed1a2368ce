//! Limits of workspaces over a fleet of real routers, measured at the engine.

use std::time::Instant;

use serde_json::{Value, json};
use teaselworks_policy::membership::{Place, RouterInfo, RouterState, View, owner_of};
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE, until};
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

const ROUTERS: usize = 3;
/// Limit on requests in progress, less than which three routers share between them.
const CONCURRENT: usize = 4;
/// Length of an answer that goes on while others are sent, in tokens.
const LONG_TOKENS: u32 = 1_500;

async fn fleet(routers: usize, limits: Value) -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let plan = FleetPlan::new(program, routers, 1).with_configuration(move |configuration| {
        configuration["workspaces"][WORKSPACE]["limits"] = limits.clone();
    });
    Fleet::start(plan).await.unwrap()
}

/// Returns the number of the router that owns the workspace, and of another one.
fn owner_and_other(fleet: &Fleet) -> (usize, usize) {
    let router = |process: &teaselworks_standin::router::RouterProcess| RouterInfo {
        name: process.name().into(),
        incarnation: 1,
        address: process.settings().listen.links,
        place: Place { region: "".into(), zone: "".into() },
        state: RouterState::Alive,
    };
    let view = View::new(1, fleet.routers.iter().map(router).collect());
    let owner = &owner_of(&view, WORKSPACE, None).unwrap().name;
    let owner = fleet.routers.iter().position(|router| router.name() == &**owner).unwrap();
    (owner, (owner + 1) % fleet.routers.len())
}

fn chat(number: usize, tokens: u32) -> Chat {
    Chat::new(MODEL, &format!("Comment on ballad number {number}."), tokens)
}

fn spawn(fleet: &Fleet, router: usize, chat: &Chat) -> JoinHandle<ChatOutcome> {
    let (caller, chat) = (fleet.caller(router), chat.clone());
    tokio::spawn(async move { caller.chat(&chat).await })
}

/// Brings as many chats into progress as the limit allows, through one router, and holds them.
///
/// One that is refused is sent again: a router that was denied a place does not ask for a moment,
/// and a place may still be on its way back.
async fn hold(fleet: &Fleet, router: usize) -> Vec<(Chat, JoinHandle<ChatOutcome>)> {
    let mut held: Vec<(Chat, JoinHandle<ChatOutcome>)> = Vec::new();
    until("as many chats run as the limit allows", async || {
        held.retain(|(_, answer)| !answer.is_finished());
        while held.len() < CONCURRENT {
            let chat = chat(held.len(), LONG_TOKENS);
            let answer = spawn(fleet, router, &chat);
            held.push((chat, answer));
        }
        fleet.engines[0].totals().running == CONCURRENT as u64
    })
    .await;
    fleet.engines[0].set_faults(|faults| faults.stalled = true);
    held
}

/// Sends chats over some routers at once; returns how many were answered whole, all others being
/// refused for the limit.
async fn flood(fleet: &Fleet, routers: &[usize], count: usize, tokens: u32) -> usize {
    let chats: Vec<Chat> = (0..count).map(|number| chat(number, tokens)).collect();
    let answers: Vec<_> = chats
        .iter()
        .enumerate()
        .map(|(number, chat)| spawn(fleet, routers[number % routers.len()], chat))
        .collect();
    let mut whole = 0;
    for (chat, answer) in chats.iter().zip(answers) {
        match answer.await.unwrap() {
            ChatOutcome::Refused(refused) => {
                assert_eq!((refused.status, &*refused.verdict), (429, "not_run"));
                assert!(refused.retry_after_s.is_some(), "{}", refused.body);
            }
            outcome => {
                outcome.checked(chat).unwrap();
                whole += 1;
            }
        }
    }
    whole
}

async fn limit_bytes(fleet: &Fleet) -> f64 {
    let mut sum = 0.0;
    for router in &fleet.routers {
        let labels = ["purpose=\"limits\""];
        sum += router.metric("teaselworks_control_bytes_total", &labels).await.unwrap();
    }
    sum
}

/// Symptom: a workspace whose callers use one router gets a part of its limit, or one whose
/// callers use all routers gets several times its limit.
/// Sequence: as many chats as the limit allows at one router, then more at every router; then the
/// callers hang up or get their answers.
/// Cause: the limit is divided by the number of routers, or each router counts by itself, or a
/// place is not given back.
#[tokio::test(flavor = "multi_thread")]
async fn one_router_gets_the_whole_limit_and_all_together_no_more() {
    let fleet = fleet(ROUTERS, json!({ "concurrent_requests": CONCURRENT })).await;
    let (owner, other) = owner_and_other(&fleet);
    for router in [other, owner] {
        let held = hold(&fleet, router).await;
        for router in 0..ROUTERS {
            let refused = fleet.caller(router).chat(&chat(9, 1)).await.refused().unwrap();
            assert_eq!((&*refused.reason, &*refused.verdict), ("concurrency", "not_run"));
        }
        fleet.engines[0].set_faults(|faults| faults.stalled = false);
        for (at, (chat, answer)) in held.into_iter().enumerate() {
            if at == 0 {
                answer.abort();
                continue;
            }
            answer.await.unwrap().checked(&chat).unwrap();
        }
        until("every place is given back", async || {
            flood(&fleet, &[router], CONCURRENT, 200).await == CONCURRENT
        })
        .await;
    }
    let routers: Vec<usize> = (0..ROUTERS).collect();
    flood(&fleet, &routers, 24, 100).await;
    assert_eq!(fleet.engines[0].totals().peak_running, CONCURRENT as u64);
    assert!(limit_bytes(&fleet).await > 0.0);
}

/// Symptom: a workspace gets more requests a second than its limit over the fleet, or, at one
/// router, no more than that router's equal share.
/// Sequence: callers ask at one router without pause, then at all of them.
/// Cause: as above.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_is_reached_at_one_router_and_kept_over_all() {
    const PER_S: f64 = 6.0;
    let fleet = fleet(ROUTERS, json!({ "requests_per_s": PER_S })).await;
    let (_, other) = owner_and_other(&fleet);
    let start = Instant::now();
    let mut answered = 0;
    until("one router answers more than a third of the limit allows", async || {
        answered += flood(&fleet, &[other], 1, 1).await;
        answered as f64 > PER_S / ROUTERS as f64 * (start.elapsed().as_secs_f64() + 2.0) + 4.0
    })
    .await;
    for _ in 0..20 {
        answered += flood(&fleet, &[0, 1, 2], 12, 1).await;
    }
    let most = PER_S * (start.elapsed().as_secs_f64() + 3.0) + 4.0;
    assert!(answered as f64 <= most, "{answered} of at most {most}");
}

/// Symptom: all requests of a workspace are refused, or wait, since one router died.
/// Sequence: the owner of the workspace is killed; the other routers get more chats than the
/// limit allows, before and after they notice.
/// Cause: nobody may grant anything without the owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_leaves_the_workspace_answered_within_the_bound() {
    let mut fleet = fleet(ROUTERS, json!({ "concurrent_requests": CONCURRENT })).await;
    let (owner, _) = owner_and_other(&fleet);
    let others: Vec<usize> = (0..ROUTERS).filter(|router| *router != owner).collect();
    fleet.routers[owner].kill();
    until("the new owner lends the whole limit", async || {
        let whole = flood(&fleet, &others, 12, 50).await;
        assert!(whole > 0, "all were refused");
        whole >= CONCURRENT
    })
    .await;
    // Each router may grant one by itself until it knows its owner, beside what the owner lends.
    let peak = fleet.engines[0].totals().peak_running;
    assert!(peak <= (CONCURRENT + others.len()) as u64, "{peak}");
}

/// Symptom: a single router spends control traffic on limits, or does not keep them.
/// Sequence: more chats at once than the limit allows, at a fleet of one.
/// Cause: the router asks itself over a link, or lends nothing to itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_router_keeps_limits_without_messages() {
    let fleet = fleet(1, json!({ "concurrent_requests": CONCURRENT })).await;
    let held = hold(&fleet, 0).await;
    let refused = fleet.caller(0).chat(&chat(9, 1)).await.refused().unwrap();
    assert_eq!(refused.reason, "concurrency", "{}", refused.body);
    fleet.engines[0].set_faults(|faults| faults.stalled = false);
    for (chat, answer) in held {
        answer.await.unwrap().checked(&chat).unwrap();
    }
    assert_eq!(limit_bytes(&fleet).await, 0.0);
    assert_eq!(fleet.engines[0].totals().peak_running, CONCURRENT as u64);
}

/// Symptom: a workspace that names long answers and gets short ones is refused at a part of its
/// token limit.
/// Sequence: chats that may generate far more than they do, at a rate below the limit.
/// Cause: the estimate is charged and never replaced by what was used.
#[tokio::test(flavor = "multi_thread")]
async fn token_limits_charge_what_was_used() {
    const PER_S: u64 = 1_000;
    let fleet = fleet(1, json!({ "tokens_per_s": PER_S })).await;
    let mut estimated = 0;
    let start = Instant::now();
    let caller = fleet.caller(0);
    until("more was estimated than the limit allows to use", async || {
        let mut cancelled = chat(1, 700);
        cancelled.headers.push(("x-deadline-ms".into(), "60".into()));
        match caller.chat(&cancelled).await {
            ChatOutcome::Refused(refused) if refused.status == 429 => {}
            _ => estimated += 700,
        }
        estimated as f64 > PER_S as f64 * (start.elapsed().as_secs_f64() + 3.0) + 4.0 * 700.0
    })
    .await;
}
