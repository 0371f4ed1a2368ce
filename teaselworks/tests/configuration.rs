//! The configuration of a fleet of real routers, through restarts, outages and stale readings.

use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use teaselworks_standin::checker::{History, Observation};
use teaselworks_standin::fleet::{Fleet, FleetPlan, READY_TIMEOUT, WORKSPACE, until};
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

fn plan(routers: usize) -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    FleetPlan::new(program, routers, 1).with_settings(|_, settings| {
        settings.platform.calls_per_s = 200.0;
        settings.platform.timeout_ms = 1_000;
        settings.platform.fleet_watches = 4;
    })
}

async fn fleet(routers: usize) -> Fleet {
    Fleet::start(plan(routers)).await.unwrap()
}

fn weight(weight: u64) -> Value {
    json!({ "workspaces": { WORKSPACE: { "weight": weight } } })
}

async fn accepted(fleet: &Fleet, router: usize, id: &str, expect: u64) -> u64 {
    let mut version = None;
    until("a patch is accepted", async || {
        let answer = fleet.patch(router, id, expect, &weight(expect + 1)).await;
        if let Ok((200, body)) = &answer {
            version = body["version"].as_u64();
        }
        version.is_some()
    })
    .await;
    version.unwrap()
}

async fn version(url: &str) -> Option<u64> {
    let answer = reqwest::get(format!("{url}/v1/configuration")).await.ok()?;
    answer.json::<Value>().await.ok()?["version"].as_u64()
}

async fn until_in_force(fleet: &Fleet, number: u64) {
    for router in &fleet.routers {
        until("the version is in force", async || {
            version(&router.operators_url()).await.is_some_and(|version| version >= number)
        })
        .await;
    }
}

/// Looks at the version of every router again and again, as an operator from outside.
struct Watcher {
    history: Arc<Mutex<History>>,
    task: JoinHandle<()>,
}

