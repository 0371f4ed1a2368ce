//! Tests of the list of upstreams: outages of the store, restarts and undecodable entries.

use std::time::{Duration, SystemTime};

use teaselworks_policy::upstream::{Change, ListEntry, Registry, Upstream};

fn upstream(id: &str) -> Upstream {
    Upstream::example(id, "chat")
}

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

/// Guards against a router that has no upstreams for seconds after an outage of the store, because
/// the entries of live upstreams expired in it.
#[test]
fn entries_that_expired_in_an_outage_are_kept_until_they_return() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.replace(seconds(15.0), Vec::new()), [Change::Missing("i-1".into())]);
    assert_eq!(registry.len(), 1);
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Serving(upstream("i-1"))));
    assert!(registry.expire(seconds(60.0)).is_empty());
}

/// Guards against a re-registration period that never ends, so that a stopped upstream stays in
/// use.
#[test]
fn missing_entries_are_removed_after_the_reregistration_period() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    registry.replace(seconds(15.0), Vec::new());
    assert!(registry.expire(seconds(17.0)).is_empty());
    assert_eq!(registry.expire(seconds(17.5)), [Change::Gone("i-1".into())]);
    assert!(registry.is_empty());
}

/// Guards against a re-registration period for an upstream that announced that it stops.
#[test]
fn a_draining_upstream_gets_no_reregistration_period() {
    let mut registry = Registry::new();
    registry.put(Upstream { is_draining: true, ..upstream("i-1") });
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.replace(seconds(15.0), Vec::new()), [Change::Gone("i-1".into())]);
}

/// Guards against taking one failed call for an outage in which entries expire.
#[test]
fn a_short_outage_gives_no_reregistration_period() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(10.5));
    assert_eq!(registry.remove(seconds(10.6), "i-1"), Some(Change::Gone("i-1".into())));
}

/// Guards against a re-registration period for entries that are removed long after the outage.
#[test]
fn removals_after_the_reregistration_period_apply_at_once() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    assert_eq!(registry.remove(seconds(18.0), "i-1"), Some(Change::Gone("i-1".into())));
}

/// Guards against taking a fault of this router for an outage of the store in which entries expire.
#[test]
fn an_outage_of_one_router_gives_no_reregistration_period() {
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

/// Guards against keeping the state of a replica that has restarted under the same identifier.
#[test]
fn a_later_start_is_told_apart_from_the_one_before() {
    let mut registry = Registry::new();
    registry.put(started("i-1", 1_000));
    let later = started("i-1", 2_000);
    assert_eq!(registry.put(later.clone()), Some(Change::Restarted(later.clone())));
    assert_eq!(registry.put(later), None);
}

/// Guards against an entry from a slow router or a stale read that replaces that of a later start.
#[test]
fn an_entry_of_an_earlier_start_is_ignored() {
    let mut registry = Registry::new();
    let known = started("i-1", 2_000);
    registry.put(known.clone());
    let list = vec![ListEntry::Upstream(started("i-1", 1_000))];
    assert_eq!(registry.replace(seconds(1.0), list), [Change::Stale("i-1".into())]);
    assert_eq!(registry.upstreams().collect::<Vec<_>>(), [&known]);
}

/// Guards against requests to a replica whose entry was overwritten by someone else.
#[test]
fn an_undecodable_entry_suspends_its_replica_until_it_can_be_decoded() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.put(upstream("i-2"));
    let list = || vec![ListEntry::Unreadable("i-1".into()), ListEntry::Upstream(upstream("i-2"))];
    assert_eq!(registry.replace(seconds(1.0), list()), [Change::Suspended("i-1".into())]);
    assert_eq!(registry.replace(seconds(2.0), list()), []);
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Serving(upstream("i-1"))));
}

/// Guards against a re-registration period for a replica whose last entry was written by someone
/// else.
#[test]
fn a_suspended_replica_gets_no_reregistration_period() {
    let mut registry = Registry::new();
    registry.put(upstream("i-1"));
    registry.on_lost(seconds(10.0));
    registry.on_regained(seconds(15.0));
    registry.suspend("i-1");
    assert_eq!(registry.remove(seconds(15.1), "i-1"), Some(Change::Gone("i-1".into())));
}

/// Guards against an entry without a start time that replaces one with a start time.
#[test]
fn an_entry_that_lacks_the_known_start_time_suspends_its_replica() {
    let mut registry = Registry::new();
    registry.put(started("i-1", 1_000));
    assert_eq!(registry.put(upstream("i-1")), Some(Change::Suspended("i-1".into())));
}

/// Guards against a replica that is taken for warm, because the entry by which it is cold again
/// equals the last one that was read.
#[test]
fn an_equal_entry_of_a_cold_replica_is_a_change() {
    let mut registry = Registry::new();
    let cold = Upstream { cold_remaining: Duration::from_secs(3), ..upstream("i-1") };
    registry.put(cold.clone());
    assert_eq!(registry.put(cold.clone()), Some(Change::Serving(cold)));
}
