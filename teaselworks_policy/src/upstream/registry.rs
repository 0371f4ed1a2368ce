//! The list of upstreams, which is kept during outages of the store that it is read from.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::Upstream;

/// Minimum duration of an outage of the store in which entries of live upstreams may have expired.
///
/// Entries expire after three missed heartbeats, which are a second or more apart.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(2);
/// Time after the end of an outage within which live upstreams whose entries expired are listed
/// again: about two seconds according to the platform, and a margin until the change reaches this
/// router.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2_500);

/// An entry of the list, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListEntry {
    /// The entry of a replica.
    Upstream(Upstream),
    /// The identifier of an entry that cannot be decoded.
    Unreadable(Arc<str>),
}

impl ListEntry {
    fn id(&self) -> &Arc<str> {
        match self {
            ListEntry::Upstream(upstream) => &upstream.id,
            ListEntry::Unreadable(id) => id,
        }
    }
}

/// A change of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The upstream takes requests and has these properties.
    Serving(Upstream),
    /// The upstream has restarted: what was known of it before does not apply any more.
    Restarted(Upstream),
    /// An entry of an earlier start of the upstream than the known one was read and is ignored.
    Stale(Arc<str>),
    /// The upstream's entry cannot be decoded; it takes no new requests until the entry can be
    /// decoded.
    Suspended(Arc<str>),
    /// The upstream is about to stop and takes no new requests.
    Draining(Arc<str>),
    /// The upstream's entry is missing after an outage of the store; the upstream stays in use
    /// until the entry is back or the re-registration period ends.
    Missing(Arc<str>),
    /// The upstream has been removed.
    Gone(Arc<str>),
}

/// An upstream that is listed or in a re-registration period.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    /// End of the re-registration period of an entry that is missing from the list; `None` if it is
    /// listed.
    missing_until: Option<Duration>,
    /// Whether the entry in the list cannot be decoded.
    is_suspended: bool,
}

/// The upstreams that this router considers to exist.
///
/// Entries of live upstreams expire while the store is down. Upstreams whose entries are missing
/// right after such an outage are kept for a re-registration period, in which live ones register
/// again.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Arc<str>, Entry>,
    /// When the list became unreadable; `None` while it can be read.
    lost_at: Option<Duration>,
    /// End of the re-registration period after the last outage.
    reregistration_until: Option<Duration>,
}

impl Registry {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the list cannot be read any more.
    pub fn on_lost(&mut self, now: Duration) {
        self.lost_at.get_or_insert(now);
    }

    /// Records that other routers can read the list. There is no outage of the store then, so
    /// entries that disappear get no re-registration period.
    pub fn on_read_elsewhere(&mut self) {
        self.lost_at = None;
    }

    /// Records that the list can be read again. Call this before applying entries that were read
    /// since.
    pub fn on_regained(&mut self, now: Duration) {
        let Some(lost_at) = self.lost_at.take() else { return };
        if now.saturating_sub(lost_at) >= MIN_EXPIRY_OUTAGE {
            self.reregistration_until = Some(now + REREGISTRATION_PERIOD);
        }
    }

    /// Adds or updates an entry. Returns `None` if nothing changed.
    ///
    /// ```
    /// use teaselworks_policy::upstream::{Change, Registry, Upstream};
    ///
    /// let upstream = Upstream::example("i-1", "service");
    /// let mut registry = Registry::new();
    /// assert_eq!(registry.put(upstream.clone()), Some(Change::Serving(upstream.clone())));
    /// assert_eq!(registry.put(upstream), None);
    /// ```
    pub fn put(&mut self, upstream: Upstream) -> Option<Change> {
        let id = upstream.id.clone();
        let before = self.entries.get(&id);
        let is_restarted = match before.map(|entry| (entry.upstream.started, upstream.started)) {
            // A replica that reports its start time always does. An entry without it was written by
            // someone else and is treated like one that cannot be decoded.
            Some((Some(_), None)) => return self.suspend(&id),
            Some((Some(known), Some(started))) if started < known => {
                return Some(Change::Stale(id));
            }
            Some((known, started)) => known != started,
            None => false,
        };
        let is_same = before.is_some_and(|entry| {
            entry.upstream == upstream && entry.missing_until.is_none() && !entry.is_suspended
        });
        // The time for which a replica is cold counts from each write of its entry.
        if is_same && upstream.cold_remaining.is_zero() {
            return None;
        }
        let entry = Entry { upstream: upstream.clone(), missing_until: None, is_suspended: false };
        self.entries.insert(id.clone(), entry);
        if is_restarted {
            return Some(Change::Restarted(upstream));
        }
        if upstream.is_draining {
            return Some(Change::Draining(id));
        }
        Some(Change::Serving(upstream))
    }

    /// Records that the entry of an upstream cannot be decoded. Returns `None` if the upstream is
    /// unknown or was suspended before.
    ///
    /// ```
    /// use teaselworks_policy::upstream::{Change, Registry, Upstream};
    ///
    /// let mut registry = Registry::new();
    /// registry.put(Upstream::example("i-1", "service"));
    /// assert_eq!(registry.suspend("i-1"), Some(Change::Suspended("i-1".into())));
    /// assert_eq!(registry.suspend("unknown"), None);
    /// ```
    pub fn suspend(&mut self, id: &str) -> Option<Change> {
        let entry = self.entries.get_mut(id)?;
        entry.missing_until = None;
        if std::mem::replace(&mut entry.is_suspended, true) {
            return None;
        }
        Some(Change::Suspended(entry.upstream.id.clone()))
    }

    /// Removes an entry. In the re-registration period after an outage, marks it as missing
    /// instead. Returns `None` if the upstream is unknown or was missing before.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Change> {
        let entry = self.entries.get_mut(id)?;
        if entry.missing_until.is_some() {
            return None;
        }
        let period_end = self.reregistration_until.filter(|until| now < *until);
        // No re-registration period for an upstream that announced that it stops, and for one whose
        // last entry could not be decoded and thus was not written by the upstream.
        let may_reregister = !entry.upstream.is_draining && !entry.is_suspended;
        if let Some(until) = period_end.filter(|_| may_reregister) {
            entry.missing_until = Some(until);
            return Some(Change::Missing(entry.upstream.id.clone()));
        }
        let entry = self.entries.remove(id)?;
        Some(Change::Gone(entry.upstream.id))
    }

    /// Replaces the list with a complete one that was read from the store.
    pub fn replace(&mut self, now: Duration, list: Vec<ListEntry>) -> Vec<Change> {
        let mut changes = Vec::new();
        let listed: HashSet<Arc<str>> = list.iter().map(|listed| listed.id().clone()).collect();
        let known: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for id in known {
            if !listed.contains(&id) {
                changes.extend(self.remove(now, &id));
            }
        }
        for listed in list {
            changes.extend(match listed {
                ListEntry::Upstream(upstream) => self.put(upstream),
                ListEntry::Unreadable(id) => self.suspend(&id),
            });
        }
        changes
    }

    /// Removes missing entries whose re-registration period has ended.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let has_expired = |entry: &Entry| entry.missing_until.is_some_and(|until| now >= until);
        let expired: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.entries.remove(id);
        }
        expired.into_iter().map(Change::Gone).collect()
    }

    /// Returns whether any entry is missing and kept for a re-registration period.
    pub fn has_missing_entries(&self) -> bool {
        self.entries.values().any(|entry| entry.missing_until.is_some())
    }

    /// Returns the upstreams that are listed or in a re-registration period.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the number of upstreams that are listed or in a re-registration period.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is listed or in a re-registration period.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