impl Watcher {
    fn start(fleet: &Fleet) -> Self {
        let history: Arc<Mutex<History>> = Arc::default();
        let noted = history.clone();
        let routers = fleet.routers.iter();
        let routers: Vec<_> = routers.map(|r| (r.name().to_owned(), r.operators_url())).collect();
        let task = tokio::spawn(async move {
            loop {
                for (router, url) in &routers {
                    // A starting router with nothing in force serves nothing.
                    let Some(version @ 1..) = version(url).await else { continue };
                    let router = router.clone();
                    noted.lock().unwrap().add(Observation::InForce { router, version });
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        Self { history, task }
    }

    fn finish(self) {
        self.task.abort();
        self.history.lock().unwrap().assert_valid();
    }
}

// Symptom: a router serves workspaces and limits that were replaced. Sequence: watches report
// events twice, late or not at all; a router restarts during an outage of the platform, when only
// its peers know what is in force; the platform comes back from a backup; a router restarts and
// reads it. Cause: taking what is read or heard for new without comparing numbers, or asking the
// platform alone.
#[tokio::test(flavor = "multi_thread")]
async fn versions_never_go_down_and_reach_every_router() {
    let mut fleet = fleet(5).await;
    let watcher = Watcher::start(&fleet);
    fleet.platform.set_faults(|faults| {
        (faults.stale_events, faults.repeat_events, faults.drop_events) = (4, 4, 2);
    });
    for expect in 1..9 {
        accepted(&fleet, expect as usize % 5, &format!("patch-{expect}"), expect).await;
    }
    until_in_force(&fleet, 9).await;
    let backup = fleet.platform.revision();
    accepted(&fleet, 0, "after-backup", 9).await;
    until_in_force(&fleet, 10).await;

    fleet.platform.server().stop();
    fleet.routers[2].kill();
    fleet.routers[2].restart().unwrap();
    fleet.routers[2].until_ok("/ready", READY_TIMEOUT).await.unwrap();
    until_in_force(&fleet, 10).await;
    assert_eq!(fleet.patch(2, "in-outage", 10, &weight(7)).await.unwrap().0, 503);

    fleet.platform.rewind(backup);
    fleet.platform.server().resume().unwrap();
    fleet.routers[3].kill();
    fleet.routers[3].restart().unwrap();
    fleet.routers[3].until_ok("/ready", READY_TIMEOUT).await.unwrap();
    until_in_force(&fleet, 10).await;
    until("the older platform is reported", async || {
        let log = fleet.routers.iter().flat_map(|router| router.log());
        log.into_iter().any(|line| line.contains("TW0314"))
    })
    .await;

    let mut refused = json!({});
    until("patches are refused as the platform is behind", async || {
        refused = fleet.patch(3, "refused", 10, &weight(7)).await.unwrap().1;
        refused["error"]["reason"] == "platform_behind"
    })
    .await;
    fleet.platform.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "teaselworks/configuration/head".into();
    });
    let order =
        json!({ "id": "again", "expect": 10, "author": "test", "reason": "the backup is old" });
    let published = fleet.routers[3].post("/v1/configuration/republish", &order).await.unwrap();
    assert_eq!(published, (200, json!({ "version": 11 })));
    assert_eq!(accepted(&fleet, 1, "afterwards", 11).await, 12);
    until_in_force(&fleet, 12).await;
    let resubmitted = fleet.patch(4, "after-backup", 9, &weight(10)).await.unwrap();
    assert_eq!(resubmitted, (200, json!({ "version": 10 })));
    let peak_watches = fleet.platform.counts().peak_watches;
    assert!(peak_watches <= 4, "{peak_watches} watches at once, of 4 for the fleet");
    watcher.finish();
}

/// Runs `config republish` at a router as an operator's script does.
async fn republish(fleet: &Fleet, router: usize, expect: u64, more: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaselworks"));
    command.args(["config", "republish", "--expect", &expect.to_string(), "--author", "ana"]);
    command.args(["--operator", &fleet.routers[router].operators_url()]).args(more);
    command.stdin(Stdio::null());
    let ended = tokio::task::spawn_blocking(move || command.output()).await.unwrap();
    let Output { status, stdout, stderr } = ended.unwrap();
    let text = [stdout, stderr].map(|text| String::from_utf8(text).unwrap()).concat();
    (status.code().unwrap(), text)
}

async fn restore_backup(fleet: &Fleet, revision: i64) {
    fleet.platform.server().stop();
    fleet.platform.rewind(revision);
    until("the platform is back", async || fleet.platform.server().resume().is_ok()).await;
    until("patches are refused as the platform is behind", async || {
        let refused = fleet.patch(0, "refused", 0, &weight(7)).await.unwrap().1;
        refused["error"]["reason"] == "platform_behind"
    })
    .await;
}

// Symptom: after a restored backup the fleet takes no patch any more; or republishing through a
// router that lags brings an old configuration back; or a republication that was accepted is told
// to be somebody else's. Sequence: the platform goes back to a backup, an operator republishes
// against a number that is not in force, without confirming, then as shown, at two routers at once,
// with an answer lost; a backup of before that is restored as well, and the first order is given
// again. Cause: publishing what happens to be in force at the router asked, and a submission's
// digest that was not made from the number that its record keeps.
#[tokio::test(flavor = "multi_thread")]
async fn operators_republish_after_restored_backups() {
    let mut fleet = fleet(3).await;
    let watcher = Watcher::start(&fleet);
    accepted(&fleet, 0, "in-backup", 1).await;
    let backup = fleet.platform.revision();
    accepted(&fleet, 1, "after-backup", 2).await;
    until_in_force(&fleet, 3).await;
    let (code, text) = republish(&fleet, 0, 3, &["--yes"]).await;
    assert!(code == 3 && text.contains("is not behind"), "{code}: {text}");

    restore_backup(&fleet, backup).await;
    fleet.routers[2].kill();
    fleet.routers[2].restart().unwrap();
    fleet.routers[2].until_ok("/ready", READY_TIMEOUT).await.unwrap();
    let (code, text) = republish(&fleet, 0, 3, &[]).await;
    assert!(code == 3 && text.contains("not_confirmed"), "{code}: {text}");
    assert!(text.contains("holds version 2 and is behind"), "{text}");
    assert!(text.contains("published with the same content as version 4"), "{text}");
    let (code, text) = republish(&fleet, 0, 2, &["--yes"]).await;
    assert!(code == 4 && text.contains("but 3 is in force"), "{code}: {text}");

    fleet.platform.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_prefix = "teaselworks/configuration/head".into();
    });
    let first = ["--yes", "--json", "--id", "ana-1"];
    let second = ["--yes", "--json", "--id", "ana-2"];
    let (one, other) =
        tokio::join!(republish(&fleet, 0, 3, &first), republish(&fleet, 1, 3, &second));
    // The loser learns that the platform is not behind any more, or that another number is in
    // force.
    let (least, most) = (one.0.min(other.0), one.0.max(other.0));
    assert!(least == 0 && [3, 4].contains(&most), "{one:?} {other:?}");
    let (router, winner) = if one.0 == 0 { (0, first) } else { (1, second) };
    until_in_force(&fleet, 4).await;

