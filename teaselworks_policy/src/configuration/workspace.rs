//! Workspaces and the API keys that name them.

use std::collections::HashMap;
use std::sync::Arc;

/// A team that draws on the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Rank of its requests in place of the route's, where set; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Workspaces by key.
///
/// A configuration without any workspace asks for no keys at all.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_key: HashMap<Box<str>, Arc<Workspace>>,
    is_key_required: bool,
}

impl Workspaces {
    /// Makes the table of a configuration that lists workspaces, each with its keys.
    ///
    /// ```
    /// use teaselworks_policy::configuration::{Workspace, Workspaces};
    ///
    /// let choir = Workspace { name: "choir".into(), priority: None };
    /// let workspaces = Workspaces::new([(choir, vec!["key-1".into()])]);
    /// assert_eq!(&*workspaces.find("key-1").unwrap().name, "choir");
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

    /// Finds the workspace that holds a key.
    pub fn find(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Tells whether requests need a key, unless their route is anonymous.
    pub fn is_key_required(&self) -> bool {
        self.is_key_required
    }
}
