//! Fleets whose use is compared with the work of their engines.

use std::time::Duration;

use teaselworks_standin::caller::Chat;
use teaselworks_standin::checker::{History, Observation};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE};
use teaselworks_standin::router::Program;

/// Longest wait for something that takes seconds.
pub const PATIENCE: Duration = Duration::from_secs(90);

/// Waits until `look` sees something.
pub async fn until<T>(mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    loop {
        if let Some(seen) = look().await {
            return seen;
        }
        assert!(tokio::time::Instant::now() < deadline, "nothing to be seen in time");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

pub async fn start(routers: usize) -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    Fleet::start(FleetPlan::new(program, routers, 2)).await.unwrap()
}

pub async fn chat(fleet: &Fleet, router: usize, number: usize) {
    let text = format!("{number}. Tell the ballad of Lepa Vida. ").repeat(5);
    let chat = Chat::new(MODEL, &text, 6 + number as u32);
    fleet.caller(router).chat(&chat).await.checked(&chat).unwrap();
}

/// Returns the tokens of a kind charged to the workspace, as a router reports them.
pub async fn charged(fleet: &Fleet, router: usize, kind: &str) -> Option<u64> {
    let path = format!("/v1/workspaces/use?workspace={WORKSPACE}");
    let report = fleet.routers[router].get(&path).await.ok()?;
    report["rows"].as_array()?.iter().map(|row| row[kind].as_u64()).sum()
}

/// Returns all tokens charged to the workspace.
pub async fn all_charged(fleet: &Fleet, router: usize) -> Option<u64> {
    let prompt = charged(fleet, router, "prompt_tokens").await?;
    Some(prompt + charged(fleet, router, "output_tokens").await?)
}

pub fn worked(fleet: &Fleet) -> u64 {
    fleet.engines.iter().flat_map(|engine| engine.runs()).map(|run| run.spent_tokens()).sum()
}

/// Waits until the use that a router reports equals the engines' own counts, and checks that it
/// stays so while every write might be repeated.
pub async fn check_use(fleet: &Fleet, router: usize) {
    let work = worked(fleet);
    assert!(work > 0);
    until(async || (all_charged(fleet, router).await? >= work).then_some(())).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut history = History::default();
    history.add_engines(&fleet.engines, |_| Some(WORKSPACE.into()));
    let tokens = all_charged(fleet, router).await.unwrap();
    history.add(Observation::Charged { workspace: WORKSPACE.into(), tokens });
    history.assert_valid();
}

/// Returns the attempts that a router holds as its own and as copies.
pub async fn copies(fleet: &Fleet, router: usize) -> Option<(u64, u64)> {
    let metric = async |part| {
        let value = fleet.routers[router].metric("teaselworks_use_held", &[part]).await;
        value.ok().map(|value| value as u64)
    };
    Some((metric("part=\"own\"").await?, metric("part=\"copies\"").await?))
}