    restore_backup(&fleet, backup).await;
    let (code, text) = republish(&fleet, 2, 4, &["--yes"]).await;
    assert!(code == 0 && text.contains("Accepted as version 5"), "{code}: {text}");
    let (code, text) = republish(&fleet, router, 3, &winner).await;
    assert!(code == 0 && text.contains("\"version\": 4"), "{code}: {text}");
    assert_eq!(accepted(&fleet, 1, "afterwards", 5).await, 6);
    until_in_force(&fleet, 6).await;
    watcher.finish();
}

// Symptom: a router serves version 2 after its restart, and 3 before it. Sequence: the platform is
// restored from a backup; a router restarts while the list of VMs does not answer and no peer
// reaches it, so that it finds them only after a second. Cause: a start that takes the platform's
// word alone once a short time has passed.
#[tokio::test(flavor = "multi_thread")]
async fn restart_without_the_list_of_vms_does_not_go_back_to_a_backup() {
    let mut plan = plan(3);
    plan.proxy_links = true;
    let mut fleet = Fleet::start(plan).await.unwrap();
    let watcher = Watcher::start(&fleet);
    accepted(&fleet, 0, "in-backup", 1).await;
    let backup = fleet.platform.revision();
    accepted(&fleet, 1, "after-backup", 2).await;
    until_in_force(&fleet, 3).await;
    restore_backup(&fleet, backup).await;
    fleet.vm_list.set_unavailable(true);
    fleet.link_proxies[2].set_frozen(true);
    fleet.routers[2].kill();
    fleet.routers[2].restart().unwrap();
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fleet.vm_list.set_unavailable(false);
    fleet.link_proxies[2].set_frozen(false);
    until_in_force(&fleet, 3).await;
    watcher.finish();
}

// Symptom: an operator's patch is refused because the rate of platform calls is spent for ten
// seconds, though nobody calls the platform. Sequence: a router starts, the list of VMs is slow;
// patches are submitted one after the other. Cause: calls made with the least rate, that of a
// router which does not know its fleet yet.
#[tokio::test(flavor = "multi_thread")]
async fn patches_to_a_router_that_starts_wait_for_its_rate() {
    let plan = plan(1);
    let mut fleet = Fleet::launch(&plan).unwrap();
    fleet.vm_list.set_unavailable(true);
    fleet.routers[0].until_ok("/health", READY_TIMEOUT).await.unwrap();
    let found = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        fleet.vm_list.set_unavailable(false);
    };
    let submitted = async {
        let mut statuses = Vec::new();
        for expect in 0..5 {
            let patch = weight(expect + 1);
            let answer = fleet.patch(0, &format!("patch-{expect}"), expect, &patch).await;
            statuses.push(answer.unwrap().0);
        }
        statuses
    };
    assert_eq!(tokio::join!(submitted, found).0, [200; 5]);
}

