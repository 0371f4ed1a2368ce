//! Origins of streams of equal requests.

use std::time::Duration;

use teaselworks_policy::stream_origin::{
    KnownOrigin, RETENTION, StreamKeys, StreamOrigin, StreamOrigins,
};

/// Guards against streams of a frequent request that never go on again after a release, although the
/// earlier version began none of them for longer than origins are kept.
#[test]
fn equal_requests_are_told_apart_again_once_the_earlier_origin_is_old() {
    let origin = |version: &str| StreamOrigin { service: "chat".into(), version: version.into() };
    let mut origins = StreamOrigins::default();
    let keys = |request: u64| StreamKeys { request, content: 7 };
    origins.record(Duration::ZERO, keys(1), &origin("v1"));
    let mut now = Duration::ZERO;
    for request in 2..40 {
        now += Duration::from_secs(10);
        origins.record(now, keys(request), &origin("v2"));
    }
    assert!(now > 4 * RETENTION);
    let found = origins.find(now, keys(99));
    assert!(matches!(found, Some(KnownOrigin::One(_))), "{found:?}");
}
