//! Decides whether a search that found no place begins anew.

use std::time::Duration;

use teaselworks_policy::verdict::RefusalReason;

/// First pause after failures: an upstream may be on its way back or to another role, or another
/// router about to own it.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failures, each twice the one before.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Sum of the pauses after which the request is given up: by then the fleet has found another
/// owner for the replicas of a lost one.
const LONGEST_RECOVERY: Duration = Duration::from_secs(5);
/// First pause after every replica refused for its load, each twice the one before.
///
/// Loads that rise together overtake every estimate of their mean: of many requests that arrive
/// at once, each finds replicas that others have just filled. The next search sees the new loads;
/// without it callers would be refused by a fleet that has room.
const LOAD_PAUSE: Duration = Duration::from_millis(20);
/// Searches after which the replicas' refusals are taken as they are.
const LOAD_SEARCHES: u32 = 5;

/// Searches made for one request.
#[derive(Debug, Default)]
pub struct Recovery {
    searches: u32,
    waited: Duration,
}

impl Recovery {
    /// Returns the pause before the next search; `None`: the request is given up.
    pub fn next(&mut self, last: RefusalReason) -> Option<Duration> {
        let pause = match last {
            RefusalReason::OverBound if self.searches < LOAD_SEARCHES => {
                LOAD_PAUSE.saturating_mul(1 << self.searches)
            }
            RefusalReason::UpstreamFailed
            | RefusalReason::UpstreamUnreachable
            | RefusalReason::OwnerUnreachable
            | RefusalReason::NotOwner
            | RefusalReason::OtherRole
                if self.waited < LONGEST_RECOVERY =>
            {
                let doubled = FAILURE_PAUSE.saturating_mul(1 << self.searches.min(16));
                doubled.min(LONGEST_FAILURE_PAUSE)
            }
            _ => return None,
        };
        self.searches += 1;
        self.waited += pause;
        Some(pause)
    }
}
