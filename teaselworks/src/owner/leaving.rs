//! Empties the queues of replicas that leave.

use teaselworks_policy::verdict::{Refusal, RefusalReason};

use super::service::Owner;

impl Owner {
    /// Turns away what waits at replicas that leave: it would be new work for them.
    pub(super) fn clear_leaving(&self) {
        let now = self.parts.clock.monotonic();
        let refusal = Refusal::not_run(RefusalReason::NoReplica, None, "The replica is leaving.");
        for (name, upstream) in &self.numbered().configuration.upstreams {
            let Some(replica) = self.known(name) else {
                continue;
            };
            if upstream.leaving || self.parts.fleet.is_leaving(name) {
                replica.turn_away(now, &refusal);
            }
        }
    }
}
