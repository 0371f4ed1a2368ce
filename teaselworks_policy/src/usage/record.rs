//! What an attempt used, and sums of it.

use std::fmt;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::period::Period;
use crate::name::{AttemptId, Name};

/// How an attempt that ran came to its end.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UseOutcome {
    /// The answer is whole.
    Finished,
    /// The upstream failed or broke off.
    Failed,
    /// The caller gave up.
    Cancelled,
    /// A router or a link between two was lost.
    Cut,
}

impl UseOutcome {
    /// Returns the name in metrics, logs and answers.
    ///
    /// ```
    /// use teaselworks_policy::usage::UseOutcome;
    ///
    /// assert_eq!(UseOutcome::Cut.as_str(), "cut");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            UseOutcome::Finished => "finished",
            UseOutcome::Failed => "failed",
            UseOutcome::Cancelled => "cancelled",
            UseOutcome::Cut => "cut",
        }
    }
}

impl fmt::Display for UseOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What one attempt used; made once for each attempt that ran.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The attempt, never charged twice.
    pub attempt: AttemptId,
    /// Workspace that is charged.
    pub workspace: Name,
    /// Model that ran.
    pub model: Name,
    /// Adapter of the model, where one was used.
    pub adapter: Option<Name>,
    /// Prompt tokens, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// How the attempt ended.
    pub outcome: UseOutcome,
    /// Wall clock at its end in milliseconds since 1970.
    pub at_ms: u64,
}

impl UsageRecord {
    /// Returns what the record is summed under.
    pub fn key(&self) -> UseKey {
        UseKey {
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }

    /// Returns the period that the record is charged to.
    pub fn period(&self) -> Period {
        Period::at(self.at_ms)
    }

    /// Returns the record as a sum of one attempt.
    pub fn sum(&self) -> UseSum {
        UseSum {
            attempts: 1,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            output_tokens: self.output_tokens,
        }
    }
}

/// What use is summed under within a period.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UseKey {
    /// Workspace that is charged.
    pub workspace: Name,
    /// Model that ran.
    pub model: Name,
    /// Adapter of the model, where one was used.
    pub adapter: Option<Name>,
}

/// Bits of a [`KeyHash`].
const KEY_HASH_BITS: u32 = 48;

/// Hash of a [`UseKey`], by which the owner of a slot finds the row that it has already.
///
/// A new key would be charged to another row with the same hash: of 144,000 new keys a month, among
/// at most 1,200 rows each, one in 100,000 years.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash(pub u64);

impl From<&UseKey> for KeyHash {
    fn from(key: &UseKey) -> Self {
        let UseKey { workspace, model, adapter } = key;
        let text = match adapter {
            Some(adapter) => format!("{workspace}\0{model}\0{adapter}"),
            None => format!("{workspace}\0{model}"),
        };
        Self(xxh3_64(text.as_bytes()) >> (u64::BITS - KEY_HASH_BITS))
    }
}

/// Sum of what several attempts used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct UseSum {
    /// Attempts that ran.
    pub attempts: u64,
    /// Prompt tokens, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines found in their caches.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

impl UseSum {
    /// Returns the tokens that count against a budget: prompt and answer together.
    ///
    /// ```
    /// use teaselworks_policy::usage::UseSum;
    ///
    /// let sum = UseSum { attempts: 1, prompt_tokens: 10, cached_tokens: 4, output_tokens: 5 };
    /// assert_eq!(sum.charged_tokens(), 15);
    /// ```
    pub fn charged_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

impl AddAssign for UseSum {
    fn add_assign(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// One line of the report on use.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UseRow {
    /// Period that the use belongs to.
    pub period: Period,
    /// Workspace, model and adapter.
    #[serde(flatten)]
    pub key: UseKey,
    /// What was used.
    #[serde(flatten)]
    pub sum: UseSum,
}
