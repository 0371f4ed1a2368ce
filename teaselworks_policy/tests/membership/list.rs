//! Readings of the platform's list: what they cost, and how soon what one router read is known.

use std::cmp::Reverse;
use std::time::Duration;

use teaselworks_policy::membership::{LEAVING_HOLD, ListedState, RouterState, Timing};
use teaselworks_policy::name::Name;

use crate::fleet::{Fleet, Platform};

const SECOND: Duration = Duration::from_secs(1);
/// Bytes of one row of the list.
const ROW_BYTES: usize = 114;
const ENGINE: &str = "engine-000";

fn engines(state: ListedState) -> Vec<(Name, ListedState)> {
    vec![(ENGINE.into(), state)]
}

/// Makes a fleet that agrees and reads the list by itself.
fn settled(size: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, zones, Timing::default(), seed);
    fleet.platform =
        Some(Platform { upstreams: engines(ListedState::Live), ..Platform::default() });
    fleet.run_while(120 * SECOND, |fleet| !fleet.agrees());
    fleet.run_until(fleet.now + 30 * SECOND, |_| {});
    fleet
}

fn platform(fleet: &mut Fleet) -> &mut Platform {
    fleet.platform.as_mut().unwrap()
}

/// Runs until all running routers know that the engine leaves; returns the time it took.
fn until_all_know(fleet: &mut Fleet) -> Duration {
    fleet.run_while(60 * SECOND, |fleet| {
        fleet.leaving(ENGINE) < fleet.nodes.iter().filter(|node| node.running).count()
    })
}

/// Symptom: a router of a large fleet spends several times its control budget on the list.
/// Sequence: routers and engines are added, one router to two engines. Cause: each router reads
/// the whole list as often as one alone would, so that its cost grows with the fleet.
#[test]
fn readings_of_the_list_cost_a_router_no_more_in_a_large_fleet() {
    for (size, zones) in [(8, 4), (32, 4), (128, 7)] {
        let mut fleet = settled(size, zones, size as u64);
        platform(&mut fleet).readings.clear();
        fleet.run_until(fleet.now + 300 * SECOND, |_| {});
        let readings = platform(&mut fleet).readings.len();
        let bytes = readings * 3 * size * ROW_BYTES / (300 * size);
        assert!(bytes < 300, "{bytes} bytes a second at {size} routers");
    }
}

/// Returns the routers that read the list most often, the first one first.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let mut counts = vec![0_usize; fleet.nodes.len()];
    for (_, node) in &fleet.platform.as_ref().unwrap().readings {
        counts[*node] += 1;
    }
    let mut nodes: Vec<usize> = (0..counts.len()).collect();
    nodes.sort_by_key(|node| Reverse(counts[*node]));
    nodes
}

/// Symptom: an engine that shuts down gets new work for minutes. Sequence: the routers that read
/// the list most often die, freeze or can't reach it, alone or with their availability zone, right
/// before it shows the engine as leaving. Cause: those that read it for the others don't, and
/// nobody else does.
#[test]
fn what_the_list_says_is_known_in_seconds_whoever_fails_to_read_it() {
    let mut slowest = Vec::new();
    for seed in 0..20 {
        let mut fleet = settled(28, 7, seed);
        platform(&mut fleet).readings.clear();
        fleet.run_until(fleet.now + 30 * SECOND + Duration::from_millis(seed * 337), |_| {});
        let mut failing = readers(&fleet);
        failing.truncate(4);
        let until = fleet.now + 20 * SECOND;
        match seed % 3 {
            0 => failing.iter().for_each(|node| fleet.kill(*node)),
            1 => failing.iter().for_each(|node| fleet.nodes[*node].paused_until = until),
            _ => {
                let zone = failing[0] % 7;
                platform(&mut fleet).cut_off = (0..28).filter(|node| node % 7 == zone).collect();
            }
        }
        platform(&mut fleet).upstreams = engines(ListedState::Leaving);
        let awake = fleet.nodes.iter().filter(|n| n.running && n.paused_until < fleet.now).count();
        slowest.push(fleet.run_while(60 * SECOND, |fleet| fleet.leaving(ENGINE) < awake));
    }
    slowest.sort();
    assert!(slowest[10] <= 4 * SECOND, "half within {:?}", slowest[10]);
    assert!(slowest[19] <= 8 * SECOND, "all within {:?}", slowest[19]);
}

