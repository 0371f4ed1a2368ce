//! Links that carry nothing though they look open: what a chat waits for, and whom it doubts.

use std::time::Duration;

use serde_json::json;
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE, until};
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

/// Time of a chat; far above what a loaded machine needs, and far below the time to giving up.
const DEADLINE_MS: &str = "20000";
/// Time after which a silent link is given up.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Number of the router that owns no engine: its zone has none.
const ENTRY: usize = 2;
const TOKENS: u32 = 20;
/// Length of an answer that is still going on when a fault is caused.
const LONG_TOKENS: u32 = 1_000;
/// Time in which a use that is written once more would show.
const REPEATED_WRITE: Duration = Duration::from_secs(10);

fn plan() -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, 3, 2)
        .with_settings(|_, settings| settings.links.idle_timeout_ms = IDLE_TIMEOUT_MS);
    plan.zones = vec!["zone-a".into(), "zone-b".into(), "zone-c".into()];
    plan.proxy_links = true;
    plan
}

fn chat(number: usize) -> Chat {
    let text = format!("Gloss the verse of ballad number {number}.");
    Chat::new(MODEL, &text, TOKENS).header("x-deadline-ms", DEADLINE_MS)
}

/// Plans engines that resume, with answers that take seconds.
fn resuming_plan() -> FleetPlan {
    let mut plan =
        plan().with_configuration(|value| value["models"][MODEL]["resumes"] = json!(true));
    plan.engine.step = Duration::from_millis(3);
    plan
}

fn commentary(number: usize) -> Chat {
    let text = format!("Comment on ballad number {number}, verse by verse.");
    Chat::new(MODEL, &text, LONG_TOKENS).header("x-deadline-ms", DEADLINE_MS)
}

/// Begins the only chat and returns, with its answer to come, its owner once tokens flow.
async fn begin(fleet: &Fleet, chat: &Chat) -> (JoinHandle<ChatOutcome>, usize) {
    let answer = tokio::spawn({
        let (caller, chat) = (fleet.caller(ENTRY), chat.clone());
        async move { caller.chat(&chat).await }
    });
    until("an answer is in its middle", async || {
        fleet.engines.iter().any(|engine| engine.totals().output_tokens > 30)
    })
    .await;
    (answer, owner_at_work(fleet).await)
}

async fn entry_counts(fleet: &Fleet, name: &str, label: &str) -> f64 {
    fleet.routers[ENTRY].metric(name, &[label]).await.unwrap()
}

async fn doubted_attempts(fleet: &Fleet, decision: &str) -> f64 {
    let label = format!("decision=\"{decision}\"");
    entry_counts(fleet, "teaselworks_doubted_attempts_total", &label).await
}

/// Checks that the answer is whole though the link that it began on is neither mended nor given up.
async fn is_whole_before_the_links_end(
    fleet: &Fleet,
    chat: &Chat,
    answer: JoinHandle<ChatOutcome>,
) {
    let answer = answer.await.unwrap().checked(chat).unwrap();
    println!("longest pause {:?}", answer.longest_pause);
    assert!(doubted_attempts(fleet, "left").await >= 1.0);
    assert!(entry_counts(fleet, "teaselworks_retries_total", "reason=\"resumed\"").await >= 1.0);
    let silent = entry_counts(fleet, "teaselworks_link_ends_total", "cause=\"silent\"");
    assert_eq!(silent.await, 0.0);
}

/// Returns the engines' runs of all attempts.
fn runs(fleet: &Fleet) -> Vec<u32> {
    fleet.engines.iter().flat_map(|engine| engine.runs_by_id().into_values()).collect()
}

async fn charged(fleet: &Fleet, kind: &str) -> u64 {
    let path = format!("/v1/workspaces/use?workspace={WORKSPACE}");
    let report = fleet.routers[ENTRY].get(&path).await.unwrap();
    report["rows"].as_array().unwrap().iter().map(|row| row[kind].as_u64().unwrap()).sum()
}

/// Checks that each attempt that an engine ran is charged once: all that reached the caller, and
/// nothing that was not generated. What the engine of the attempt that was left generates until it
/// is told waits in its connection, unseen by the owner, whose window to the entry is full.
async fn each_run_is_charged_once(fleet: &Fleet) {
    let count = runs(fleet).len() as u64;
    until("every run is charged", async || charged(fleet, "attempts").await >= count).await;
    tokio::time::sleep(REPEATED_WRITE).await;
    assert_eq!(charged(fleet, "attempts").await, count);
    let generated: u64 = fleet.engines.iter().map(|engine| engine.totals().output_tokens).sum();
    let tokens = charged(fleet, "output_tokens").await;
    let answered = u64::from(LONG_TOKENS);
    assert!((answered..=generated).contains(&tokens), "{tokens} of {generated}");
}

