//! One request that crashes each engine which runs it, with fleets of several sizes.

use std::time::Duration;

use teaselworks_model::{EndedRequestLoad, EndedRequestOutcome, RouterFault, run_ended_requests};

/// Number of engines that may end under one request.
const MAX_ENDED: usize = 3;
/// Number of tries that may be in progress when the last of them ends: each takes 80 ms.
const IN_PROGRESS: usize = 1;
/// Bytes that a router may send to others in a second, by the target for control.
const MAX_BYTES_PER_S: u64 = 5_000;
/// Number of requests that a router may remember.
const MAX_REMEMBERED: usize = 4_096;
/// Sizes of the fleets.
const SIZES: [u16; 4] = [7, 91, 295, 410];

fn load(routers: u16, fault: RouterFault) -> EndedRequestLoad {
    EndedRequestLoad {
        routers,
        engines: if routers < 20 { 18 } else { 2 * usize::from(routers).min(400) },
        sound_per_s: 24.0 * f64::from(routers),
        tries_per_s: 8.0,
        first_router_share: 0.0,
        other_crashes_per_s: 0.0,
        fault,
        loss: 0.02,
        length: Duration::from_secs(12),
        has_no_exchange: false,
    }
}

/// Checks the limit, that sound requests are not refused, and what the routers send and remember.
fn check(load: &EndedRequestLoad, max_ended: usize) {
    for seed in 1..=2 {
        let outcome = run_ended_requests(load, seed);
        let EndedRequestOutcome { ended, sound_refused, sent_bytes, max_remembered, .. } = outcome;
        let bytes_per_s = sent_bytes / u64::from(load.routers) / load.length.as_secs();
        println!("{} routers, {:?}: {outcome:?}, {bytes_per_s} bytes/s", load.routers, load.fault);
        assert!(ended <= max_ended, "{ended} ended");
        assert_eq!(sound_refused, 0);
        assert!(bytes_per_s <= MAX_BYTES_PER_S, "{bytes_per_s}");
        assert!(max_remembered <= MAX_REMEMBERED, "{max_remembered}");
    }
}

/// Guards against a limit that depends on the size of the fleet.
#[test]
fn the_limit_holds_at_each_size() {
    for routers in SIZES {
        check(&load(routers, RouterFault::None), MAX_ENDED + IN_PROGRESS);
    }
}

/// Guards against processes that forget what those before them saw.
#[test]
fn the_limit_holds_while_routers_are_killed() {
    for routers in SIZES {
        let series = RouterFault::KilledInSeries(Duration::from_millis(200));
        check(&load(routers, series), MAX_ENDED + IN_PROGRESS);
        let all = RouterFault::AllKilled(Duration::from_secs(2));
        // All memory of a first end is lost with the first kill; from then on it is listed.
        check(&load(routers, all), MAX_ENDED + IN_PROGRESS + 1);
    }
}

/// Guards against routers that reach neither the store nor each other: each may run the request
/// once, since none has the records of the others.
#[test]
fn each_router_out_of_touch_runs_the_request_once() {
    for routers in SIZES {
        check(&load(routers, RouterFault::OutOfTouch(2)), MAX_ENDED + IN_PROGRESS + 2);
    }
}

/// Guards against a limit that needs the store, or the list of routers.
#[test]
fn the_limit_holds_without_the_store_or_the_list() {
    for routers in SIZES {
        check(&load(routers, RouterFault::StoreAway), MAX_ENDED + IN_PROGRESS);
        check(&load(routers, RouterFault::ListLapsed), MAX_ENDED + IN_PROGRESS);
    }
}

/// Guards against a limit that holds only while callers reach all routers alike.
#[test]
fn the_limit_holds_with_uneven_callers() {
    for routers in SIZES {
        let load = EndedRequestLoad { first_router_share: 0.9, ..load(routers, RouterFault::None) };
        check(&load, MAX_ENDED + IN_PROGRESS);
    }
}

/// Guards against sound requests that are refused since engines crash for another reason.
#[test]
fn crashes_for_another_reason_refuse_no_request() {
    for routers in SIZES {
        let other_crashes_per_s = if routers < 20 { 3.0 } else { 12.0 };
        let load = EndedRequestLoad { other_crashes_per_s, ..load(routers, RouterFault::None) };
        check(&load, MAX_ENDED + IN_PROGRESS);
    }
}

/// Guards against a check that reports nothing: routers that exchange nothing exceed it.
#[test]
fn routers_without_an_exchange_are_reported() {
    let load = EndedRequestLoad { has_no_exchange: true, ..load(7, RouterFault::None) };
    assert!(run_ended_requests(&load, 1).ended > MAX_ENDED + IN_PROGRESS + 2);
}
