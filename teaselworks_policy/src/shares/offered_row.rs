//! Offered load of a service, by workspace and rank.

use std::time::Duration;

use super::WorkspaceKey;

/// Offered load of one rank of a workspace, in slots (slot time per time).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankLoad {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Load that first attempts of callers offer.
    pub new: f64,
    /// Load that callers offer who were refused and came back.
    pub returning: f64,
}

/// Offered load of one workspace at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedRow {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Average load of the workspace in slots, over half a minute or longer.
    pub usual: f64,
    /// Load of each rank, the most urgent first.
    pub ranks: Vec<RankLoad>,
}

impl OfferedRow {
    /// Returns the load of all ranks, of new and returning callers.
    ///
    /// ```
    /// use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey};
    ///
    /// let ranks = vec![RankLoad { rank: 0, new: 3.0, returning: 1.0 }];
    /// let row = OfferedRow { workspace: WorkspaceKey::REST, usual: 2.0, ranks };
    /// assert_eq!(row.offered_slots(), 4.0);
    /// ```
    pub fn offered_slots(&self) -> f64 {
        self.ranks.iter().map(|load| load.new + load.returning).sum()
    }
}

/// Offered load of a service, summed over routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Totals {
    /// One row for each workspace, sorted by key.
    pub rows: Vec<OfferedRow>,
    /// Requests in progress at the service.
    pub in_progress: f64,
    /// Number of routers in the totals.
    pub routers: u32,
    /// Age of the oldest part.
    pub age: Duration,
}
