//! Placement at cold replicas, which get requests only when no other replica takes them.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::{
    PlacementReason, PlacementRequest, PlacementSettings, Prompt, PromptPart, place,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::upstream::{
    ColdBound, ColdSettings, LoadReport, Pool, RequestOutcome, Upstream,
};

const NOW: Duration = Duration::from_secs(5);

/// Guards against prompts that a cold replica reads anew although another replica has them cached.
/// The cold replica gets the request since all others are full.
#[test]
fn a_request_at_a_cold_replica_names_a_holder_of_its_prompt() {
    let second = Duration::from_secs(1);
    let mut pool = Pool::default();
    for id in ["i-0", "i-1", "i-2"] {
        pool.put(Upstream { slots: 1, ..Upstream::example(id, "chat") });
    }
    for id in ["i-0", "i-1"] {
        let incarnation = Upstream::example(id, "chat").incarnation();
        pool.begin_request(NOW, &incarnation);
        pool.end_request(NOW, &incarnation, Some(RequestOutcome::Answered), second);
        pool.on_load_report(NOW, &incarnation, LoadReport { running: 1, waiting: 3 });
    }
    pool.set_cold_bound(Some(ColdBound::new(18.0, &ColdSettings { overshoot: 1.5, slack: 5.0 })));
    pool.set_cold_remaining(NOW, "i-2", second);
    let parts = [1, 10, 11].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    let prompt = Prompt { parts, input_tokens: 300, output_tokens: 50, output_hint: None };
    let request = PlacementRequest {
        prompt: Some(&prompt),
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: false,
        remaining: second,
        max_retry_after: second,
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    };
    let settings = PlacementSettings { load_factor: 2.0, routers: 1 };
    let mut random = Pcg32::seed_from_u64(7);
    assert!(
        place(&pool, NOW, &request, &settings, &mut random).is_err(),
        "this router has no share of the cold replica's rate"
    );
    let mut membership = Membership::new("a".into(), Vec::new());
    membership.put("a".into(), ([127, 0, 0, 1], 80).into());
    membership.on_registered(Duration::ZERO, 60 * second);
    pool.update_cold_shares(NOW, &membership);
    let placed = place(&pool, NOW, &request, &settings, &mut random).unwrap();
    assert_eq!((&*placed.upstream.id, placed.reason), ("i-2", PlacementReason::ColdRoom));
    assert!(placed.holder.is_some());
}