// Symptom: after all routers restarted in an outage they serve something else than before, or
// never come back. Sequence: the platform is down, every router is replaced at once, the platform
// returns. Cause: an empty start taken for a first configuration.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_in_an_outage_refuses_and_then_serves_what_was_accepted() {
    let mut fleet = fleet(3).await;
    let watcher = Watcher::start(&fleet);
    accepted(&fleet, 0, "second", 1).await;
    until_in_force(&fleet, 2).await;
    fleet.platform.server().stop();
    for router in &mut fleet.routers {
        router.kill();
        router.restart().unwrap();
    }
    for router in &mut fleet.routers {
        router.until_ok("/health", READY_TIMEOUT).await.unwrap();
        assert_eq!(version(&router.operators_url()).await, Some(0));
    }
    let refused = fleet.patch(0, "empty", 0, &weight(1)).await.unwrap();
    assert_eq!(refused.0, 503);
    fleet.platform.server().resume().unwrap();
    fleet.until_ready().await.unwrap();
    until_in_force(&fleet, 2).await;
    assert_eq!(accepted(&fleet, 2, "third", 2).await, 3);
    watcher.finish();
}

async fn freeze_in_commit(fleet: &Fleet, expect: u64, freeze_after: Duration) {
    let (frozen_id, other_id) = (format!("frozen-{expect}"), format!("other-{expect}"));
    fleet.platform.set_faults(|faults| faults.delay_before_ms = 100);
    let frozen_patch = weight(10 * expect);
    let frozen = async {
        let submitted = fleet.patch(0, &frozen_id, expect, &frozen_patch);
        let freeze = async {
            tokio::time::sleep(freeze_after).await;
            fleet.routers[0].freeze();
        };
        tokio::join!(submitted, freeze).0
    };
    let other = async {
        tokio::time::sleep(2 * freeze_after).await;
        let other = fleet.patch(1, &other_id, expect, &weight(10 * expect + 1)).await;
        fleet.routers[0].thaw();
        other
    };
    let (first, other) = tokio::join!(frozen, other);
    fleet.platform.set_faults(|faults| faults.delay_before_ms = 0);
    let other = other.unwrap();
    let again = fleet.patch(0, &frozen_id, expect, &frozen_patch).await.unwrap();
    let statuses = [other.0, again.0];
    assert!(statuses == [200, 409] || statuses == [409, 200], "{first:?} {other:?} {again:?}");
    until_in_force(fleet, expect + 1).await;
}

// Symptom: two versions 2, or a patch that was reported lost and is in force. Sequence: a router is
// frozen with a commit in hand and another router accepts a patch meanwhile; the platform answers
// after five seconds. Cause: a writer that goes on by what it knew before its pause.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_router_and_slow_platform_leave_one_winner() {
    let fleet = fleet(2).await;
    // Frozen while it looks, and while its commit is on the way: the calls take 100 ms each.
    for (expect, freeze_after_ms) in [(1, 50), (2, 150)] {
        freeze_in_commit(&fleet, expect, Duration::from_millis(freeze_after_ms)).await;
    }
    fleet.platform.set_faults(|faults| faults.delay_before_ms = 5_000);
    let slow = fleet.patch(0, "slow", 3, &weight(4)).await;
    assert!(slow.is_err() || slow.unwrap().0 == 503);
    fleet.platform.set_faults(|faults| faults.delay_before_ms = 0);
    assert_eq!(accepted(&fleet, 1, "slow", 3).await, 4);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(accepted(&fleet, 0, "slow", 3).await, 4);
    let mut history = History::default();
    for change in fleet.platform.log("teaselworks/configuration/patch/") {
        let stored: Value = serde_json::from_slice(&change.value.unwrap()).unwrap();
        let patch = stored["record"]["id"].as_str().unwrap().to_owned();
        let version = stored["record"]["version"].as_u64().unwrap();
        history.add(Observation::Accepted { patch, version });
    }
    history.assert_valid();
}
