//! How long a router waits for connections.

use std::time::Duration;

use teaselworks_policy::upstream::ConnectTimes;

fn times(usual_ms: u64) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    for _ in 0..50 {
        times.on_opened(Duration::from_millis(usual_ms));
    }
    times
}

/// Guards against requests that wait at a dark replica for longer than their callers aim at.
#[test]
fn a_dark_replica_is_left_soon_where_connections_are_quick() {
    assert_eq!(times(2).timeout(), Duration::from_millis(100));
    assert_eq!(times(60).timeout(), Duration::from_millis(400));
}

/// Guards against a router whose own link turned slow and that gives up every connection.
#[test]
fn nothing_but_failures_lengthens_the_wait_until_a_connection_is_open() {
    let mut times = times(2);
    for _ in 0..4 {
        assert_eq!(times.timeout(), Duration::from_millis(100));
        times.on_timeout();
    }
    assert_eq!(times.timeout(), Duration::from_millis(400));
    times.on_opened(Duration::from_millis(300));
    assert!(
        times.timeout() > Duration::from_millis(300),
        "links that are slow stay so for a while"
    );
}
