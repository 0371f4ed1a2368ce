//! What operators see of the division of a service.

use std::sync::Arc;
use std::time::Duration;

use super::plan::Plan;
use super::{OfferedRow, WorkspaceKey};

/// Workspaces that are listed separately, which bounds what metrics keep.
const MAX_WORKSPACES: usize = 32;

/// State of the division of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceStatus {
    /// Whether the service is overloaded.
    pub is_overloaded: bool,
    /// Capacity that is divided: of the whole service, or this router's part of it.
    pub capacity_slots: f64,
    /// Offered load, of the same routers.
    pub offered_slots: f64,
    /// Admitted fraction by rank, the most urgent first; 1 while the service is not overloaded.
    pub admitted_by_rank: Vec<(u8, f64)>,
    /// The workspaces with the largest offered load, the largest first; at most 32.
    pub workspaces: Vec<WorkspaceStatus>,
    /// All other workspaces as one row; `None` if there are none.
    pub rest: Option<WorkspaceStatus>,
    /// Age of the totals; `None` if there are none.
    pub totals_age: Option<Duration>,
    /// Number of routers in the totals.
    pub totals_routers: u32,
}

/// State of one workspace at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Offered load in slots.
    pub offered_slots: f64,
    /// Admitted fraction of it; 1 while the service is not overloaded.
    pub admitted_fraction: f64,
}

impl WorkspaceStatus {
    /// Returns the sum of two rows, with the key of the first one.
    ///
    /// ```
    /// use teaselworks_policy::shares::{WorkspaceKey, WorkspaceStatus};
    ///
    /// let row = |offered_slots, admitted_fraction| WorkspaceStatus {
    ///     workspace: WorkspaceKey::REST,
    ///     offered_slots,
    ///     admitted_fraction,
    /// };
    /// assert_eq!(row(3.0, 1.0).plus(&row(1.0, 0.0)), row(4.0, 0.75));
    /// ```
    pub fn plus(&self, other: &WorkspaceStatus) -> WorkspaceStatus {
        let admitted = |row: &WorkspaceStatus| row.offered_slots * row.admitted_fraction;
        let offered_slots = self.offered_slots + other.offered_slots;
        let admitted_slots = admitted(self) + admitted(other);
        let admitted_fraction =
            if offered_slots > 0.0 { admitted_slots / offered_slots } else { 1.0 };
        WorkspaceStatus { workspace: self.workspace, offered_slots, admitted_fraction }
    }
}

/// A service has become overloaded or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// The service.
    pub service: Arc<str>,
    /// Whether it is overloaded now.
    pub is_overloaded: bool,
    /// Offered load in slots.
    pub offered_slots: f64,
    /// Capacity in slots: of the whole service, or this router's part of it.
    pub capacity_slots: f64,
}

/// Returns the admitted fraction by rank, the most loaded workspaces, and the others as one row.
pub(super) fn admitted(
    plan: Option<&Plan>,
    rows: &[OfferedRow],
) -> (Vec<(u8, f64)>, Vec<WorkspaceStatus>, Option<WorkspaceStatus>) {
    let mut by_rank: Vec<(u8, f64)>;
    let mut workspaces: Vec<WorkspaceStatus>;
    match plan {
        Some(plan) => {
            let ranks = plan.ranks.iter();
            by_rank = ranks.map(|rank| (rank.rank, rank.admitted_fraction())).collect();
            let rows = plan.workspaces.iter().map(|row| WorkspaceStatus {
                workspace: row.workspace,
                offered_slots: row.offered_slots,
                admitted_fraction: row.admitted_fraction(),
            });
            workspaces = rows.collect();
        }
        None => {
            let ranks = rows.iter().flat_map(|row| &row.ranks);
            by_rank = ranks.map(|load| (load.rank, 1.0)).collect();
            by_rank.sort_by_key(|(rank, _)| *rank);
            by_rank.dedup();
            let rows = rows.iter().map(|row| WorkspaceStatus {
                workspace: row.workspace,
                offered_slots: row.offered_slots(),
                admitted_fraction: 1.0,
            });
            workspaces = rows.collect();
        }
    }
    workspaces.sort_by(|a, b| b.offered_slots.total_cmp(&a.offered_slots));
    let others = workspaces.split_off(workspaces.len().min(MAX_WORKSPACES)).into_iter();
    let rest = others.reduce(|sum, row| sum.plus(&row));
    let rest = rest.map(|sum| WorkspaceStatus { workspace: WorkspaceKey::REST, ..sum });
    (by_rank, workspaces, rest)
}
