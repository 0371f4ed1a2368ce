//! What a router that starts puts in force.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use teaselworks::kernel::Shutdown;
use teaselworks::store::{PatchError, Store};
use teaselworks_config::settings::PlatformSettings;
use teaselworks_standin::fleet::until;
use teaselworks_standin::platform::Platform as Service;
use tokio::task::JoinHandle;

use crate::fixture::{Fleet, settings, weight};

/// Returns every number that a router has in force, from before it loads until it has `last`.
fn numbers_in_force(router: &Arc<Store>, last: u64) -> JoinHandle<Vec<u64>> {
    let mut current = router.subscribe();
    tokio::spawn(async move {
        let mut numbers = Vec::new();
        while numbers.last() != Some(&last) {
            current.changed().await.unwrap();
            numbers.push(current.borrow_and_update().version);
        }
        numbers
    })
}

// Symptom: a router that restarts serves workspaces and limits that were replaced, for the time of
// one reading or longer. Sequence: many patches were accepted since the last snapshot, or there is
// none; a router starts and reads them page after page, or has them from a peer part after part.
// Cause: each page is put in force as soon as it is there.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_puts_nothing_in_force_before_the_newest() {
    const PATCHES: u64 = 40;
    let service = Service::start().unwrap();
    let fleet = Fleet::default();
    let settings = settings(&service);
    let writer = fleet.router("writer", &settings);
    for expect in 0..PATCHES {
        let mut request = weight(&format!("{expect}"), expect, expect + 1);
        request.reason = "a long reason, so that a message holds few patches; ".repeat(60);
        assert_eq!(writer.submit(&request).await, Ok(expect + 1));
    }
    // Long enough that each page is seen by whoever looks.
    service.set_faults(|faults| faults.delay_ms = 20);
    let reader = fleet.router("reader", &settings);
    let numbers = numbers_in_force(&reader, PATCHES);
    reader.refresh().await.unwrap();
    assert_eq!(numbers.await.unwrap(), [PATCHES], "from the platform");
    let follower = fleet.router("follower", &settings);
    let numbers = numbers_in_force(&follower, PATCHES);
    follower.fetch_from(&"writer".into()).await;
    assert_eq!(numbers.await.unwrap(), [PATCHES], "from a peer");
}

// Symptom: a router that restarts serves a configuration that was replaced before it stopped.
// Sequence: its peer was cut off and lags; the platform is there. Cause: the peer's version is put
// in force before the platform was read.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_with_a_lagging_peer_waits_for_the_platform() {
    let service = Service::start().unwrap();
    let fleet = Fleet::default();
    let settings = settings(&service);
    let writer = fleet.router("writer", &settings);
    assert_eq!(writer.submit(&weight("one", 0, 1)).await, Ok(1));
    let lagging = fleet.router("lagging", &settings);
    lagging.refresh().await.unwrap();
    for expect in 1..4 {
        assert_eq!(writer.submit(&weight(&format!("{expect}"), expect, 1)).await, Ok(expect + 1));
    }
    drop(writer);
    assert_eq!(lagging.version().number, 1);
    service.set_faults(|faults| faults.delay_ms = 100);
    let starting = fleet.router("starting", &settings);
    let numbers = numbers_in_force(&starting, 4);
    starting.start(&Shutdown::new());
    assert_eq!(numbers.await.unwrap(), [4]);
}

