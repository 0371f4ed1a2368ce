//! Availability zones that the operator has evacuated: their replicas get no new requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The evacuated zones, as the store lists them, each with the clock reading at which this router
/// got notice of its evacuation.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    since: BTreeMap<Arc<str>, Duration>,
}

/// A change of the evacuated zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The replicas of a zone get no new requests.
    Began(Arc<str>),
    /// The replicas of a zone get requests again.
    Ended {
        /// The zone.
        zone: Arc<str>,
        /// Time since this router got notice of the evacuation.
        lasted: Duration,
    },
}

impl EvacuatedZones {
    /// Adds a zone. Returns `None` if it was evacuated before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::{EvacuatedZones, EvacuationChange};
    ///
    /// let mut zones = EvacuatedZones::default();
    /// let began = zones.begin(Duration::ZERO, "a");
    /// assert_eq!(began, Some(EvacuationChange::Began("a".into())));
    /// assert_eq!(zones.begin(Duration::ZERO, "a"), None);
    /// ```
    pub fn begin(&mut self, now: Duration, zone: &str) -> Option<EvacuationChange> {
        if self.contains(zone) {
            return None;
        }
        let zone: Arc<str> = zone.into();
        self.since.insert(zone.clone(), now);
        Some(EvacuationChange::Began(zone))
    }

    /// Removes a zone. Returns `None` if it was not evacuated.
    pub fn end(&mut self, now: Duration, zone: &str) -> Option<EvacuationChange> {
        let (zone, since) = self.since.remove_entry(zone)?;
        Some(EvacuationChange::Ended { zone, lasted: now.saturating_sub(since) })
    }

    /// Replaces the zones by a complete list. Returns what changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::EvacuatedZones;
    ///
    /// let mut zones = EvacuatedZones::default();
    /// zones.begin(Duration::ZERO, "a");
    /// assert_eq!(zones.replace(Duration::ZERO, &["a".into(), "b".into()]).len(), 1);
    /// assert_eq!(zones.replace(Duration::ZERO, &[]).len(), 2);
    /// ```
    pub fn replace(&mut self, now: Duration, zones: &[Arc<str>]) -> Vec<EvacuationChange> {
        let ended: Vec<Arc<str>> =
            self.since.keys().filter(|zone| !zones.contains(zone)).cloned().collect();
        let mut changes: Vec<EvacuationChange> =
            ended.iter().filter_map(|zone| self.end(now, zone)).collect();
        changes.extend(zones.iter().filter_map(|zone| self.begin(now, zone)));
        changes
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.since.contains_key(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}