/// Returns the owner of the engine that ran the only chat so far.
async fn owner_at_work(fleet: &Fleet) -> usize {
    let engine = fleet.engines.iter().position(|engine| engine.totals().output_tokens > 0).unwrap();
    let rows = fleet.routers[ENTRY].get("/v1/upstreams").await.unwrap();
    let name = format!("engine-{engine}");
    let row = rows.as_array().unwrap().iter().find(|row| row["name"] == name).unwrap();
    row["owner"].as_str().unwrap().strip_prefix("router-").unwrap().parse().unwrap()
}

/// Asks the same chat again and again; each must be answered whole.
async fn ask(fleet: &Fleet, chat: &Chat) {
    for _ in 0..3 {
        let answer = fleet.caller(ENTRY).chat(chat).await.checked(chat).unwrap();
        println!("first token after {:?}", answer.first_token);
    }
    let lost = fleet.routers[ENTRY].metric("teaselworks_retries_total", &["reason=\"owner_lost\""]);
    assert!(lost.await.unwrap() >= 1.0);
}

/// Symptom: a chat is refused for its deadline though another engine stands idle.
/// Sequence: the link to its owner carries nothing any more, but stays open; the chat is sent on
/// it. Cause: TCP tells of such a link after many minutes, the timeout of silence after seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_leaves_a_half_open_link_before_its_deadline() {
    let fleet = Fleet::start(plan()).await.unwrap();
    let chat = chat(1);
    fleet.caller(ENTRY).chat(&chat).await.checked(&chat).unwrap();
    let owner = owner_at_work(&fleet).await;
    // Either of the two may have opened the link.
    for router in [ENTRY, owner] {
        fleet.link_proxies[router].stall();
    }
    ask(&fleet, &chat).await;
}

/// Symptom: as above.
/// Sequence: the owner's process stands still; its machine goes on to acknowledge what it receives.
/// Cause: as above; a connection's own timeouts do not see it at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_leaves_a_frozen_owner_before_its_deadline() {
    let fleet = Fleet::start(plan()).await.unwrap();
    let chat = chat(2);
    fleet.caller(ENTRY).chat(&chat).await.checked(&chat).unwrap();
    let owner = owner_at_work(&fleet).await;
    fleet.routers[owner].freeze();
    ask(&fleet, &chat).await;
    fleet.routers[owner].thaw();
}

/// Symptom: a commentary stops in the middle of a verse, until its link is given up.
/// Sequence: the owner's process stands still while tokens flow.
/// Cause: only an answer of which nothing came yet leaves an owner in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn a_begun_answer_leaves_a_frozen_owner() {
    let fleet = Fleet::start(resuming_plan()).await.unwrap();
    let chat = commentary(4);
    let (answer, owner) = begin(&fleet, &chat).await;
    fleet.routers[owner].freeze();
    is_whole_before_the_links_end(&fleet, &chat, answer).await;
    fleet.routers[owner].thaw();
    until("the thawed owner has cancelled the attempt that was left", async || {
        let running = fleet.routers[owner].metric("teaselworks_running", &[]).await;
        running == Ok(0.0)
    })
    .await;
    assert!(runs(&fleet).iter().all(|times| *times == 1));
}

/// Symptom: as above; or, once the link carries again, tokens come twice.
/// Sequence: the link carries nothing for a while, in the middle of an answer; then it brings what
/// the owner sent meanwhile. Cause: as above; frames are taken for the attempt that runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_begun_answer_leaves_a_half_open_link_and_its_late_frames() {
    let fleet = Fleet::start(resuming_plan()).await.unwrap();
    let chat = commentary(5);
    let (answer, owner) = begin(&fleet, &chat).await;
    let proxies = [ENTRY, owner].map(|router| &fleet.link_proxies[router]);
    proxies.iter().for_each(|proxy| proxy.set_frozen(true));
    is_whole_before_the_links_end(&fleet, &chat, answer).await;
    proxies.iter().for_each(|proxy| proxy.set_frozen(false));
    until("late frames are dropped and counted", async || {
        let dropped = "teaselworks_link_frames_dropped_total";
        entry_counts(&fleet, dropped, "cause=\"unknown_stream\"").await >= 1.0
    })
    .await;
    // Two attempts, or more: the link to the next owner is as dead where that one had dialed it.
    let runs = runs(&fleet);
    assert!(runs.len() >= 2 && runs.iter().all(|times| *times == 1), "{runs:?}");
    each_run_is_charged_once(&fleet).await;
}

