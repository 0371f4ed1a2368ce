//! Settings of the division of overloaded services.

use super::{Class, OfferedRow, RankLoad, WorkspaceKey};

/// By what an overloaded service is divided.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharesSettings {
    /// More urgent ranks are admitted first; otherwise all ranks count as one.
    pub by_priority: bool,
    /// Each workspace gets its share; otherwise all workspaces count as one.
    pub workspace_shares: bool,
    /// Number of routers from which services are divided.
    pub min_routers: u32,
}

impl SharesSettings {
    /// Returns whether services are divided at all.
    ///
    /// ```
    /// use teaselworks_policy::shares::SharesSettings;
    ///
    /// assert!(!SharesSettings::default().is_enabled());
    /// ```
    pub fn is_enabled(self) -> bool {
        self.by_priority || self.workspace_shares
    }

    /// Returns the workspace and rank that a class counts as.
    pub(super) fn key(self, class: &Class) -> (WorkspaceKey, u8) {
        let workspace = if self.workspace_shares { class.key() } else { WorkspaceKey::REST };
        (workspace, if self.by_priority { class.rank } else { 0 })
    }

    /// Adds up rows and ranks that count as one. Routers that have not read the latest settings
    /// send others.
    pub(super) fn merge(self, rows: Vec<OfferedRow>) -> Vec<OfferedRow> {
        if self.by_priority && self.workspace_shares {
            return rows;
        }
        let mut merged: Vec<OfferedRow> = Vec::new();
        for row in rows {
            let is_first = merged.is_empty() || self.workspace_shares;
            if is_first {
                let workspace =
                    if self.workspace_shares { row.workspace } else { WorkspaceKey::REST };
                merged.push(OfferedRow { workspace, usual: 0.0, ranks: Vec::new() });
            }
            if let Some(into) = merged.last_mut() {
                into.usual += row.usual;
                for load in row.ranks {
                    self.add_load(&mut into.ranks, load);
                }
            }
        }
        merged
    }

    fn add_load(self, ranks: &mut Vec<RankLoad>, load: RankLoad) {
        let rank = if self.by_priority { load.rank } else { 0 };
        match ranks.iter_mut().find(|into| into.rank == rank) {
            Some(into) => {
                into.new += load.new;
                into.returning += load.returning;
            }
            None => ranks.push(RankLoad { rank, ..load }),
        }
    }
}
