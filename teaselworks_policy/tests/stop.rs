//! The phases of a planned stop.

use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::stop::{Phase, StopPlan};

proptest! {
    /// Symptom: a router is killed in the middle of answers, or ends while the balancer still sends
    /// it callers. Cause: phases do not follow the grace period.
    #[test]
    fn phases_follow_in_order_and_end_before_the_kill(
        grace_ms in 1_000_u64..60_000,
        in_progress in 1_usize..100,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(grace);
        let order = |phase| match phase {
            Phase::Taking => 0,
            Phase::Finishing => 1,
            Phase::Ended => 2,
        };
        let mut before = 0;
        for step in 0..=200_u32 {
            let elapsed = grace * step / 200;
            let phase = order(plan.phase(elapsed, in_progress));
            prop_assert!(phase >= before);
            before = phase;
        }
        prop_assert_eq!(before, 2);
        prop_assert_eq!(plan.phase(grace * 5 / 8, 0), Phase::Ended);
    }
}
