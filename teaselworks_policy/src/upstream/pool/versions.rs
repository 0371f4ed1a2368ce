//! Which software versions of a service begin resumable streams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Pool;
use crate::upstream::Member;

/// Time for which the software versions of the replicas count as recorded.
const VERSIONS_LIFETIME: Duration = Duration::from_millis(100);

impl Pool {
    /// Records the software versions of the replicas. A version that has been known for less than the
    /// time `settling` begins no resumable streams as long as another one takes requests; at a
    /// router that knows all of them for less, the version of most replicas does.
    pub fn update_versions(&mut self, now: Duration, settling: Duration) {
        self.versions_at = Some(now);
        for member in &self.members {
            self.versions.on_listed(now, &member.upstream.version);
        }
        if !self.versions.has_several() {
            self.members.iter_mut().for_each(|member| member.is_unsettled = false);
            return;
        }
        for member in &mut self.members {
            let version = &member.upstream.version;
            member.is_unsettled = !self.versions.is_settled(now, version, settling);
        }
        let is_usable = |member: &&Member| member.takes_requests();
        // A router that has just started knows all versions for the same time; those that the record
        // lacks are the newest.
        let is_recorded = |member: &Member| self.versions.is_recorded(&member.upstream.version);
        let has_recorded = self.members.iter().any(|m| m.takes_requests() && is_recorded(m));
        if self.members.iter().filter(is_usable).any(|member| !member.is_unsettled) {
            return;
        }
        let count = |version: &Arc<str>| {
            let mut usable = self.members.iter().filter(is_usable);
            let count =
                usable.by_ref().filter(|member| member.upstream.version == *version).count();
            (count, version.clone())
        };
        let begins = |member: &&Member| is_usable(member) && (!has_recorded || is_recorded(member));
        let versions = self.members.iter().filter(begins).map(|member| &member.upstream.version);
        let Some((_, version)) = versions.map(count).max() else { return };
        for member in &mut self.members {
            member.is_unsettled = member.upstream.version != version;
        }
    }

    /// Updates what [`Pool::update_versions`] does, unless that was done recently.
    pub fn refresh_versions(&mut self, now: Duration, settling: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < VERSIONS_LIFETIME;
        if !self.versions_at.is_some_and(is_recent) {
            self.update_versions(now, settling);
        }
    }

    /// Returns the software versions that were listed within the time `within`, at most 90 s.
    pub fn versions(&self, now: Duration, within: Duration) -> BTreeSet<Arc<str>> {
        self.versions.listed_within(now, within)
    }

    /// Records the software versions that were listed lately by the record in the store.
    pub fn set_recorded_versions(&mut self, versions: Option<&BTreeSet<Arc<str>>>) {
        self.versions.set_recorded(versions);
    }

    /// Returns the only software version that any router can have begun streams at, if there is just
    /// one, as far as this router is aware.
    pub fn sole_version(&self, now: Duration) -> Option<Arc<str>> {
        self.versions.sole_version(now)
    }
}
