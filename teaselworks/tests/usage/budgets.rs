//! Budgets of a fleet.

use serde_json::json;
use teaselworks_policy::membership::{Place, RouterInfo, RouterState, View, owner_of};
use teaselworks_policy::usage::{Period, Slot};
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE};
use teaselworks_standin::router::{Program, RouterProcess};

use crate::fixture::{until, worked};

// Symptom: a workspace goes on when its budget is spent, or is refused while there is plenty.
// Sequence: three routers take its chats; answers to draws get lost; the platform goes down, and
// the router that owns the budget is killed; in the end the budget is spent.
// Cause: routers that each believe to hold what is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_budget_holds_for_the_fleet_through_outage_and_kill() {
    const BUDGET_TOKENS: u64 = 10_000;
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let plan = FleetPlan::new(program, 3, 2).with_configuration(|configuration| {
        let budget = json!({ "tokens": BUDGET_TOKENS, "period_ms": 36_500 * 86_400_000_u64 });
        configuration["workspaces"][WORKSPACE]["budget"] = budget;
    });
    let mut fleet = Fleet::start(plan).await.unwrap();
    let whole = |outcome| matches!(outcome, ChatOutcome::Whole(_)).then_some(());
    fleet.platform.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "teaselworks/budget/".into();
    });
    let ask = async |fleet: &Fleet, router: usize, number: usize| {
        let text = format!("{number}. Tell the ballad of Lepa Vida. ").repeat(5);
        fleet.caller(router).chat(&Chat::new(MODEL, &text, 20)).await
    };
    for number in 0..6 {
        until(async || whole(ask(&fleet, number % 3, number).await)).await;
    }
    assert_eq!(fleet.platform.faults().lose_answers, 0, "no draw lost its answer");
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    for number in 6..7 {
        until(async || whole(ask(&fleet, number % 3, number).await)).await;
    }
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    let owner = budget_owner(&fleet);
    let refusal = until(async || {
        let number = fleet.engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
        if number == 20 {
            fleet.routers[owner].kill();
        }
        match ask(&fleet, (owner + 1 + number % 2) % 3, number).await {
            ChatOutcome::Refused(refused) if refused.reason == "budget" => Some(refused),
            _ => None,
        }
    })
    .await;
    assert_eq!(refusal.status, 429);
    assert_eq!(refusal.verdict, "not_run");
    let rows = fleet.routers[(owner + 1) % 3].get("/v1/workspaces").await.unwrap();
    let row = rows.as_array().unwrap().iter().find(|row| row["workspace"] == WORKSPACE).unwrap();
    let drawn = row["used_tokens"].as_u64().unwrap() + row["reserved_tokens"].as_u64().unwrap();
    assert!(row["used_tokens"].as_u64() > Some(0) && drawn <= BUDGET_TOKENS, "{row}");
    let worked = worked(&fleet);
    assert!(worked <= BUDGET_TOKENS, "{worked} tokens");
    assert!(worked >= BUDGET_TOKENS / 2, "{worked} tokens, the rest is left unused");
}

/// Returns the router that owns the workspace's budget.
fn budget_owner(fleet: &Fleet) -> usize {
    let router = |(index, router): (usize, &RouterProcess)| RouterInfo {
        name: router.name().into(),
        incarnation: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        place: Place { region: "region-1".into(), zone: index.to_string().into() },
        state: RouterState::Alive,
    };
    let view = View::new(1, fleet.routers.iter().enumerate().map(router).collect());
    let slot = Slot::of(Period::default(), WORKSPACE);
    let owner = &owner_of(&view, &slot.owner_name(), None).unwrap().name;
    fleet.routers.iter().position(|router| router.name() == &**owner).unwrap()
}
