//! What membership costs and how fast it is, at sizes that a fleet may have.

use std::time::Duration;

use teaselworks_policy::membership::{RouterState, Timing};

use crate::fleet::{Fleet, Network};

const SECOND: Duration = Duration::from_secs(1);

fn settled(size: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(size, zones, Timing::default(), size as u64);
    fleet.run_while(120 * SECOND, |fleet| !fleet.agrees());
    fleet.run_until(fleet.now + 30 * SECOND, |_| {});
    fleet
}

/// Symptom: control traffic eats the network of a large fleet. Sequence: routers are added. Cause:
/// each one is told everything by everyone, or dials another peer at each probe.
#[test]
fn cost_and_links_of_a_router_do_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for (size, zones) in [(8, 4), (32, 4), (128, 7)] {
        let mut fleet = settled(size, zones);
        let before = fleet.bytes();
        fleet.called.clear();
        fleet.run_until(fleet.now + 60 * SECOND, |_| {});
        rates.push((fleet.bytes() - before) / (60 * size as u64));
        let links = fleet.called.len() as f64 / size as f64;
        assert!(links <= 16.0, "{links} links a router at {size}");
    }
    let (least, most) = (rates.iter().min().unwrap(), rates.iter().max().unwrap());
    assert!(*most < 300 && most - least < 30, "{rates:?} bytes a second");
}

/// Symptom: a router that was killed gets requests for long. Sequence: it is killed at any moment,
/// a hundred times. Cause: chance leaves it unprobed.
#[test]
fn losses_are_noticed_in_bounded_time() {
    let mut times = Vec::new();
    let mut fleet = settled(32, 4);
    for round in 0..100 {
        let victim = round * 7 % 32;
        fleet.run_until(fleet.now + Duration::from_millis(round as u64 * 37 % 1_000), |_| {});
        fleet.kill(victim);
        let dead = |fleet: &Fleet| fleet.seen(victim, RouterState::Dead);
        times.push(fleet.run_while(20 * SECOND, |fleet| dead(fleet) < 31));
        fleet.restart(victim);
        fleet.run_while(400 * SECOND, |fleet| fleet.seen(victim, RouterState::Dead) > 0);
    }
    times.sort();
    assert!(times[50] <= 4 * SECOND, "half of all within {:?}", times[50]);
    assert!(times[98] <= 6 * SECOND, "99 of 100 within {:?}", times[98]);
}

/// Symptom: healthy routers lose their replicas. Sequence: a tenth of all messages is lost and the
/// others come late. Cause: one lost message is taken for a lost router.
#[test]
fn bad_networks_make_few_false_losses() {
    let mut fleet = settled(16, 4);
    fleet.network = Network { loss: 0.1, duplicate: 0.05, longest_delay_ms: 80 };
    fleet.run_until(fleet.now + 600 * SECOND, |_| {});
    assert_eq!(fleet.denials, 0, "false losses in 16 x 600 s");
}
