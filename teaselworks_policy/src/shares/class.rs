//! Classes of requests, by which an overloaded service is divided.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Workspace;

/// Least urgent priority that is told apart; larger ones count as this one.
const LEAST_URGENT: u8 = 15;

/// Requests that an overloaded service treats alike.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Rank by the priorities of the workspace and the route; 0 is the most urgent.
    pub rank: u8,
    /// Workspace of the caller; `None` where requests need no API key.
    pub workspace: Option<Arc<str>>,
}

/// Key of a workspace in tables and in messages between routers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkspaceKey(pub u32);

impl WorkspaceKey {
    /// Key of requests without a workspace, and of all workspaces that have no row of their own.
    pub const REST: WorkspaceKey = WorkspaceKey(0);

    /// Returns the key of a workspace.
    ///
    /// ```
    /// use teaselworks_policy::shares::WorkspaceKey;
    ///
    /// assert_ne!(WorkspaceKey::of("search"), WorkspaceKey::of("billing"));
    /// ```
    pub fn of(workspace: &str) -> Self {
        // The low half of the hash; truncation is intended.
        Self(xxh3_64(workspace.as_bytes()) as u32)
    }
}

impl Class {
    /// Creates the class of requests of a workspace on a route.
    ///
    /// The priority of the workspace goes before that of the route, which orders the requests of
    /// workspaces with the same priority. A workspace without a priority has that of the route.
    ///
    /// ```
    /// use teaselworks_policy::configuration::Workspace;
    /// use teaselworks_policy::shares::Class;
    ///
    /// let rank = |workspace: Option<u8>, route: u8| {
    ///     let workspace = Workspace { name: "search".into(), priority: workspace };
    ///     Class::new(Some(&workspace), route).rank
    /// };
    /// assert!(rank(Some(0), 2) < rank(Some(1), 0), "the workspace goes before the route");
    /// assert!(rank(Some(1), 0) < rank(Some(1), 2));
    /// assert_eq!(rank(None, 1), rank(Some(1), 1));
    /// ```
    pub fn new(workspace: Option<&Workspace>, route_priority: u8) -> Self {
        Self {
            rank: Self::rank_of(workspace.and_then(|workspace| workspace.priority), route_priority),
            workspace: workspace.map(|workspace| workspace.name.clone()),
        }
    }

    /// Returns the rank of requests by the priorities of their workspace, if it has one, and route.
    pub(crate) fn rank_of(workspace_priority: Option<u8>, route_priority: u8) -> u8 {
        let first = workspace_priority.unwrap_or(route_priority).min(LEAST_URGENT);
        first * (LEAST_URGENT + 1) + route_priority.min(LEAST_URGENT)
    }

    /// Returns the key of the class's workspace.
    ///
    /// ```
    /// use teaselworks_policy::shares::{Class, WorkspaceKey};
    ///
    /// assert_eq!(Class { rank: 0, workspace: None }.key(), WorkspaceKey::REST);
    /// ```
    pub fn key(&self) -> WorkspaceKey {
        self.workspace.as_deref().map_or(WorkspaceKey::REST, WorkspaceKey::of)
    }
}
