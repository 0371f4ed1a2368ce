//! Against a fleet of real routers.

use serde_json::{Value, json};
use teaselworks::cli::ExitCode;
use teaselworks_standin::caller::Chat;
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL, WORKSPACE, until};
use teaselworks_standin::router::Program;

use crate::{BINARY, Ended, run};

/// Runs a command that talks to a router of the fleet.
fn at(fleet: &Fleet, router: usize, args: &[&str], input: &str) -> Ended {
    let url = fleet.routers[router].operators_url();
    run(BINARY, &[args, &["--operator", &url]].concat(), input)
}

// Symptom: two operators each believe that their patch is the next one, or one sees an old list.
// Sequence: a patch through one router, another against the same number through the other router,
// the first one again under its id, and each list.
// Cause: command line and routers that understand each other's answers differently.
#[tokio::test(flavor = "multi_thread")]
async fn patches_and_lists_work_through_any_router() {
    let fleet = Fleet::start(FleetPlan::new(Program::binary(BINARY), 2, 2)).await.unwrap();
    let patch = json!({ "workspaces": { WORKSPACE: { "weight": 3 } } }).to_string();
    let args = ["config", "patch", "--expect", "1", "--author", "mojca", "-"];

    let dry = at(&fleet, 0, &[&args[..], &["--dry-run"]].concat(), &patch);
    assert_eq!(dry.out, format!("+ workspaces.{WORKSPACE}.weight: 3\n"), "{dry:?}");
    let first = [&args[..], &["--id", "mojca-1", "--reason", "festival"]].concat();
    let accepted = at(&fleet, 0, &first, &patch);
    assert!(accepted.out.ends_with("Accepted as version 2.\n"), "{accepted:?}");

    let stale = at(&fleet, 1, &args, "{ \"policy\": { \"retry_burst\": 4 } }");
    assert_eq!(stale.code, ExitCode::Stale as i32, "{stale:?}");
    assert!(stale.err.contains("2 by mojca at "), "{stale:?}");
    assert!(stale.err.contains(": festival\n"), "{stale:?}");
    let again = at(&fleet, 1, &first, &patch);
    assert!(again.out.ends_with("Accepted as version 2.\n"), "{again:?}");

    until("version 2 in force at both routers", async || {
        let status = at(&fleet, 0, &["config", "status", "--json"], "");
        let status: Value = serde_json::from_str(&status.out).unwrap();
        let routers = status["routers"].as_array().unwrap();
        routers.len() == 2 && routers.iter().all(|router| router["version"] == 2)
    })
    .await;
    let got = at(&fleet, 1, &["config", "get", "--json"], "");
    let got: Value = serde_json::from_str(&got.out).unwrap();
    assert_eq!(got["version"], 2);
    assert_eq!(got["configuration"]["workspaces"][WORKSPACE]["weight"], 3);
    let history = at(&fleet, 1, &["config", "history"], "");
    let lines: Vec<&str> = history.out.lines().collect();
    assert!(lines[1].starts_with("2 ") && lines[1].ends_with("festival  mojca-1"), "{history:?}");
    assert!(lines[2].starts_with("1 "), "{history:?}");

    let chat = Chat::new(MODEL, "Tell of Lepa Vida.", 5);
    fleet.caller(0).chat(&chat).await.checked(&chat).unwrap();
    let upstreams = at(&fleet, 0, &["upstreams"], "");
    assert_eq!((upstreams.code, upstreams.out.lines().count()), (0, 3), "{upstreams:?}");
    let workspaces = at(&fleet, 0, &["workspaces"], "");
    assert!(workspaces.out.contains(WORKSPACE), "{workspaces:?}");
    until("the chat's use is reported", async || {
        let report = at(&fleet, 0, &["workspaces", "use"], "").out;
        report.lines().any(|line| line.contains(WORKSPACE) && line.contains(MODEL))
    })
    .await;
}
