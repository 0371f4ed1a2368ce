//! The list of upstreams, kept through outages of the service that lists them.

use std::collections::BTreeMap;
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

/// What became of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It takes requests, with these properties.
    Serving(Upstream),
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
}

/// Believed list of upstreams.
///
/// What goes wrong without it: while the list's keeper is down, entries of live upstreams lapse; a
/// router that follows the list to the letter has no upstream left when the keeper returns, and
/// refuses everything for the two seconds until they are listed again. Entries that vanish right
/// after an outage are therefore kept for that time.
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
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{Change, Registry, Upstream};
    ///
    /// let upstream = Upstream {
    ///     id: "i-1".into(),
    ///     service: "service".into(),
    ///     address: ([127, 0, 0, 1], 80).into(),
    ///     zone: "a".into(),
    ///     slots: 1,
    ///     is_draining: false,
    /// };
    /// let mut registry = Registry::new();
    /// assert_eq!(registry.put(upstream.clone()), Some(Change::Serving(upstream.clone())));
    /// assert_eq!(registry.put(upstream), None);
    /// ```
    pub fn put(&mut self, upstream: Upstream) -> Option<Change> {
        let id = upstream.id.clone();
        let entry = Entry { upstream, missing_until: None };
        let before = self.entries.insert(id.clone(), entry.clone());
        let was_same =
            before.is_some_and(|b| b.upstream == entry.upstream && b.missing_until.is_none());
        if was_same {
            return None;
        }
        if entry.upstream.is_draining {
            return Some(Change::Draining(id));
        }
        Some(Change::Serving(entry.upstream))
    }

    /// Removes an entry, or counts it as missing for a while after an outage.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Change> {
        let entry = self.entries.get_mut(id)?;
        if entry.missing_until.is_some() {
            return None;
        }
        let grace = self.grace_until.filter(|until| now < *until);
        // An upstream that announced its end is not waited for.
        if let Some(until) = grace.filter(|_| !entry.upstream.is_draining) {
            entry.missing_until = Some(until);
            return Some(Change::Missing(entry.upstream.id.clone()));
        }
        let entry = self.entries.remove(id)?;
        Some(Change::Gone(entry.upstream.id))
    }

    /// Replaces the list by one that was read whole.
    pub fn replace(&mut self, now: Duration, list: Vec<Upstream>) -> Vec<Change> {
        let mut changes = Vec::new();
        let known: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for id in known {
            if !list.iter().any(|upstream| upstream.id == id) {
                changes.extend(self.remove(now, &id));
            }
        }
        for upstream in list {
            changes.extend(self.put(upstream));
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
    pub fn awaits(&self) -> bool {
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
