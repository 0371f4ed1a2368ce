//! The client of the platform, against a stand-in that fails in every way it can.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselworks::metrics::Metrics;
use teaselworks::platform::{CallPurpose, Change, NotSent, Platform, PlatformError, WatchEnd};
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::SystemClock;
use teaselworks_standin::fleet::{Fleet, FleetPlan, until};
use teaselworks_standin::http::PortGuard;
use teaselworks_standin::platform::{LostAnswer, Platform as Service};
use teaselworks_standin::router::Program;

fn client(endpoints: Vec<String>, calls_per_s: f64) -> Arc<Platform> {
    let settings = PlatformSettings {
        endpoints,
        prefix: "t/".into(),
        timeout_ms: 300,
        calls_per_s,
        fleet_calls_per_s: 1_000.0,
        fleet_watches: 4,
    };
    Arc::new(Platform::new(&settings, Arc::new(SystemClock::new()), &Metrics::new(), 1))
}

// Symptom: a write is made twice, or a refusal is taken for a lost answer and settled for ever.
// Sequence: the first endpoint refuses connections; then the answer to a write is lost in each
// way; then a call is refused for its rate. Cause: going on to the next endpoint after a request
// left, or telling errors apart by what is convenient.
#[tokio::test(flavor = "multi_thread")]
async fn errors_tell_whether_a_write_may_have_taken_effect() {
    let service = Service::start().unwrap();
    let closed = PortGuard::take().unwrap();
    let dead = format!("http://{}", closed.address());
    let put = async |client: &Platform, key: &str| {
        client.put(CallPurpose::Usage, key, b"value".to_vec(), 0).await
    };
    let alone = client(vec![dead.clone()], 1_000.0);
    let error = put(&alone, "never").await.unwrap_err();
    assert!(matches!(error, PlatformError::NotSent(NotSent::Unreachable(_))), "{error}");

    let client = client(vec![dead, service.url(), service.url()], 1_000.0);
    put(&client, "first").await.unwrap();
    for lost_answer in [LostAnswer::Cut, LostAnswer::Silence, LostAnswer::Error] {
        service.set_faults(|faults| {
            faults.lost_answer = lost_answer;
            faults.lose_answers = 1;
        });
        let key = format!("lost-{lost_answer:?}");
        let error = put(&client, &key).await.unwrap_err();
        assert!(error.may_have_taken_effect(), "{error}");
        assert_eq!(service.log(&format!("t/{key}")).len(), 1, "written once");
        let entry = client.get(CallPurpose::Usage, &key).await.unwrap().unwrap();
        assert_eq!((entry.key.as_str(), entry.value.as_slice()), (key.as_str(), &b"value"[..]));
    }
    service.set_faults(|faults| faults.writes_per_s = Some(0));
    let error = put(&client, "refused").await.unwrap_err();
    assert!(matches!(error, PlatformError::Refused { status: 429, .. }), "{error}");
    assert!(service.log("t/refused").is_empty());
}

