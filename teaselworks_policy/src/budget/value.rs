//! The value that the platform holds for the budgets of one shard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::limit::BudgetPeriod;
use crate::name::Name;
use crate::usage::Source;

/// What was drawn of one workspace's budget in one period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Drawn {
    /// Tokens that owners have drawn: used, held ahead, or lost with a router.
    pub drawn_tokens: u64,
    /// Tokens that entries reported as used.
    pub used_tokens: u64,
}

/// What was drawn of the budgets of one shard's workspaces.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedValue", from = "PackedValue")]
pub struct BudgetValue {
    /// By workspace and period.
    pub accounts: BTreeMap<(Name, BudgetPeriod), Drawn>,
    /// Who wrote last, and the number of that write among its own.
    pub writer: Option<(Source, u64)>,
}

impl BudgetValue {
    /// Returns what was drawn of a workspace's budget in a period.
    pub fn drawn(&self, workspace: &Name, period: BudgetPeriod) -> Drawn {
        self.accounts.get(&(workspace.clone(), period)).copied().unwrap_or_default()
    }
}

#[derive(Clone, Serialize, Deserialize)]
struct PackedValue(Vec<(Name, BudgetPeriod, u64, u64)>, Option<(Name, u64, u64)>);

impl From<BudgetValue> for PackedValue {
    fn from(value: BudgetValue) -> Self {
        let mut accounts = Vec::new();
        for ((workspace, period), drawn) in value.accounts {
            accounts.push((workspace, period, drawn.drawn_tokens, drawn.used_tokens));
        }
        let writer = value.writer;
        Self(accounts, writer.map(|(source, number)| (source.router, source.incarnation, number)))
    }
}

impl From<PackedValue> for BudgetValue {
    fn from(PackedValue(packed, writer): PackedValue) -> Self {
        let mut accounts = BTreeMap::new();
        for (workspace, period, drawn_tokens, used_tokens) in packed {
            accounts.insert((workspace, period), Drawn { drawn_tokens, used_tokens });
        }
        let writer =
            writer.map(|(router, incarnation, number)| (Source { router, incarnation }, number));
        Self { accounts, writer }
    }
}
