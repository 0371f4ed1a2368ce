//! Engines and routers that leave, freeze and flap, with real routers and many chats at once.
//!
//! Checked from outside in each: every chat has exactly one final outcome, its own, whole or an
//! explicit error, and what was refused as "not run" was run by no engine.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, KEY, MODEL, OTHER_KEY, until};
use teaselworks_standin::router::Program;
use teaselworks_standin::vm_list::{Vm, VmKind, VmState};
use tokio::task::JoinSet;

/// Length of an answer in tokens.
const TOKENS: u32 = 120;
/// A pause longer than the fleet takes to give a router up.
const LONG_PAUSE: Duration = Duration::from_secs(6);

fn plan(routers: usize, engines: usize) -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    FleetPlan::new(program, routers, engines)
        .with_configuration(|value| value["models"][MODEL]["resumes"] = json!(true))
}

/// What became of many chats.
#[derive(Debug, Default)]
struct Outcomes {
    whole: usize,
    refused: BTreeMap<String, usize>,
    broken: usize,
}

/// Sends chats to all routers in turn; fails on an answer that is foreign, cut or missing.
async fn send(fleet: &Fleet, prefix: &str, chats: usize) -> Outcomes {
    send_with(fleet, KEY, prefix, chats).await
}

async fn send_with(fleet: &Fleet, key: &str, prefix: &str, chats: usize) -> Outcomes {
    let mut tasks = JoinSet::new();
    for number in 0..chats {
        let caller = fleet.caller_with(number % fleet.routers.len(), key);
        let chat = Chat::new(MODEL, &format!("{prefix} {number}: which verse is it?"), TOKENS);
        tasks.spawn(async move { (caller.chat(&chat).await, chat) });
    }
    let mut outcomes = Outcomes::default();
    while let Some(ended) = tasks.join_next().await {
        let (outcome, chat) = ended.unwrap();
        match outcome {
            ChatOutcome::Refused(refused) => {
                assert!(!refused.reason.is_empty(), "{}", refused.body);
                if refused.verdict == "not_run" {
                    assert_eq!(runs_of(fleet, &refused.request_id), 0, "{}", refused.body);
                }
                *outcomes.refused.entry(refused.reason).or_default() += 1;
            }
            ChatOutcome::Broken { text, error } => {
                assert!(chat.expected().starts_with(&text), "{text}");
                assert!(error.contains("\"verdict\""), "{error}");
                outcomes.broken += 1;
            }
            other => {
                other.checked(&chat).unwrap();
                outcomes.whole += 1;
            }
        }
    }
    outcomes
}

/// Returns how often the attempts of a request ran, over all engines.
fn runs_of(fleet: &Fleet, request_id: &str) -> u32 {
    let mut runs = 0;
    for engine in &fleet.engines {
        for (id, times) in engine.runs_by_id() {
            if id.rsplit_once('.').is_some_and(|(request, _)| request == request_id) {
                runs += times;
            }
        }
    }
    runs
}

/// Lets the platform's list show an engine as leaving, and waits until every router sees it.
async fn take_away(fleet: &Fleet, engine: usize) {
    let name = format!("engine-{engine}");
    fleet.vm_list.update(|vms| {
        vms.push(Vm {
            name: name.clone(),
            kind: VmKind::Upstream,
            links: None,
            zone: "zone-a".into(),
            region: "region-1".into(),
            state: VmState::Leaving,
        });
    });
    until("every router sees it leave", async || {
        for router in &fleet.routers {
            let rows = router.get("/v1/upstreams").await.unwrap();
            let row = rows.as_array().unwrap().iter().find(|row| row["name"] == name).unwrap();
            if row["leaving"] != true {
                return false;
            }
        }
        true
    })
    .await;
}

