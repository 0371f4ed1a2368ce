//! Classes of requests, by which an overloaded service is divided.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Requests that an overloaded service treats alike.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Priority of the workspace if it has one, otherwise that of the route; 0 is the most urgent.
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
