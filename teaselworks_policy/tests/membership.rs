//! Which routers a router counts as alive, queries for changes, and lets read the store.

use std::net::SocketAddr;
use std::time::Duration;

use teaselworks_policy::membership::Membership;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Guards against a router that has no other router to query, because all registrations expired
/// during an outage of the store.
#[test]
fn routers_with_expired_lease_are_queried_but_not_counted() {
    let mut membership = Membership::new("a".into(), vec![address(1)]);
    membership.put("a".into(), address(1));
    membership.put("b".into(), address(2));
    assert_eq!(membership.live_count(), 2);
    assert!(membership.remove(Duration::from_secs(5), "b"));
    assert_eq!(membership.live_count(), 1);
    assert_eq!(membership.addresses(), [address(2)], "a router must not query itself");
}

/// Guards against a list of routers that grows with every router that is replaced.
#[test]
fn routers_unlisted_for_a_minute_are_dropped() {
    let mut membership = Membership::new("a".into(), Vec::new());
    membership.put("b".into(), address(2));
    membership.put("c".into(), address(3));
    membership.remove(Duration::from_secs(5), "b");
    membership.remove(Duration::from_secs(70), "c");
    assert_eq!(membership.addresses(), [address(3)]);
}

/// Guards against a router that is still counted after it disappeared while changes were missed: a
/// complete list must give the routers that it lacks.
#[test]
fn replacing_the_list_returns_the_routers_that_left() {
    let mut membership = Membership::new("a".into(), vec![address(9)]);
    membership.put("b".into(), address(2));
    let lost = membership.replace(Duration::ZERO, vec![("c".into(), address(3))]);
    assert_eq!(lost, ["b".into()]);
    assert_eq!(membership.live_count(), 2);
    assert_eq!(membership.addresses(), [address(3), address(2), address(9)]);
}

/// Returns the views of all routers of a fleet in which every router is registered.
fn fleet(routers: u16) -> Vec<Membership> {
    let list: Vec<_> =
        (0..routers).map(|n| (format!("router-{n}").into(), address(1_000 + n))).collect();
    let mut fleet = Vec::new();
    for (name, _) in &list {
        let mut membership = Membership::new(std::sync::Arc::clone(name), Vec::new());
        membership.replace(Duration::ZERO, list.clone());
        fleet.push(membership);
    }
    fleet
}

/// Guards against a load on the store that grows with the square of the number of routers: in a
/// large fleet only four routers may read the store, and all routers must agree on which.
#[test]
fn four_routers_read_the_store_for_a_large_fleet() {
    let fleet = fleet(73);
    let assigned_readers: Vec<SocketAddr> = fleet.iter().filter_map(Membership::reader).collect();
    assert_eq!(assigned_readers.len(), 73 - 4);
    let mut readers = assigned_readers.clone();
    readers.sort();
    readers.dedup();
    assert_eq!(readers.len(), 4, "each reader serves at least one other router");
    for (number, router) in fleet.iter().enumerate() {
        let is_reader = readers.contains(&address(1_000 + number as u16));
        assert_eq!(router.reader().is_none(), is_reader);
    }
}

/// Guards against routers of a small fleet that depend on each other for changes in the store.
#[test]
fn every_router_of_a_small_fleet_reads_the_store() {
    assert!(fleet(12).iter().all(|router| router.reader().is_none()));
}

/// Guards against a large fleet in which every router retries calls to an overloaded store several
/// times a second.
#[test]
fn store_retry_rate_is_bounded_in_a_large_fleet() {
    let longest = Duration::from_secs(10);
    for size in [30_u32, 70, 300] {
        let mut calls_per_s = 0.0;
        for own in 0..size {
            let mut membership = Membership::new(format!("router-{own}").into(), Vec::new());
            for number in 0..size {
                membership.put(format!("router-{number}").into(), ([127, 0, 0, 1], 80).into());
            }
            calls_per_s += 1.0 / membership.retry_pause(longest).as_secs_f64();
        }
        assert!(calls_per_s < 60.0, "{size} routers, {calls_per_s} calls/s");
    }
}
