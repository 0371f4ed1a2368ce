//! Names and identifiers shared by every part of the fleet.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable name of a VM, availability zone, workspace, model or upstream.
pub type Name = Arc<str>;

/// Identifies one attempt at one request, unique over restarts of the router that made it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Router that accepted the request from its caller.
    pub router: Name,
    /// Incarnation of that router: wall clock at its start in milliseconds.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub sequence: u64,
    /// Number of the attempt within the request, from 0.
    pub attempt: u32,
}

impl AttemptId {
    /// Returns the same request's next attempt.
    ///
    /// ```
    /// use teaselworks_policy::name::AttemptId;
    ///
    /// let first = AttemptId { router: "a".into(), incarnation: 7, sequence: 1, attempt: 0 };
    /// assert_eq!(first.next().attempt, 1);
    /// ```
    pub fn next(&self) -> Self {
        Self { attempt: self.attempt + 1, ..self.clone() }
    }

    /// Returns the identifier shown to callers: the same for every attempt of a request.
    ///
    /// ```
    /// use teaselworks_policy::name::AttemptId;
    ///
    /// let id = AttemptId { router: "a".into(), incarnation: 16, sequence: 1, attempt: 3 };
    /// assert_eq!(id.request_id(), "a-10-1");
    /// ```
    pub fn request_id(&self) -> String {
        format!("{}-{:x}-{}", self.router, self.incarnation, self.sequence)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}.{}", self.router, self.incarnation, self.sequence, self.attempt)
    }
}
