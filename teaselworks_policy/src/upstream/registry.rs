//! The list of upstreams, kept through outages of the service that lists them.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::Upstream;

/// Shortest silence of the list that may have made entries of live upstreams lapse.
///
/// Entries lapse after three missed heartbeats, of which each takes a second or more.
const LAPSING_OUTAGE: Duration = Duration::from_secs(2);
/// Time after the end of an outage within which lapsed entries of live upstreams are back: about
/// two seconds by the platform's word, and a margin for the way of the news.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// What an entry of the list says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListEntry {
    /// A replica.
    Upstream(Upstream),
    /// Nothing that can be understood, under this identifier.
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

/// What became of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It takes requests, with these properties.
    Serving(Upstream),
    /// It started again: nothing that is known of it holds any more.
    Restarted(Upstream),
    /// Its entry is of an earlier start than the known one and is ignored.
    Stale(Arc<str>),
    /// Its entry cannot be understood; it takes no new requests until it can.
    Suspended(Arc<str>),
    /// It leaves and takes no new requests.
    Draining(Arc<str>),
    /// Its entry is missing after an outage; it is used until it is back or known to be gone.
    Missing(Arc<str>),
    /// It is gone.
    Gone(Arc<str>),
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    /// Clock reading at which an entry that is missing counts as gone.
    missing_until: Option<Duration>,
    is_suspended: bool,
}

/// Believed list of upstreams.
///
/// Entries of live upstreams lapse while the service that lists them is down. What vanishes right
/// after such an outage is kept until live upstreams have had time to come back.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Arc<str>, Entry>,
    lost_at: Option<Duration>,
    grace_until: Option<Duration>,
}

impl Registry {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the list cannot be read any more.
    pub fn on_lost(&mut self, now: Duration) {
        self.lost_at.get_or_insert(now);
    }

    /// Notes that others can read the list: what vanishes from it did not lapse in an outage.
    pub fn on_read_elsewhere(&mut self) {
        self.lost_at = None;
    }

    /// Notes that the list can be read again; call it before what was read is applied.
    pub fn on_regained(&mut self, now: Duration) {
        let Some(lost_at) = self.lost_at.take() else { return };
        if now.saturating_sub(lost_at) >= LAPSING_OUTAGE {
            self.grace_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Puts or changes an entry.
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
            // A replica that says when it started always does.
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
        if is_same {
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

    /// Notes that the entry of an identifier cannot be understood.
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

    /// Removes an entry, or counts it as missing for a while after an outage.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Change> {
        let entry = self.entries.get_mut(id)?;
        if entry.missing_until.is_some() {
            return None;
        }
        let grace = self.grace_until.filter(|until| now < *until);
        // An upstream that announced its end is not waited for.
        let is_awaited = !entry.upstream.is_draining && !entry.is_suspended;
        if let Some(until) = grace.filter(|_| is_awaited) {
            entry.missing_until = Some(until);
            return Some(Change::Missing(entry.upstream.id.clone()));
        }
        let entry = self.entries.remove(id)?;
        Some(Change::Gone(entry.upstream.id))
    }

    /// Replaces the list by one that was read whole.
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

    /// Drops entries that have been missing for too long.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let is_due = |entry: &Entry| entry.missing_until.is_some_and(|until| now >= until);
        let due: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_due(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.entries.remove(id);
        }
        due.into_iter().map(Change::Gone).collect()
    }

    /// Tells whether an entry is missing that will count as gone after a while.
    pub fn has_missing_entries(&self) -> bool {
        self.entries.values().any(|entry| entry.missing_until.is_some())
    }

    /// Returns the entries that are listed or awaited.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
