//! Software versions that serve, or recently served, in one service.
//!
//! A stream of unknown origin may go on where only one version can have begun it. For that, a version
//! that is new to a router begins no streams there before all routers that follow the store know it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a version whose last replica is gone may still have begun a stream that a caller
/// resumes.
const MEMORY: Duration = Duration::from_secs(60);
/// Time for which such a version is remembered.
const RETENTION: Duration = Duration::from_secs(90);

/// A version of the service's software.
#[derive(Clone, Debug)]
struct KnownVersion {
    version: Arc<str>,
    /// Clock reading at which this router first knew a replica of the version.
    known_since: Duration,
    /// Clock reading at which a replica of the version was last known to be listed.
    listed_at: Duration,
}

/// The versions of one service, in the view of this router.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    versions: Vec<KnownVersion>,
    /// Versions that were listed lately by the record in the store.
    recorded: BTreeSet<Arc<str>>,
}

impl VersionHistory {
    /// Records that a replica of a version is listed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::VersionHistory;
    ///
    /// let mut history = VersionHistory::default();
    /// history.on_listed(Duration::ZERO, &"v1".into());
    /// assert_eq!(history.sole_version(Duration::ZERO).as_deref(), Some("v1"));
    /// history.on_listed(Duration::ZERO, &"v2".into());
    /// assert_eq!(history.sole_version(Duration::ZERO), None);
    /// ```
    pub fn on_listed(&mut self, now: Duration, version: &Arc<str>) {
        match self.versions.iter_mut().find(|known| known.version == *version) {
            Some(known) => known.listed_at = now,
            None => {
                self.versions.retain(|known| now.saturating_sub(known.listed_at) < RETENTION);
                let version = version.clone();
                self.versions.push(KnownVersion { version, known_since: now, listed_at: now });
            }
        }
    }

    /// Returns whether more than one version is remembered.
    pub fn has_several(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns the only version that was listed within the last minute, if there is just one.
    ///
    /// Versions whose replicas are still listed must have been recorded at `now`.
    pub fn sole_version(&self, now: Duration) -> Option<Arc<str>> {
        let is_recent = |known: &&KnownVersion| now.saturating_sub(known.listed_at) < MEMORY;
        let mut recent = self.versions.iter().filter(is_recent);
        let sole = recent.next()?;
        recent.next().is_none().then(|| sole.version.clone())
    }

    /// Returns the versions that were listed within the time `within`, at most 90 s.
    ///
    /// Versions whose replicas are still listed must have been recorded at `now`.
    pub fn listed_within(&self, now: Duration, within: Duration) -> BTreeSet<Arc<str>> {
        let versions = self.versions.iter();
        let listed = versions.filter(|known| now.saturating_sub(known.listed_at) < within);
        listed.map(|known| known.version.clone()).collect()
    }

    /// Records the versions that were listed lately by the record in the store.
    pub fn set_recorded(&mut self, versions: Option<&BTreeSet<Arc<str>>>) {
        self.recorded = versions.cloned().unwrap_or_default();
    }

    /// Returns whether the record in the store has a version.
    pub fn is_recorded(&self, version: &str) -> bool {
        self.recorded.contains(version)
    }

    /// Returns whether a version has been known for at least the time `settling`.
    pub fn is_settled(&self, now: Duration, version: &str, settling: Duration) -> bool {
        let known = self.versions.iter().find(|known| *known.version == *version);
        known.is_some_and(|known| now.saturating_sub(known.known_since) >= settling)
    }
}
