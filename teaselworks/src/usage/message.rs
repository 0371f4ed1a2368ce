//! Messages between the usage services of two routers.

use serde::{Deserialize, Serialize};
use teaselworks_policy::budget::{BudgetAsk, BudgetGrant};
use teaselworks_policy::usage::{Answer, Request};

/// A message to another router.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) enum UsageMessage {
    /// About the counting of use.
    #[serde(rename = "u")]
    Use(Request),
    /// About a workspace's budget.
    #[serde(rename = "b")]
    Budget(BudgetAsk),
}

/// The answer to a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) enum UsageReply {
    /// About the counting of use.
    #[serde(rename = "u")]
    Use(Answer),
    /// About a workspace's budget.
    #[serde(rename = "b")]
    Budget(BudgetGrant),
}
