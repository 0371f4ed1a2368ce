//! Overloaded services in a fleet of real routers: what is refused, and what operators see of it.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::fleet_with;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{
    ARCHIVE_SERVICE, HOST, TestConfiguration, upstream_entry,
};
use teaselworks_standin::fleet::{Fleet, wait_until};
use teaselworks_standin::router::Router;
use teaselworks_standin::upstream::{Script, Step};

const ROUTERS: usize = 3;
/// Time for which a replica works on a request.
const SLOT_TIME: Duration = Duration::from_millis(100);
/// Interval of requests that offer 0.4 slots to each router. The two replicas of one slot bear two
/// requests a slot, which is 1.3 slots for each router.
const SPARSE: Duration = Duration::from_millis(250);
/// Interval of requests that offer 4 slots to each router.
const DENSE: Duration = Duration::from_millis(25);

/// Starts a fleet whose archive service has two slots, with these settings of the admission, and
/// two workspaces with a rank each.
async fn start(admission: &Value, [choir, strings]: [u8; 2]) -> Fleet {
    let mut configuration = TestConfiguration::default();
    configuration.value["tenants"] = json!([
        { "name": "choir", "api_keys": ["key-of-choir"], "priority": choir },
        { "name": "strings", "api_keys": ["key-of-strings"], "priority": strings },
    ]);
    let mut fleet = fleet_with(ROUTERS, configuration, &json!({})).await;
    for archive in &fleet.archives {
        archive.set_behaviour(|req| {
            let mut script = Script::response(req, 200, "a verse");
            script.steps.insert(0, Step::Pause(SLOT_TIME));
            script
        });
        let mut entry = upstream_entry(archive, archive.address(), ARCHIVE_SERVICE, "ready");
        entry["slots"] = json!(1);
        fleet.store.put_json(&format!("servers/{}", archive.id), &entry);
    }
    for router in &mut fleet.routers {
        router.change_settings(|settings| settings["admission"] = admission.clone()).unwrap();
        router.signal(Signal::SIGKILL).unwrap();
        router.wait_for_exit().await.unwrap();
        router.spawn().unwrap();
    }
    for router in &fleet.routers {
        router.wait_until_ready().await.unwrap();
    }
    // The first requests are estimated by the target latency, which is longer than the slot time.
    send_all(&fleet, &[("choir", SPARSE, 6_000), ("strings", SPARSE, 6_000)], 3).await;
    fleet
}

