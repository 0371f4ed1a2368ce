//! Contents of the affinity token, by which a returning caller names the holder of its context.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Age from which a token is ignored: engines keep no context this long.
pub const AFFINITY_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// What an affinity token says; it is sealed by the router, so that callers can neither read a
/// replica's name into it nor make one up.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Affinity {
    /// Workspace that the token was made for.
    pub workspace: Name,
    /// Replica that holds the chat's context.
    pub replica: Name,
    /// Key of the chat.
    pub chat_key: u64,
    /// Wall clock when the token was made, in milliseconds since 1970.
    pub made_at_ms: u64,
}

impl Affinity {
    /// Tells whether the token may guide a request of the workspace and chat.
    ///
    /// A token only guides placement. A wrong one costs reuse, so clock skew between routers
    /// does no harm and a token from the future is taken as new.
    ///
    /// ```
    /// use teaselworks_policy::placement::Affinity;
    ///
    /// let token = Affinity {
    ///     workspace: "choir".into(),
    ///     replica: "engine-1".into(),
    ///     chat_key: 7,
    ///     made_at_ms: 1_000,
    /// };
    /// assert!(token.guides("choir", 7, 2_000));
    /// assert!(!token.guides("school", 7, 2_000));
    /// ```
    pub fn guides(&self, workspace: &str, chat_key: u64, now_ms: u64) -> bool {
        let age_ms = u128::from(now_ms.saturating_sub(self.made_at_ms));
        self.workspace.as_ref() == workspace
            && self.chat_key == chat_key
            && age_ms < AFFINITY_LIFETIME.as_millis()
    }
}
