//! The list of upstreams through outages of the service that lists them.

use std::time::{Duration, SystemTime};

use teaselworks_policy::upstream::{Change, ListEntry, Registry, Upstream};

fn upstream(id: &str) -> Upstream {
    Upstream::example(id, "chat")
}

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

/// Guards against a router without upstreams for seconds, since entries lapsed in an outage.
#[test]
fn entries_that_lapsed_in_an_outage_stay_until_they_are_back() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.replace(seconds(15.0), Vec::new()), [Change::Missing("i-1".into())]);
    assert_eq!(registry.len(), 1);
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Serving(upstream("i-1"))));
    assert!(registry.expire(seconds(60.0)).is_empty());
}

/// Guards against a grace period for lapsed entries that never ends.
#[test]
fn entries_that_do_not_come_back_are_gone() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    registry.replace(seconds(15.0), Vec::new());
    assert!(registry.expire(seconds(17.0)).is_empty());
    assert_eq!(registry.expire(seconds(17.5)), [Change::Gone("i-1".into())]);
    assert!(registry.is_empty());
}

/// Guards against a grace period for an upstream that said it leaves.
#[test]
fn an_upstream_that_drained_is_not_waited_for() {
    let mut registry = Registry::new();
    registry.put(Upstream { is_draining: true, ..upstream("i-1") });
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.replace(seconds(15.0), Vec::new()), [Change::Gone("i-1".into())]);
}

/// Guards against one failed call that is taken for an outage in which entries lapse.
#[test]
fn a_short_silence_gives_no_grace() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(10.5));
    assert_eq!(registry.remove(seconds(10.6), "i-1"), Some(Change::Gone("i-1".into())));
}

#[test]
fn removals_long_after_an_outage_count_at_once() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.remove(seconds(18.0), "i-1"), Some(Change::Gone("i-1".into())));
}

/// Guards against a router's own fault that is taken for an outage in which entries lapse.
#[test]
fn an_outage_of_one_router_gives_no_grace() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_read_elsewhere();
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.remove(seconds(15.1), "i-1"), Some(Change::Gone("i-1".into())));
}

fn started(id: &str, ms: u64) -> Upstream {
    let started = Some(SystemTime::UNIX_EPOCH + Duration::from_millis(ms));
    Upstream { started, ..upstream(id) }
}

/// Guards against taking a replica that started again under its identifier for the one before.
#[test]
fn a_later_start_is_told_apart_from_the_one_before() {
    let mut registry = Registry::new();
    registry.put(started("i-1", 1_000));
    let later = started("i-1", 2_000);
    assert_eq!(registry.put(later.clone()), Some(Change::Restarted(later.clone())));
    assert_eq!(registry.put(later), None);
}

/// Guards against a slow router or a stale read that brings an ended replica back.
#[test]
fn an_entry_of_an_earlier_start_is_ignored() {
    let mut registry = Registry::new();
    let known = started("i-1", 2_000);
    registry.put(known.clone());
    let list = vec![ListEntry::Upstream(started("i-1", 1_000))];
    assert_eq!(registry.replace(seconds(1.0), list), [Change::Stale("i-1".into())]);
    assert_eq!(registry.upstreams().collect::<Vec<_>>(), [&known]);
}

/// Guards against requests to a replica by an entry that somebody else wrote over its own.
#[test]
fn an_entry_that_cannot_be_read_suspends_its_replica_until_it_can() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.put(upstream("i-2"));
    let list = || vec![ListEntry::Unreadable("i-1".into()), ListEntry::Upstream(upstream("i-2"))];
    assert_eq!(registry.replace(seconds(1.0), list()), [Change::Suspended("i-1".into())]);
    assert_eq!(registry.replace(seconds(2.0), list()), []);
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Serving(upstream("i-1"))));
}

/// Guards against a grace period for a replica whose last entry was not its own.
#[test]
fn a_suspended_replica_that_is_removed_is_gone_at_once() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    registry.suspend("i-1");
    assert_eq!(registry.remove(seconds(15.1), "i-1"), Some(Change::Gone("i-1".into())));
}

/// Guards against an entry without a start time that stands over one with it.
#[test]
fn a_replica_that_says_when_it_started_always_does() {
    let mut registry = Registry::new();
    registry.put(started("i-1", 1_000));
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Suspended("i-1".into())));
}