/// Symptom: callers wait for an engine that is being taken away.
/// Sequence: the platform's list shows an engine as leaving, and then no longer shows it.
/// Cause: new work is placed by what the configuration says.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_work_and_finishes_what_it_has() {
    let fleet = Fleet::start(plan(3, 3)).await.unwrap();
    let long = Chat::new(MODEL, "A commentary that goes on.", 3_000);
    let caller = fleet.caller(0);
    let sent = long.clone();
    let answer = tokio::spawn(async move { caller.chat(&sent).await });
    let mut busy = 0;
    until("an engine is at work", async || {
        let at = fleet.engines.iter().position(|engine| engine.totals().output_tokens > 10);
        busy = at.unwrap_or(usize::MAX);
        at.is_some()
    })
    .await;
    take_away(&fleet, busy).await;
    let before = fleet.engines[busy].runs().len();
    fleet.vm_list.update(|vms| vms.retain(|vm| vm.kind == VmKind::Router));
    let outcomes = send(&fleet, "After leaving", 30).await;
    assert_eq!(outcomes.whole, 30, "{outcomes:?}");
    assert_eq!(fleet.engines[busy].runs().len(), before);
    answer.await.unwrap().checked(&long).unwrap();
}

/// Symptom: a router that stood still acts on views from before its pause.
/// Sequence: a router is frozen with chats in hand until others have taken over, then woken.
/// Cause: a paused process cannot notice that it was paused, unless it asks its clock.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_router_returns_without_harm() {
    let fleet = Fleet::start(plan(4, 4)).await.unwrap();
    assert_eq!(send(&fleet, "Before", 20).await.whole, 20);
    fleet.routers[3].freeze();
    let mut others = Vec::new();
    for number in 0..24 {
        let chat = Chat::new(MODEL, &format!("Meanwhile {number}"), TOKENS);
        let answer = fleet.caller(number % 3).chat(&chat).await;
        others.push(answer.checked(&chat));
    }
    let whole = others.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(whole, 24, "{others:?}");
    tokio::time::sleep(LONG_PAUSE).await;
    fleet.routers[3].thaw();
    let outcomes = send(&fleet, "After", 40).await;
    assert_eq!(outcomes.whole, 40, "{outcomes:?}");
}

/// Symptom: chats hang or are answered twice while an engine comes and goes.
/// Sequence: an engine crashes and returns again and again under load.
/// Cause: the circuit of a flapping engine, or attempts of an earlier life, count for its next.
#[tokio::test(flavor = "multi_thread")]
async fn flapping_engine_costs_no_answer() {
    let fleet = Fleet::start(plan(3, 4)).await.unwrap();
    let flap = async {
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_millis(150)).await;
            fleet.engines[0].crash();
            tokio::time::sleep(Duration::from_millis(150)).await;
            fleet.engines[0].restart().unwrap();
        }
    };
    let load = async {
        let mut whole = 0;
        for round in 0..8 {
            whole += send(&fleet, &format!("Round {round},"), 12).await.whole;
        }
        whole
    };
    let (whole, ()) = tokio::join!(load, flap);
    assert_eq!(whole, 96);
}

/// Symptom: an availability zone that is cut off stops answering, or the rest does.
/// Sequence: every link from and to the routers of one zone freezes, and later thaws.
/// Cause: one side waits for the other's owners instead of taking over.
#[tokio::test(flavor = "multi_thread")]
async fn zone_cut_off_goes_on_answering() {
    let mut plan = plan(4, 4).with_settings(|_, settings| settings.links.idle_timeout_ms = 500);
    plan.proxy_links = true;
    let fleet = Fleet::start(plan).await.unwrap();
    assert_eq!(send(&fleet, "Before", 16).await.whole, 16);
    // Routers 1 and 3 are in zone-b; links between the zones pass the proxy of the listening one.
    for router in [0, 1, 2, 3] {
        fleet.link_proxies[router].set_frozen(true);
    }
    let outcomes = send(&fleet, "Apart", 24).await;
    assert_eq!(outcomes.whole + outcomes.refused.values().sum::<usize>(), 24, "{outcomes:?}");
    tokio::time::sleep(LONG_PAUSE).await;
    let outcomes = send(&fleet, "Settled apart", 24).await;
    assert_eq!(outcomes.whole, 24, "{outcomes:?}");
    for proxy in &fleet.link_proxies {
        proxy.set_frozen(false);
    }
    let outcomes = send(&fleet, "Together", 24).await;
    assert_eq!(outcomes.whole, 24, "{outcomes:?}");
}