/// Requests of a workspace: the interval between them at each router, and the time for which their
/// callers say they wait, in milliseconds.
type Stream = (&'static str, Duration, u64);

/// Sends streams of requests to every router for some seconds. Returns for each stream how many
/// requests were answered with 200, and how many there were.
async fn send_all(fleet: &Fleet, streams: &[Stream], seconds: u32) -> Vec<(usize, usize)> {
    let counts = streams.iter().map(async |stream| {
        let routers = fleet.routers.iter().map(|router| send(router, *stream, seconds));
        let counts = join_all(routers).await;
        counts.iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    });
    join_all(counts).await
}

/// Sends a stream of requests to one router without waiting for the answers.
async fn send(router: &Router, stream: Stream, seconds: u32) -> (usize, usize) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (workspace, interval, deadline_ms) = stream;
    let count = Duration::from_secs(seconds.into()).div_duration_f64(interval) as u32;
    let calls = (0..count).map(async |number| {
        tokio::time::sleep(interval * number).await;
        let id = format!("{workspace}-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let sent = Call::new("GET", HOST, "/read/a", &id)
            .with_api_key(&format!("key-of-{workspace}"))
            .with_header("X-Deadline-Ms", &deadline_ms.to_string());
        call(router.callers_address(), &sent).await.unwrap().status()
    });
    let statuses = join_all(calls).await;
    (statuses.iter().filter(|status| **status == 200).count(), statuses.len())
}

/// Returns how many lines of the log of a router refuse requests, by reason and workspace.
fn refusals(router: &Router) -> BTreeMap<(String, String), u64> {
    let mut counts = BTreeMap::new();
    for refusal in router.events("request_refused") {
        let field = |name: &str| refusal[name].as_str().unwrap_or_default().to_owned();
        *counts.entry((field("reason"), field("workspace"))).or_default() += 1;
    }
    counts
}

/// Returns the rank of a workspace's requests by the log of a router.
fn rank(router: &Router, workspace: &str) -> String {
    let placed = router.events("request_placed");
    let line = placed.iter().find(|line| line["workspace"] == workspace).unwrap();
    line["rank"].as_str().unwrap().to_owned()
}

/// Returns the value of the metric with a name and labels; `None` if the page lacks it.
async fn metric(router: &Router, name: &str, labels: &[(&str, &str)]) -> Option<f64> {
    let page = router.metrics().await.unwrap();
    let labels: Vec<String> =
        labels.iter().map(|(label, value)| format!("{label}=\"{value}\"")).collect();
    let line = page.lines().find(|line| {
        let has_labels = labels.iter().all(|label| line.contains(label.as_str()));
        line.starts_with(&format!("{name}{{")) && has_labels
    })?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Guards against priorities that an overload inverts or ignores, against refusals whose reason
/// operators cannot see, and against a log line for each request of an overload.
#[tokio::test]
async fn an_overloaded_service_refuses_the_less_urgent_requests() {
    let fleet = start(&json!({ "by_priority": true }), [0, 2]).await;
    let streams = [("choir", SPARSE, 6_000), ("strings", DENSE, 6_000)];
    let [first, second] = ["choir", "strings"].map(|workspace| rank(&fleet.routers[0], workspace));
    let (counts, fractions) = tokio::join!(send_all(&fleet, &streams, 5), async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let fraction = async |rank: &str| {
            let labels = [("service", "archive"), ("rank", rank)];
            metric(&fleet.routers[0], "teaselworks_admitted_fraction", &labels).await.unwrap()
        };
        [fraction(&first).await, fraction(&second).await]
    });
    let [(urgent, all_urgent), (other, all_other)] = counts[..] else { unreachable!() };
    assert!(urgent * 20 >= all_urgent * 19, "{urgent} of {all_urgent} urgent requests served");
    assert!(other * 2 <= all_other, "{other} of {all_other} less urgent requests served");
    assert!(other * 20 >= all_other, "{other} of {all_other}: the less urgent rank starves");
    assert!(fractions[0] > 0.95 && fractions[1] < 0.5, "{fractions:?}");

    for router in &fleet.routers {
        let begun = router.wait_for_events("service_overloaded", 1).await.unwrap();
        let ended = router.wait_for_events("service_recovered", 1).await.unwrap();
        assert!(begun.len() <= 3 && ended.len() <= 3, "{} lines", begun.len());
        assert_eq!(begun[0]["service"], "archive");
        let lowest = ended[0]["lowest_admitted"].as_str().unwrap();
        let (urgent, other) = lowest.split_once(',').unwrap();
        assert_eq!(urgent, format!("{first}:1.000"), "{lowest}");
        assert!(other.starts_with(&format!("{second}:0.")), "{lowest}");
        let refused = refusals(router);
        let by_rank = refused[&("rank".to_owned(), "strings".to_owned())];
        assert!(
            !refused.keys().any(|(reason, workspace)| reason == "rank" && workspace == "choir")
        );
        assert!(by_rank > 20, "{refused:?}");
        let labels = [("service", "archive"), ("rank", &second), ("reason", "rank")];
        let counted = metric(router, "teaselworks_refused_requests_total", &labels).await;
        assert_eq!(counted, Some(by_rank as f64));
        let labels = [("service", "archive"), ("rank", &first)];
        let admitted = metric(router, "teaselworks_admitted_requests_total", &labels).await;
        assert!(admitted.is_some_and(|admitted| admitted >= 20.0), "{admitted:?}");
        let is_over = metric(router, "teaselworks_service_overloaded", &[("service", "archive")]);
        assert_eq!(is_over.await, Some(0.0));
    }
}

/// Guards against a workspace that takes the slots of others by sending many times its usual load,
/// and against returning callers that operators cannot tell from new ones.
#[tokio::test]
async fn a_workspace_beyond_its_share_is_cut_back() {
    let fleet = start(&json!({ "workspace_shares": true }), [1, 1]).await;
    let streams = [("choir", SPARSE, 6_000), ("strings", DENSE, 6_000)];
    let (counts, _) = tokio::join!(send_all(&fleet, &streams, 5), async {
        // Callers count as returning only once others were refused.
        tokio::time::sleep(Duration::from_secs(2)).await;
        send_all(&fleet, &[("strings", SPARSE, 4_000)], 3).await
    });
    let (others, all_others) = counts[0];
    assert!(others * 20 >= all_others * 19, "{others} of {all_others} other requests served");
    for router in &fleet.routers {
        let refused = refusals(router);
        let is_cut = |(reason, workspace): &(String, String)| {
            reason == "workspace_share" && workspace == "strings"
        };
        assert!(refused.keys().any(is_cut), "{refused:?}");
        let has_returned = |line: &Value| line["is_late"] == "true" && line["rank"] != "-1";
        let is_seen = async || router.events("request_refused").iter().any(has_returned);
        wait_until("a returning caller is refused again", is_seen).await.unwrap();
        let labels = [("service", "archive"), ("workspace", "strings")];
        let offered = metric(router, "teaselworks_workspace_offered_slots", &labels).await;
        assert!(offered.is_some());
    }
}

/// Guards against refusals by rank or share, and traces of them, where the settings do not request
/// it.
#[tokio::test]
async fn nothing_is_divided_without_the_settings() {
    let fleet = start(&json!({}), [0, 2]).await;
    let streams = [("choir", SPARSE, 6_000), ("strings", DENSE, 6_000)];
    send_all(&fleet, &streams, 3).await;
    for router in &fleet.routers {
        let divided =
            |(reason, _): &(String, String)| reason == "rank" || reason == "workspace_share";
        assert!(!refusals(router).keys().any(divided));
        assert!(router.events("service_overloaded").is_empty());
        let page = router.metrics().await.unwrap();
        for name in ["admitted_fraction", "offered_slots", "service_overloaded", "load_totals"] {
            assert!(!page.contains(&format!("teaselworks_{name}")), "{name}");
        }
        let rank = rank(router, "strings");
        let labels = [("service", "archive"), ("rank", &*rank)];
        let admitted = metric(router, "teaselworks_admitted_requests_total", &labels).await;
        assert!(admitted.is_some_and(|admitted| admitted > 0.0));
    }
}
