//! How current the list of upstreams and routers is.

use std::time::Duration;

use super::Fleet;

impl Fleet {
    /// Records that the list of upstreams and routers was complete at the clock reading `at`.
    pub fn on_list_confirmed(&mut self, at: Duration) {
        let confirmed_at = self.list_confirmed_at;
        if confirmed_at.is_some_and(|confirmed_at| at <= confirmed_at) {
            return;
        }
        // A router that joined and left in between may have used its part of the retry slack.
        let has_gap = confirmed_at
            .is_none_or(|confirmed_at| at - confirmed_at >= self.settings.slack_settling());
        if has_gap {
            self.list_complete_since = Some(at);
        }
        let max_age = self.settings.max_list_age();
        if confirmed_at.is_none_or(|confirmed_at| at - confirmed_at > max_age) {
            self.origin_memory.on_gap(at);
        }
        self.list_confirmed_at = Some(at);
    }

    /// Returns the time since the list of upstreams and routers was last known to be complete.
    pub fn list_age(&self, now: Duration) -> Option<Duration> {
        self.list_confirmed_at.map(|at| now.saturating_sub(at))
    }
}