/// Symptom: one engine is hot while others idle.
/// Sequence: sixty chats of one conversation arrive at once, while load reports are frozen.
/// Cause: the conversation's home takes them all, since each is a chat that returns.
#[tokio::test(flavor = "multi_thread")]
async fn hot_conversation_is_spread_within_the_bound() {
    let mut plan = FleetPlan::new(Program::binary(env!("CARGO_BIN_EXE_teaselworks")), 3, 4)
        .with_configuration(|value| {
            value["policy"] = json!({ "bound_floor_tokens": 2_800, "running_requests": 64 });
        });
    // Slow enough that the chats' work hardly shrinks while they arrive.
    plan.engine.step = Duration::from_millis(50);
    let fleet = Fleet::start(plan).await.unwrap();
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.frozen_report = true);
    }
    // New owners keep to half of their bound until former ones have surely stopped.
    tokio::time::sleep(LONG_PAUSE).await;
    let mut tasks = JoinSet::new();
    for number in 0..60 {
        let caller = fleet.caller(number % 3);
        let chat = Chat::new(MODEL, &format!("The same ballad, verse {number}."), TOKENS)
            .header("x-conversation-id", "ballad-7");
        tasks.spawn(async move { caller.chat(&chat).await.checked(&chat).map(|_| ()) });
    }
    let mut whole = 0;
    while let Some(ended) = tasks.join_next().await {
        whole += usize::from(ended.unwrap().is_ok());
    }
    let peaks: Vec<u64> = fleet.engines.iter().map(|e| e.totals().peak_running).collect();
    let largest = peaks.iter().max().copied().unwrap_or_default();
    // A chat counts for about 130 tokens, so that the floor holds 21; a quarter each is 15.
    assert!(largest <= 24, "{peaks:?}, {whole} whole");
    assert_eq!(whole, 60, "{peaks:?}");
}

/// Symptom: callers are refused although every engine has room.
/// Sequence: long chats arrive at once at a fleet that stood idle.
/// Cause: the mean that the bound is a multiple of lags behind the loads that rise together.
#[tokio::test(flavor = "multi_thread")]
async fn burst_on_an_idle_fleet_is_not_refused() {
    let mut plan = plan(3, 4);
    plan.engine.step = Duration::from_millis(3);
    let fleet = Fleet::start(plan).await.unwrap();
    let long = "A ballad of many verses, to be commented on at length. ".repeat(400);
    let mut tasks = JoinSet::new();
    for number in 0..80 {
        let caller = fleet.caller(number % 3);
        let chat = Chat::new(MODEL, &format!("Ballad {number}. {long}"), TOKENS);
        tasks.spawn(async move { caller.chat(&chat).await.checked(&chat).map(|_| ()) });
    }
    let mut refused = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        refused.extend(ended.unwrap().err());
    }
    let peaks: Vec<u64> = fleet.engines.iter().map(|e| e.totals().peak_running).collect();
    assert!(refused.is_empty(), "{} refused, {peaks:?}: {:?}", refused.len(), refused.first());
}

/// Symptom: while one team surges, another team's callers are refused or cut.
/// Sequence: a workspace surges tenfold at engines of few places, and one of these leaves.
/// Cause: the room of the leaving engine goes to whoever asks most.
#[tokio::test(flavor = "multi_thread")]
async fn surge_while_an_engine_leaves_spares_the_other_workspace() {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let plan = FleetPlan::new(program, 3, 4).with_configuration(|value| {
        value["models"][MODEL]["resumes"] = json!(true);
        value["policy"] = json!({ "running_requests": 6, "queue_requests": 24 });
    });
    let fleet = Fleet::start(plan).await.unwrap();
    let surge = async {
        let mut ended = 0;
        for round in 0..3 {
            let outcomes = send_with(&fleet, KEY, &format!("Surge {round},"), 60).await;
            ended += outcomes.whole + outcomes.refused.values().sum::<usize>();
        }
        ended
    };
    let steady = async {
        let mut outcomes = Vec::new();
        for round in 0..6 {
            let prefix = format!("Steady {round},");
            outcomes.push(send_with(&fleet, OTHER_KEY, &prefix, 6).await);
        }
        outcomes
    };
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        take_away(&fleet, 0).await;
        // Owners look every 250 ms.
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.engines[0].runs().len()
    };
    let (ended, steady, runs) = tokio::join!(surge, steady, leave);
    assert_eq!(ended, 180);
    assert!(steady.iter().all(|outcomes| outcomes.whole == 6), "{steady:?}");
    assert_eq!(fleet.engines[0].runs().len(), runs);
}
