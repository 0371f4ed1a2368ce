//! What routers remember of where streams began, and which replicas a stream may go on at.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::placement::{
    PlacementReason, PlacementRequest, PlacementSettings, Prompt, PromptPart, place,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::stream_origin::{StreamKeys, StreamOrigin, StreamOrigins};
use teaselworks_policy::upstream::{ColdBound, ColdSettings, Pool, RequestOutcome, Upstream};
use teaselworks_policy::verdict::RefusalReason;

const NOW: Duration = Duration::from_secs(100);
const SETTINGS: PlacementSettings = PlacementSettings { load_factor: 2.0, routers: 1 };

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "chat".into(), version: version.into() }
}

/// Returns the keys of a stream with a content of its own.
fn keys(stream: u64) -> StreamKeys {
    StreamKeys { request: stream, content: 1_000_000 + stream }
}

/// Returns replicas of which every `nth` one has version `v2`, the others `v1`.
fn pool(replicas: usize, nth: usize) -> Pool {
    let mut pool = Pool::default();
    for number in 0..replicas {
        let version = if number % nth == 0 { "v2" } else { "v1" };
        let upstream = Upstream::example(&format!("i-{number}"), "chat");
        pool.put(Upstream { version: version.into(), ..upstream });
    }
    pool
}

fn prompt(key: u64) -> Prompt {
    let parts = [1, key, 1_000_000 + key].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    Prompt { parts, input_tokens: 300, output_tokens: 50, output_hint: None }
}

fn request<'a>(prompt: Option<&'a Prompt>, version: Option<&'a str>) -> PlacementRequest<'a> {
    let second = Duration::from_secs(1);
    PlacementRequest {
        prompt,
        zone: "a",
        tried: &[],
        version,
        begins_stream: false,
        remaining: second,
        max_retry_after: second,
        has_started: version.is_some(),
        is_late: false,
        class: None,
        admission: Admission::Normal,
    }
}

/// Guards against a table of streams that grows without bound while many begin.
#[test]
fn the_number_of_known_streams_is_bounded() {
    let mut origins = StreamOrigins::default();
    for stream in 0..100_000 {
        origins.record(NOW, keys(stream), &origin("v1"));
    }
    assert!(origins.len() <= 16_384, "{}", origins.len());
    assert!(origins.find(NOW, keys(99_999)).is_some(), "the newest streams are kept");
}

/// Guards against names of versions that are kept for ever: every release brings another one.
#[test]
fn streams_of_many_versions_are_forgotten_after_a_minute() {
    let mut origins = StreamOrigins::default();
    for number in 0..10_000 {
        let now = NOW + Duration::from_millis(100) * number;
        origins.record(now, keys(u64::from(number)), &origin(&format!("v{number}")));
    }
    // Two keys for each stream.
    assert!(origins.len() <= 2 * 601, "{}", origins.len());
}

/// Guards against a stream that goes on at another version because its key's first replicas have
/// that one.
#[test]
fn a_stream_goes_on_at_a_replica_of_its_version_only() {
    let pool = pool(18, 6);
    let mut random = Pcg32::seed_from_u64(1);
    for key in 10..400 {
        for (prompt, version) in
            [(Some(prompt(key)), "v1"), (Some(prompt(key)), "v2"), (None, "v2")]
        {
            let request = request(prompt.as_ref(), Some(version));
            let placement = place(&pool, NOW, &request, &SETTINGS, &mut random).unwrap();
            assert_eq!(&*placement.upstream.version, version);
        }
    }
}

/// Guards against ejections that make a router send a stream to a sound replica of another version.
#[test]
fn a_stream_goes_on_at_an_ejected_replica_if_its_version_has_no_other() {
    let mut pool = pool(6, 6);
    let only = pool.members()[0].upstream.incarnation();
    for _ in 0..3 {
        pool.begin_request(NOW, &only);
        pool.end_request(NOW, &only, Some(RequestOutcome::NoAnswer), Duration::ZERO);
    }
    let mut random = Pcg32::seed_from_u64(1);
    let placement = place(&pool, NOW, &request(None, Some("v2")), &SETTINGS, &mut random).unwrap();
    assert_eq!(placement.upstream.id, only.id);
}

/// Guards against a cold replica of another version that takes the stream.
#[test]
fn a_stream_goes_on_at_a_cold_replica_of_its_version_only() {
    let mut pool = pool(4, 2);
    pool.set_cold_bound(Some(ColdBound::new(32.0, &ColdSettings { overshoot: 1.0, slack: 3.0 })));
    let mut membership = teaselworks_policy::membership::Membership::new("a".into(), Vec::new());
    membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    membership.on_registered(Duration::ZERO, Duration::from_secs(1_000));
    for number in 0..4 {
        pool.set_cold_remaining(NOW, &format!("i-{number}"), Duration::from_secs(9));
    }
    pool.update_cold_shares(NOW, &membership);
    let mut random = Pcg32::seed_from_u64(1);
    for key in 10..100 {
        let prompt = prompt(key);
        let request = request(Some(&prompt), Some("v2"));
        let placement = place(&pool, NOW, &request, &SETTINGS, &mut random).unwrap();
        assert_eq!(placement.reason, PlacementReason::ColdRoom);
        assert_eq!(&*placement.upstream.version, "v2");
    }
}

/// Guards against a stream whose version has no replica and that waits, or goes on elsewhere.
#[test]
fn a_stream_of_a_version_without_replicas_is_refused() {
    let mut random = Pcg32::seed_from_u64(1);
    let refusal = place(&pool(6, 2), NOW, &request(None, Some("v3")), &SETTINGS, &mut random);
    let refusal = refusal.unwrap_err();
    assert_eq!((refusal.reason, refusal.http_status()), (RefusalReason::NoReplica, 503));
}
