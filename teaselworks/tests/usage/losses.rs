//! Owners that are lost in the middle of their chats.

use std::time::Duration;

use teaselworks_standin::caller::Chat;
use teaselworks_standin::engine::batch::{Run, RunState};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL};
use teaselworks_standin::router::Program;
use tokio::task::JoinSet;

use crate::fixture::{charged, chat, until};

/// What becomes of an owner in the middle of its chats.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Loss {
    Killed,
    KilledWithItsCallers,
    Frozen,
}

/// What was charged and done.
struct Charged {
    tokens: u64,
    attempts: u64,
    generated: u64,
    runs: u64,
}

/// Takes the owner of six streaming chats away and waits for the use to be charged.
async fn lose_an_owner(loss: Loss) -> Charged {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 3, 1);
    plan.engine.step = Duration::from_millis(50);
    let mut fleet = Fleet::start(plan).await.unwrap();
    chat(&fleet, 0, 0).await;
    let mut owner = 0;
    for router in 0..3 {
        let attempts = fleet.routers[router].metric("teaselworks_use_attempts_total", &[]).await;
        owner = if attempts.unwrap() > 0.0 { router } else { owner };
    }
    let other = (owner + 1) % 3;
    let with_callers = loss == Loss::KilledWithItsCallers;
    let mut chats = JoinSet::new();
    for number in 1..7 {
        let text = format!("{number}. Tell the ballad of Lepa Vida. ").repeat(5);
        let chat = Chat::new(MODEL, &text, 120);
        let caller = fleet.caller(if with_callers { owner } else { other });
        chats.spawn(async move { caller.chat(&chat).await.checked(&chat).map(|_| ()) });
    }
    let runs = |fleet: &Fleet| fleet.engines[0].runs();
    let streaming = |run: &&Run| run.state == RunState::Running && run.output_tokens >= 60;
    until(async || (runs(&fleet).iter().filter(streaming).count() == 6).then_some(())).await;
    match loss {
        Loss::Frozen => fleet.routers[owner].freeze(),
        _ => fleet.routers[owner].kill(),
    }
    while let Some(chat) = chats.join_next().await {
        assert_eq!(chat.unwrap().is_err(), with_callers);
    }
    if loss == Loss::Frozen {
        fleet.routers[owner].thaw();
    }
    until(async || (!runs(&fleet).iter().any(|run| streaming(&run))).then_some(())).await;
    // Until the charge has not changed for longer than it takes to learn of a loss and to write.
    let mut last = (0, tokio::time::Instant::now());
    let tokens = until(async || {
        let tokens = charged(&fleet, other, "output_tokens").await?;
        if tokens != last.0 {
            last = (tokens, tokio::time::Instant::now());
        }
        (last.1.elapsed() > Duration::from_secs(25)).then_some(tokens)
    });
    let tokens = tokens.await;
    let runs = runs(&fleet);
    Charged {
        tokens,
        attempts: charged(&fleet, other, "attempts").await.unwrap(),
        generated: runs.iter().map(|run| u64::from(run.output_tokens)).sum(),
        runs: runs.len() as u64,
    }
}

impl Charged {
    /// Checks that each run was charged once, less at most `lost` tokens of each of the six.
    fn check(&self, lost: u64) {
        let Charged { tokens, attempts, generated, runs } = *self;
        assert_eq!(attempts, runs, "attempts charged, runs of the engine");
        assert!(tokens <= generated, "{tokens} tokens charged for {generated}");
        assert!(tokens + 6 * lost >= generated, "{tokens} tokens charged for {generated}");
    }
}

// Symptom: what a router generated in its last second is charged to nobody.
// Sequence: chats stream through an entry and an owner; the owner is killed in the middle; the
// chats are continued by another owner.
// Cause: the owner charges an attempt at its end, and had not come to it.
#[tokio::test(flavor = "multi_thread")]
async fn the_tokens_of_a_killed_owner_are_charged() {
    // Tokens on their way at the moment of the kill reached nobody.
    lose_an_owner(Loss::Killed).await.check(10);
}

// Symptom: what a router generated for its own callers is charged to nobody when it is killed.
// Sequence: chats stream through a router that is entry and owner; it is killed in the middle.
// Cause: no other router saw them.
#[tokio::test(flavor = "multi_thread")]
async fn the_tokens_that_only_a_killed_router_saw_are_charged() {
    // Progress is told once a second, 20 tokens, and may wait as long for its message.
    lose_an_owner(Loss::KilledWithItsCallers).await.check(50);
}

// Symptom: chats are charged twice.
// Sequence: their owner is frozen in the middle and taken for lost; their entry has them continued
// by another owner and claims what it saw; the frozen one wakes and charges what it did.
// Cause: two routers that both know of an attempt, and neither of the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_that_wakes_charges_nothing_twice() {
    // The engine generated on for the frozen router: up to the 60 tokens that were left.
    lose_an_owner(Loss::Frozen).await.check(70);
}