// Symptom: the platform, just back, is overrun and fails again. Sequence: eight routers want far
// more than their rate while the platform is down; it returns. Cause: calls that were held back, or
// bursts that were saved up, all sent at its return; or a dead platform called as often as ever.
#[tokio::test(flavor = "multi_thread")]
async fn after_an_outage_the_fleet_stays_within_its_rate() {
    const ROUTERS: u64 = 8;
    const CALLS_PER_S: u64 = 10;
    let service = Service::start().unwrap();
    service.set_faults(|faults| faults.unavailable = true);
    for _ in 0..ROUTERS {
        let client = client(vec![service.url()], CALLS_PER_S as f64);
        for _ in 0..4 {
            let client = client.clone();
            tokio::spawn(async move {
                loop {
                    let _ = client.get(CallPurpose::Usage, "key").await;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let outage = service.counts().reads_by_second;
    service.set_faults(|faults| faults.unavailable = false);
    let back = outage.keys().max().unwrap() + 1;
    until("calls pass for five seconds", async || {
        service.counts().reads_by_second.keys().max().unwrap() > &(back + 5)
    })
    .await;
    let counts = service.counts().reads_by_second;
    // Five failures open each circuit, within the first burst; then one try a wait.
    let held_back: u64 = outage.range(2..).map(|(_, calls)| calls).sum();
    assert!(held_back <= ROUTERS * 6, "{outage:?}");
    let peak = counts.range(back..).map(|(_, calls)| *calls).max().unwrap();
    assert!(peak <= ROUTERS * (CALLS_PER_S + 2), "{counts:?}");
    let passed = calls_of_one_router_after_an_outage(CALLS_PER_S).await;
    assert!(passed <= 3 * CALLS_PER_S + 4, "{passed} in the first three seconds");
}

async fn calls_of_one_router_after_an_outage(calls_per_s: u64) -> u64 {
    let service = Service::start().unwrap();
    service.set_faults(|faults| faults.unavailable = true);
    let client = client(vec![service.url()], calls_per_s as f64);
    let passes = async || client.get(CallPurpose::Usage, "key").await.is_ok();
    for _ in 0..600 {
        passes().await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    service.set_faults(|faults| faults.unavailable = false);
    until("calls pass", passes).await;
    let end = Instant::now() + Duration::from_secs(3);
    let mut passed = 1;
    while Instant::now() < end {
        passed += u64::from(passes().await);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    passed
}

// Symptom: a platform that just came back gets more calls than it takes, though each router keeps
// to its own rate. Sequence: real routers, each asked for the history again and again; the platform
// is away for some seconds and returns. Cause: a rate of each router that knows nothing of the
// others.
#[tokio::test(flavor = "multi_thread")]
async fn routers_share_the_rate_of_the_fleet() {
    const ROUTERS: usize = 4;
    const FLEET_CALLS_PER_S: u64 = 12;
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let plan = FleetPlan::new(program, ROUTERS, 1).with_settings(|_, settings| {
        settings.platform.calls_per_s = 200.0;
        settings.platform.fleet_calls_per_s = FLEET_CALLS_PER_S as f64;
    });
    let fleet = Fleet::start(plan).await.unwrap();
    let counts = || {
        let counts = fleet.platform.counts();
        let mut calls = counts.reads_by_second;
        for (second, writes) in counts.writes_by_second {
            *calls.entry(second).or_default() += writes;
        }
        calls
    };
    for router in &fleet.routers {
        let url = format!("{}/v1/configuration/history", router.operators_url());
        tokio::spawn(async move {
            loop {
                let _ = reqwest::get(&url).await;
            }
        });
    }
    let settled = fleet.platform.counts().reads_by_second.keys().max().unwrap_or(&0) + 4;
    until("the saved-up calls are spent", async || *counts().keys().max().unwrap() > settled).await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.platform.set_faults(|faults| faults.unavailable = false);
    let back = *counts().keys().max().unwrap();
    until("calls pass for ten seconds", async || *counts().keys().max().unwrap() > back + 10).await;
    let counts = counts();
    let held: u64 = counts.range(settled + 1..back).map(|(_, calls)| calls).sum();
    let after: u64 = counts.range(back + 1..=back + 10).map(|(_, calls)| calls).sum();
    // Each router has one call of each purpose saved up at most, and those of one second in common.
    let saved = (4 * ROUTERS as u64) + FLEET_CALLS_PER_S;
    assert!(after <= 10 * FLEET_CALLS_PER_S + saved, "{after} in 10 s: {counts:?}");
    assert!(held > 0, "{counts:?}");
}

// Symptom: a change is never seen, or waits for ever at a dead connection. Sequence: a key is
// written, removed and written again; the platform goes down under the watch. Cause: events taken
// apart wrongly, or an end that is not told.
#[tokio::test(flavor = "multi_thread")]
async fn watch_tells_changes_and_its_end() {
    let service = Service::start().unwrap();
    let client = client(vec![service.url()], 1_000.0);
    service.put("t/key", b"old");
    let start = service.revision() + 1;
    let mut watch = client.watch(CallPurpose::Configuration, "key", start).await.unwrap();
    assert!(watch.next().await.unwrap().changes.is_empty(), "the first line opens the watch");
    service.put("t/other", b"no");
    service.put("t/key", b"new");
    let batch = watch.next().await.unwrap();
    let [Change::Put(entry)] = batch.changes.as_slice() else { panic!("{batch:?}") };
    assert_eq!((entry.key.as_str(), entry.value.as_slice()), ("key", &b"new"[..]));
    assert_eq!(service.counts().watches, 1);
    let dropped = client.watch(CallPurpose::Configuration, "key", 0).await.unwrap();
    assert_eq!(service.counts().watches, 2);
    drop(dropped);
    // The stand-in notices a closed connection only when it has something to tell.
    until("a dropped watch is no longer counted", async || {
        service.put("t/key", b"newer");
        service.counts().watches == 1
    })
    .await;
    service.server().stop();
    let end = loop {
        if let Err(end) = watch.next().await {
            break end;
        }
    };
    assert!(matches!(end, WatchEnd::Closed(_)), "{end}");
}

// Symptom: a holder goes on with a lease that has ended. Sequence: a lease is granted, kept, ended
// by the platform, kept again, revoked. Cause: an answer without a time to live read as kept.
#[tokio::test(flavor = "multi_thread")]
async fn ended_lease_is_told_from_a_kept_one() {
    let service = Service::start().unwrap();
    let client = client(vec![service.url()], 1_000.0);
    let ttl = Duration::from_secs(30);
    let lease = client.grant_lease(CallPurpose::Orders, ttl).await.unwrap();
    client.put(CallPurpose::Orders, "held", b"x".to_vec(), lease.id).await.unwrap();
    assert_eq!(client.keep_lease(CallPurpose::Orders, lease.id).await.unwrap(), Some(lease));
    assert!(service.expire_lease(lease.id));
    assert_eq!(client.keep_lease(CallPurpose::Orders, lease.id).await.unwrap(), None);
    assert_eq!(client.get(CallPurpose::Orders, "held").await.unwrap(), None);
    client.revoke_lease(CallPurpose::Orders, lease.id).await.unwrap();
}