/// Symptom: a router gives work to an engine that shut down minutes ago. Sequence: the router, or
/// its whole zone, is cut off from the fleet and from the list while the others hear that the
/// engine leaves; it comes back when nobody speaks of it any more. Cause: news that were passed on
/// a bounded number of times are never told again.
#[test]
fn routers_that_missed_the_news_hear_of_a_leaving_engine_on_their_return() {
    for away in [vec![3], vec![3, 10, 17, 24]] {
        let mut fleet = settled(28, 7, 5);
        away.iter().for_each(|node| fleet.nodes[*node].side = 1);
        platform(&mut fleet).cut_off = away.iter().copied().collect();
        platform(&mut fleet).upstreams = engines(ListedState::Leaving);
        fleet.run_until(fleet.now + 90 * SECOND, |_| {});
        assert_eq!(fleet.leaving(ENGINE), 28 - away.len());
        // Nobody reads the list from now on.
        platform(&mut fleet).cut_off = (0..28).collect();
        away.iter().for_each(|node| fleet.nodes[*node].side = 0);
        let reached = |fleet: &Fleet| {
            away.iter().all(|node| {
                let view = fleet.nodes[*node].membership.view();
                view.routers().iter().all(|router| router.state != RouterState::Dead)
            })
        };
        fleet.run_while(60 * SECOND, |fleet| !reached(fleet));
        let time = until_all_know(&mut fleet);
        assert!(time <= 10 * SECOND, "{time:?} after the return");
    }
}

/// Symptom: a router that nobody else reaches gives work to an engine that shuts down. Sequence:
/// it is cut off from the fleet, not from the list; later the engine leaves. Cause: it waits for
/// its turn, or for news that can't come.
#[test]
fn a_router_cut_off_alone_reads_the_list_itself() {
    let mut fleet = settled(128, 7, 9);
    fleet.nodes[40].side = 1;
    fleet.run_until(fleet.now + 2 * SECOND, |_| {});
    platform(&mut fleet).upstreams = engines(ListedState::Leaving);
    let knows = |fleet: &Fleet| fleet.nodes[40].membership.upstreams().is_leaving(ENGINE);
    let time = fleet.run_while(60 * SECOND, |fleet| !knows(fleet));
    assert!(time <= 6 * SECOND, "{time:?}");
}

/// Symptom: an engine that shuts down gets new work again. Sequence: the list calls it leaving for
/// minutes; some routers read a copy that is behind and calls it live, each at times far apart.
/// Cause: two single readings a minute apart are taken for a minute of evidence.
#[test]
fn stale_readings_far_apart_do_not_bring_an_upstream_back() {
    let mut fleet = settled(28, 7, 11);
    platform(&mut fleet).upstreams = engines(ListedState::Leaving);
    until_all_know(&mut fleet);
    for round in 0..40 {
        // Each spell of the stale copy is shorter than the evidence that is asked for.
        let stale = (0..28).filter(|node| (node + round) % 4 == 0);
        platform(&mut fleet).stale = stale.map(|node| (node, engines(ListedState::Live))).collect();
        let end = fleet.now + LEAVING_HOLD / 2;
        fleet.run_until(end, |fleet| assert_eq!(fleet.leaving(ENGINE), 28));
        platform(&mut fleet).stale.clear();
        let end = fleet.now + 40 * SECOND;
        fleet.run_until(end, |fleet| assert_eq!(fleet.leaving(ENGINE), 28));
    }
    platform(&mut fleet).upstreams = engines(ListedState::Live);
    let time = fleet.run_while(300 * SECOND, |fleet| fleet.leaving(ENGINE) > 0);
    assert!(time > LEAVING_HOLD && time < 2 * LEAVING_HOLD, "back after {time:?}");
}
