//! Workspaces and the API keys that identify them.

use std::collections::HashMap;
use std::sync::Arc;

/// A workspace: a team whose requests the fleet serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the team.
    pub name: Arc<str>,
    /// Priority of its requests, which replaces that of the route; 0 is the most urgent. `None`
    /// keeps the priority of the route.
    pub priority: Option<u8>,
}

/// Workspaces by API key.
///
/// A configuration without workspaces requires no API keys.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_key: HashMap<Box<str>, Arc<Workspace>>,
    is_key_required: bool,
}

impl Workspaces {
    /// Creates the table from workspaces and their API keys.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Workspace, Workspaces};
    ///
    /// let search = Workspace { name: "search".into(), priority: None };
    /// let workspaces = Workspaces::new([(search, vec!["key-1".into()])]);
    /// assert_eq!(&*workspaces.find("key-1").unwrap().name, "search");
    /// assert!(workspaces.find("key-2").is_none());
    /// ```
    pub fn new(workspaces: impl IntoIterator<Item = (Workspace, Vec<Box<str>>)>) -> Self {
        let mut table = Self::default();
        for (workspace, keys) in workspaces {
            table.is_key_required = true;
            let workspace = Arc::new(workspace);
            for key in keys {
                table.by_key.insert(key, workspace.clone());
            }
        }
        table
    }

    /// Finds the workspace that an API key belongs to.
    pub fn find(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns the priorities that workspaces have, without duplicates.
    pub fn priorities(&self) -> Vec<u8> {
        let priorities = self.by_key.values().filter_map(|workspace| workspace.priority);
        let mut priorities: Vec<u8> = priorities.collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities
    }

    /// Returns the names of the workspaces that have API keys; one with several keys occurs more than
    /// once.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_key.values().map(|workspace| &workspace.name)
    }

    /// Returns whether requests need an API key, unless their route is anonymous.
    pub fn is_key_required(&self) -> bool {
        self.is_key_required
    }
}