// Symptom: the platform counts a waiting watch for every router of a fleet that is replaced at
// once. Sequence: routers start together; for a moment nobody sees another. Cause: each takes
// itself for the one router, which is to watch.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_start_together_keep_to_the_fleets_watches() {
    let service = Service::start().unwrap();
    let fleet = Fleet::default();
    let settings = settings(&service);
    assert_eq!(fleet.router("first", &settings).submit(&weight("one", 0, 1)).await, Ok(1));
    fleet.blind.store(true, Ordering::Relaxed);
    let mut routers = Vec::new();
    for number in 0..12 {
        let router = fleet.router(&format!("router-{number}"), &settings);
        router.start(&Shutdown::new());
        routers.push(router);
    }
    until("all have the configuration", async || {
        routers.iter().all(|router| router.version().number == 1)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.blind.store(false, Ordering::Relaxed);
    until("some watch", async || service.counts().watches > 0).await;
    let peak_watches = service.counts().peak_watches;
    assert!(peak_watches <= u64::from(settings.fleet_watches), "{peak_watches} watches at once");
}

/// A platform that was restored from a backup of version 2, and a router that has version 3.
async fn behind(fleet: &Fleet) -> (Service, Arc<Store>) {
    let service = Service::start().unwrap();
    let writer = fleet.router("writer", &settings(&service));
    assert_eq!(writer.submit(&weight("one", 0, 1)).await, Ok(1));
    assert_eq!(writer.submit(&weight("two", 1, 2)).await, Ok(2));
    let backup = service.revision();
    assert_eq!(writer.submit(&weight("three", 2, 3)).await, Ok(3));
    service.rewind(backup);
    (service, writer)
}

// Symptom: after a restart a router serves version 2, where it served 3 before. Sequence: the
// platform was restored from a backup; a router restarts while its machine or the list of VMs is
// slow, so that it finds its peers only after a second. Cause: a start that takes the platform's
// word alone once a short time has passed.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_waits_until_it_has_found_its_peers() {
    let fleet = Fleet::default();
    let (service, _writer) = behind(&fleet).await;
    fleet.searching.store(true, Ordering::Relaxed);
    let starting = fleet.router("starting", &settings(&service));
    let numbers = numbers_in_force(&starting, 3);
    starting.start(&Shutdown::new());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.searching.store(false, Ordering::Relaxed);
    assert_eq!(numbers.await.unwrap(), [3]);
}

// Symptom: two patches are version 3. Sequence: the platform was restored from a backup of version
// 2, a router restarts, and a patch against 2 reaches it before it has found its peers. Cause: a
// submission that is checked against the platform alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_accepts_no_patch_on_an_old_configuration() {
    let fleet = Fleet::default();
    let (service, writer) = behind(&fleet).await;
    fleet.searching.store(true, Ordering::Relaxed);
    let starting = fleet.router("starting", &settings(&service));
    starting.start(&Shutdown::new());
    let submitting = starting.clone();
    let submitted =
        tokio::spawn(async move { submitting.submit(&weight("against-two", 2, 4)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.searching.store(false, Ordering::Relaxed);
    let refused = submitted.await.unwrap();
    assert_eq!(refused, Err(PatchError::PlatformBehind));
    assert_eq!(starting.version(), writer.version());
}

// Symptom: a router that restarts serves version 16, then 40, where it served 40 before. Sequence:
// a peer that has just fetched all versions itself passes on what fits into a message, before the
// start has gathered the newest. Cause: an announcement that is put in force from nothing.
#[tokio::test(flavor = "multi_thread")]
async fn an_announcement_does_not_put_a_part_in_force_from_nothing() {
    const PATCHES: u64 = 40;
    let service = Service::start().unwrap();
    let fleet = Fleet::default();
    // One root of the trees: the others are told by it.
    let settings = PlatformSettings { fleet_watches: 2, ..settings(&service) };
    let writer = fleet.router("writer", &settings);
    for expect in 0..PATCHES {
        let mut request = weight(&format!("{expect}"), expect, expect + 1);
        request.reason = "a long reason, so that a message holds few patches; ".repeat(60);
        assert_eq!(writer.submit(&request).await, Ok(expect + 1));
    }
    let starting = fleet.router("starting", &settings);
    let numbers = numbers_in_force(&starting, PATCHES);
    // Starts with nothing in force, and passes on what it then has from a peer.
    service.server().stop();
    fleet.blind.store(true, Ordering::Relaxed);
    let told = fleet.router("told", &settings);
    told.start(&Shutdown::new());
    until("the start is over", async || told.submit(&weight("early", 0, 1)).await.is_err()).await;
    fleet.blind.store(false, Ordering::Relaxed);
    until("it is told", async || told.version().number == PATCHES).await;
    until("it passed on", async || fleet.largest_bytes("starting") > 8 << 10).await;
    starting.start(&Shutdown::new());
    assert_eq!(numbers.await.unwrap(), [PATCHES]);
}
