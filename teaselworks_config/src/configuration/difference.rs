//! What differs between two configurations.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Field, as in `workspaces.choir.weight`.
    pub path: String,
    /// Value before; `None`: absent, which stands for the default.
    pub before: Option<Value>,
    /// Value after; `None`: absent, which stands for the default.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists the differences between two JSON values below `path`.
///
/// ```
/// use serde_json::json;
/// use teaselworks_config::configuration::patch::differences;
///
/// let changes = differences("policy", Some(json!({ "a": 1 })), Some(json!({ "a": 2 })));
/// assert_eq!(changes[0].to_string(), "~ policy.a: 1 -> 2");
/// ```
pub fn differences(path: &str, before: Option<Value>, after: Option<Value>) -> Vec<Change> {
    if before == after {
        return Vec::new();
    }
    let (Some(Value::Object(before)), Some(Value::Object(after))) = (&before, &after) else {
        return vec![Change { path: path.into(), before, after }];
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for name in names {
        let path = format!("{path}.{name}");
        changes.extend(differences(&path, before.get(name).cloned(), after.get(name).cloned()));
    }
    changes
}
