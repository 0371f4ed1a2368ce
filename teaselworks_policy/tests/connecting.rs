//! Tests of the timeout for opening a connection.

use std::time::Duration;

use teaselworks_policy::upstream::ConnectTimes;

/// Returns the state after many connections that took `mean_ms` each.
fn times(mean_ms: u64) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    for _ in 0..50 {
        times.on_opened(Duration::from_millis(mean_ms));
    }
    times
}

/// Guards against requests that exceed their target latency while they wait for a connection to a
/// replica whose host does not respond.
#[test]
fn the_timeout_is_short_where_connections_open_quickly() {
    assert_eq!(times(2).timeout(), Duration::from_millis(100));
    assert_eq!(times(60).timeout(), Duration::from_millis(400));
}

/// Guards against a router whose own link has become slow and that abandons every connection,
/// because the timeout follows connections from before.
#[test]
fn consecutive_timeouts_raise_the_timeout_until_a_connection_opens() {
    let mut times = times(2);
    for _ in 0..4 {
        assert_eq!(times.timeout(), Duration::from_millis(100));
        times.on_timeout();
    }
    assert_eq!(times.timeout(), Duration::from_millis(400));
    times.on_opened(Duration::from_millis(300));
    assert!(times.timeout() > Duration::from_millis(300), "a slow link stays slow for a while");
}
