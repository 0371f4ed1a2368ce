//! Reports of engines' load, asked for by a real owner.

use std::time::Duration;

use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, until};
use teaselworks_standin::router::Program;

/// Reports of a doubted replica: as many as are compared.
const REPORTS: f64 = 3.0;
/// Time in which a router that is alone became the only owner, and saved up for three reports.
const QUIET: Duration = Duration::from_secs(20);

async fn report_bytes(fleet: &Fleet) -> f64 {
    let labels = ["purpose=\"upstream\""];
    fleet.routers[0].metric("teaselworks_control_bytes_total", &labels).await.unwrap()
}

/// Symptom: an owner goes on admitting to an engine that others fill. Sequence: nothing changed
/// for a while, so that the engine is hardly asked; then it refuses an attempt for want of room.
/// Cause: it is asked at its next turn, minutes later.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_refuses_is_asked_at_once_and_a_quiet_one_hardly() {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let fleet = Fleet::start(FleetPlan::new(program, 1, 1)).await.unwrap();
    tokio::time::sleep(QUIET).await;
    let page = reqwest::get(format!("{}/metrics", fleet.engines[0].url())).await.unwrap();
    let page_bytes = page.bytes().await.unwrap().len() as f64;

    let before = report_bytes(&fleet).await;
    tokio::time::sleep(QUIET).await;
    let quiet = report_bytes(&fleet).await - before;
    assert!(quiet <= 1.5 * page_bytes, "{quiet} bytes in quiet times, {page_bytes} a page");

    let before = report_bytes(&fleet).await;
    fleet.engines[0].set_faults(|faults| faults.refuse_chats = 1);
    let outcome = fleet.caller(0).chat(&Chat::new(MODEL, "Which verse?", 4)).await;
    assert!(!matches!(outcome, ChatOutcome::Broken { .. }), "{outcome:?}");
    until("asked closely", async || {
        report_bytes(&fleet).await - before >= (REPORTS - 0.5) * page_bytes
    })
    .await;
}