/// Symptom: an owner that pauses for a moment costs answers, or their work a second time.
/// Sequence: the owner stands still in the middle of an answer that no other engine can go on
/// with, or when no retry is left; then it comes back. Cause: a doubt is taken for a loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_begun_answer_that_cannot_move_waits_for_its_owner() {
    let plans = [("not_resumable", true), ("no_budget", false)];
    for (number, (decision, keeps_budget)) in plans.into_iter().enumerate() {
        let mut plan = plan().with_configuration(move |value| {
            value["models"][MODEL]["resumes"] = json!(!keeps_budget);
            if !keeps_budget {
                value["policy"] = json!({ "retry_ratio": 0.0, "retry_burst": 0 });
            }
        });
        plan.engine.step = Duration::from_millis(3);
        let fleet = Fleet::start(plan).await.unwrap();
        let chat = commentary(6 + number);
        let (answer, owner) = begin(&fleet, &chat).await;
        fleet.routers[owner].freeze();
        until("the entry doubts the owner", async || {
            doubted_attempts(&fleet, decision).await >= 1.0
        })
        .await;
        fleet.routers[owner].thaw();
        answer.await.unwrap().checked(&chat).unwrap();
        assert_eq!(runs(&fleet), [1]);
    }
}

/// Symptom: chats are refused for a spent retry budget though nothing failed.
/// Sequence: a chat is sent to an owner that stands still for a moment; no retry is left.
/// Cause: a doubt ends the attempt before anybody asks whether another one may follow.
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_beyond_the_retry_budget_waits_for_a_silent_owner() {
    let plan = plan().with_configuration(|value| {
        value["policy"] = json!({ "retry_ratio": 0.0, "retry_burst": 0 });
    });
    let fleet = Fleet::start(plan).await.unwrap();
    let chat = chat(8);
    fleet.caller(ENTRY).chat(&chat).await.checked(&chat).unwrap();
    let owner = owner_at_work(&fleet).await;
    fleet.routers[owner].freeze();
    let answer = tokio::spawn({
        let (caller, chat) = (fleet.caller(ENTRY), chat.clone());
        async move { caller.chat(&chat).await }
    });
    until("the chat waits for the owner in doubt", async || {
        doubted_attempts(&fleet, "no_budget").await >= 1.0 || answer.is_finished()
    })
    .await;
    fleet.routers[owner].thaw();
    answer.await.unwrap().checked(&chat).unwrap();
    assert_eq!(runs(&fleet), [1, 1]);
}

/// Symptom: a request that must not run twice is refused as one that may have run, though it ran.
/// Sequence: it is sent to an owner that says nothing for a moment.
/// Cause: the entry gives it up as it gives up chats, which may be asked elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_waits_for_a_silent_owner() {
    let plan = plan().with_configuration(|value| {
        value["models"][MODEL]["reproducible"] = json!(false);
        value["models"][MODEL]["at_most_once"] = json!(true);
    });
    let fleet = Fleet::start(plan).await.unwrap();
    let first = chat(3);
    fleet.caller(ENTRY).chat(&first).await.checked(&first).unwrap();
    let owner = owner_at_work(&fleet).await;
    let again = chat(3).header("idempotency-key", "gloss-3");
    fleet.routers[owner].freeze();
    let answer = tokio::spawn({
        let (caller, again) = (fleet.caller(ENTRY), again.clone());
        async move { caller.chat(&again).await }
    });
    // Several times the time after which chats that may be repeated leave.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.routers[owner].thaw();
    answer.await.unwrap().checked(&again).unwrap();
    assert_eq!(runs(&fleet).iter().sum::<u32>(), 2);
}

/// Symptom: a busy evening cuts links, and what was on them makes the next routers busier still.
/// Sequence: many chats at once keep every router and engine busy.
/// Cause: a router that is slow to answer a ping is taken for lost.
#[tokio::test(flavor = "multi_thread")]
async fn busy_routers_keep_their_links() {
    const ROUNDS: usize = 6;
    // As many as the engines have places: a refusal for a full queue would tell nothing here.
    const CHATS: usize = 40;
    let fleet = Fleet::start(plan()).await.unwrap();
    for round in 0..ROUNDS {
        let mut answers = Vec::new();
        for number in 0..CHATS {
            let caller = fleet.caller(number % fleet.routers.len());
            let chat = chat(100 + round * CHATS + number);
            answers.push(tokio::spawn(async move { caller.chat(&chat).await.checked(&chat) }));
        }
        for answer in answers {
            answer.await.unwrap().unwrap();
        }
    }
    for router in &fleet.routers {
        for cause in ["cause=\"silent\"", "cause=\"overflow\"", "cause=\"broken\""] {
            assert_eq!(router.metric("teaselworks_link_ends_total", &[cause]).await.unwrap(), 0.0);
        }
    }
}
