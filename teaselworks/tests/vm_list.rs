//! The platform's list of VMs, read in turns by real router processes.

use std::time::{Duration, Instant};

use teaselworks_standin::fleet::{Fleet, FleetPlan, until};
use teaselworks_standin::router::{Program, RouterProcess};
use teaselworks_standin::vm_list::{Vm, VmKind, VmState};

const ROUTERS: usize = 6;
const POLL_MS: u64 = 500;
/// Readings by the whole fleet in the time in which one router alone reads once, at most: three
/// turns, and as many again for routers that are not sure of the others on a busy machine.
const READINGS_A_POLL: f64 = 4.5;
const ENGINE: &str = "engine-of-the-list";

fn plan() -> FleetPlan {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    FleetPlan::new(program, ROUTERS, 1)
        .with_settings(|_, settings| settings.vm_list.poll_ms = POLL_MS)
}

fn list_engine(fleet: &Fleet, state: VmState) {
    fleet.vm_list.update(|vms| {
        vms.retain(|vm| vm.name != ENGINE);
        vms.push(Vm {
            name: ENGINE.into(),
            kind: VmKind::Upstream,
            links: None,
            zone: "zone-a".into(),
            region: "region-1".into(),
            state,
        });
    });
}

fn told_leaving(router: &RouterProcess) -> bool {
    router.log().iter().any(|line| line.contains("upstream_leaving") && line.contains(ENGINE))
}

async fn until_told(fleet: &Fleet, routers: &[usize]) {
    until("the engine leaves", async || {
        routers.iter().all(|router| told_leaving(&fleet.routers[*router]))
    })
    .await;
}

/// Symptom: routers spend their control budget on the list of VMs. Sequence: six routers run while
/// nothing changes, with a platform that tags its answers and with one that does not. Cause: each
/// router reads the list as often as one alone would, and whole.
#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_reads_the_list_in_turns_and_whole_only_where_it_changed() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    fleet.until_ready().await.unwrap();
    for untagged in [true, false] {
        fleet.vm_list.set_untagged(untagged);
        // Whoever has no tag yet reads once more as a whole.
        tokio::time::sleep(Duration::from_secs(8)).await;
        fleet.vm_list.take_readings();
        let start = Instant::now();
        tokio::time::sleep(Duration::from_secs(10)).await;
        let readings = fleet.vm_list.take_readings();
        let polls = start.elapsed().as_secs_f64() * 1e3 / POLL_MS as f64;
        let count = readings.whole + readings.unchanged;
        assert!(count > 0 && count as f64 <= READINGS_A_POLL * polls, "{readings:?}");
        assert_eq!(readings.unchanged == 0, untagged, "{readings:?}");
        if !untagged {
            // A router that had no turn until now may have no tag.
            assert!(readings.whole <= ROUTERS as u64, "{readings:?}");
        }
    }
}

/// Symptom: a router gives work to an engine that shuts down. Sequence: a router is frozen while
/// the engine begins to leave; before it wakes the list fails, and later calls the engine live
/// from a copy that is behind. Cause: the frozen one was to read the list for the others; the news
/// that it missed are not told again; or the last reading wins.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_neither_holds_up_nor_misses_the_news() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    fleet.until_ready().await.unwrap();
    list_engine(&fleet, VmState::Live);
    fleet.routers[0].freeze();
    list_engine(&fleet, VmState::Leaving);
    until_told(&fleet, &[1, 2, 3, 4, 5]).await;
    assert!(!told_leaving(&fleet.routers[0]));
    fleet.vm_list.set_unavailable(true);
    // The news have been passed on as often as they are by then.
    tokio::time::sleep(Duration::from_secs(15)).await;
    fleet.routers[0].thaw();
    until_told(&fleet, &[0]).await;
    list_engine(&fleet, VmState::Live);
    fleet.vm_list.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for router in &fleet.routers {
        assert!(!router.log().iter().any(|line| line.contains("upstream_live")));
    }
}
