//! Priorities that engines get with requests.

use super::Fleet;
use crate::configuration::Configuration;
use crate::shares::Class;

/// Number of priorities that engines tell apart.
const ENGINE_PRIORITIES: usize = 10;

impl Fleet {
    /// Returns the priority by which engines order a request; `None` unless requests are ordered by
    /// rank, since the priority of the workspace or the route then stands for itself.
    ///
    /// Engines order by one number. The position of the request's rank among those of the
    /// configuration keeps the order of routes whose workspaces have the same priority.
    pub fn engine_priority(&self, class: &Class) -> Option<u8> {
        if !self.settings.shares.by_priority || !self.divides_services() {
            return None;
        }
        let position = self.ranks.partition_point(|rank| *rank < class.rank);
        let count = self.ranks.len().max(1);
        let priority = if count <= ENGINE_PRIORITIES {
            position
        } else {
            position * ENGINE_PRIORITIES / count
        };
        u8::try_from(priority.min(ENGINE_PRIORITIES - 1)).ok()
    }
}

/// Returns the ranks that requests may have, the most urgent first.
pub(super) fn ranks(configuration: &Configuration) -> Vec<u8> {
    let mut ranks = Vec::new();
    let workspace_priorities = configuration.workspaces.priorities();
    for route in configuration.routes.iter() {
        ranks.push(Class::rank_of(None, route.priority));
        for priority in &workspace_priorities {
            ranks.push(Class::rank_of(Some(*priority), route.priority));
        }
    }
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}
