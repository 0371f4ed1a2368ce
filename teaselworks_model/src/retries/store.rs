//! The list of routers in the store, under leases.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time of a lease.
pub(super) const LEASE_TIME: Duration = Duration::from_secs(9);

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListChange {
    pub(super) at: Duration,
    pub(super) router: usize,
    pub(super) is_listed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Store {
    /// When the registration of each router expires.
    expires_at: BTreeMap<usize, Duration>,
    /// All changes of the list, in order.
    pub(super) changes: Vec<ListChange>,
    /// Until when the store answers nobody, and whether all leases have ended then.
    away: Option<(Duration, bool)>,
}

impl Store {
    /// Stops answering until `until`.
    pub(super) fn go_away(&mut self, until: Duration, loses_leases: bool) {
        self.away = Some((until, loses_leases));
    }

    pub(super) fn is_away(&self) -> bool {
        self.away.is_some()
    }

    /// Ends leases that have expired, and the time for which the store is away.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        if let Some((until, loses_leases)) = self.away {
            if now < until {
                return;
            }
            self.away = None;
            for expires_at in self.expires_at.values_mut() {
                *expires_at = if loses_leases { now } else { now + LEASE_TIME };
            }
        }
        let expired = self.expires_at.iter().filter(|(_, expires_at)| **expires_at <= now);
        let expired: Vec<usize> = expired.map(|(router, _)| *router).collect();
        for router in expired {
            self.remove(now, router);
        }
    }

    /// Ends the registration of a router, if there is one and the store answers.
    pub(super) fn remove(&mut self, now: Duration, router: usize) {
        if !self.is_away() && self.expires_at.remove(&router).is_some() {
            self.changes.push(ListChange { at: now, router, is_listed: false });
        }
    }

    /// Writes the registration of a router under a new lease.
    pub(super) fn register(&mut self, now: Duration, router: usize) {
        let is_new = self.expires_at.insert(router, now + LEASE_TIME).is_none();
        if is_new {
            self.changes.push(ListChange { at: now, router, is_listed: true });
        }
    }

    /// Renews the lease of a router; returns false if it has ended.
    pub(super) fn renew(&mut self, now: Duration, router: usize) -> bool {
        let Some(expires_at) = self.expires_at.get_mut(&router) else { return false };
        *expires_at = now + LEASE_TIME;
        true
    }
}
