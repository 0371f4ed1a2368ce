//! Use and budgets: what operators are told equals what engines did.

mod budgets;
mod fixture;
mod losses;
mod service;

use std::collections::BTreeMap;
use std::time::Duration;

use teaselworks_standin::caller::Chat;
use teaselworks_standin::engine::batch::{Run, RunState};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL};
use teaselworks_standin::router::Program;

use self::fixture::{
    PATIENCE, all_charged, charged, chat, check_use, copies, start, until, worked,
};

// Symptom: a month's use is higher than the engines' counts.
// Sequence: the platform applies a write of use and loses its answer; the router writes once more
// what it could not see confirmed.
// Cause: a sum that is added without a mark of what it contains.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_charge_nobody_twice() {
    let fleet = start(3).await;
    fleet.platform.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "teaselworks/use/".into();
    });
    for number in 0..9 {
        chat(&fleet, number % 3, number).await;
    }
    check_use(&fleet, 0).await;
    assert_eq!(fleet.platform.faults().lose_answers, 0, "no write of use lost its answer");
}

// Symptom: the use of a killed router never reaches the platform.
// Sequence: the platform is down; chats end; a second later the router that owns their replicas
// is killed; the platform comes back.
// Cause: use that only its router holds goes with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_routers_use_reaches_the_platform() {
    let mut fleet = start(3).await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    for number in 0..6 {
        chat(&fleet, number % 3, number).await;
    }
    let mut held = BTreeMap::new();
    for router in 0..3 {
        held.insert(router, until(async || copies(&fleet, router).await).await);
    }
    let lost = (0..3).max_by_key(|router| held[router].0).unwrap();
    until(async || {
        let mut copied = 0;
        for router in 0..3 {
            copied += copies(&fleet, router).await?.1;
        }
        (copied >= 6).then_some(())
    })
    .await;
    fleet.routers[lost].kill();
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    check_use(&fleet, (lost + 1) % 3).await;
}

// Symptom: a chat that its caller gives up, or that the engine breaks off, is charged nothing, or
// whole.
// Sequence: four callers go away in the middle; the engine breaks two answers off, which are
// continued.
// Cause: use that is told only at the end of a whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_and_broken_chats_are_charged_what_they_used() {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 2, 1);
    plan.engine.step = Duration::from_millis(30);
    let fleet = Fleet::start(plan).await.unwrap();
    fleet.engines[0].set_faults(|faults| {
        faults.break_chats = 2;
        faults.break_after_tokens = 8;
    });
    for number in 0..3 {
        chat(&fleet, number % 2, number).await;
    }
    for number in 3..7 {
        let text = format!("{number}. Tell the ballad of Lepa Vida. ").repeat(5);
        let mut answer =
            fleet.caller(number % 2).open(&Chat::new(MODEL, &text, 400)).await.unwrap();
        for _ in 0..10 {
            answer.chunk().await.unwrap().unwrap();
        }
    }
    let runs = || fleet.engines[0].runs();
    let ended = |run: &Run| matches!(run.state, RunState::Finished | RunState::Cancelled);
    until(async || runs().iter().all(ended).then_some(())).await;
    let (work, count) = (worked(&fleet), runs().len() as u64);
    until(async || (charged(&fleet, 0, "attempts").await? >= count).then_some(())).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(charged(&fleet, 0, "attempts").await, Some(count));
    let tokens = all_charged(&fleet, 0).await.unwrap();
    assert!(tokens <= work, "{tokens} tokens charged for {work}");
    // The engine generates on until it sees that nobody listens.
    assert!(tokens + 6 * 20 >= work, "{tokens} tokens charged for {work}");
}

// Symptom: a planned stop loses use, or waits for the platform.
// Sequence: the platform is down; a chat ends; its router is asked to stop, and ends; the
// platform comes back.
// Cause: a stop that neither waits for the platform nor hands over what it holds.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_its_use_over() {
    let mut fleet = start(2).await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    for number in 0..4 {
        chat(&fleet, 0, number).await;
    }
    fleet.routers[0].terminate();
    let status = fleet.routers[0].until_exit(PATIENCE).await;
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    check_use(&fleet, 1).await;
}
