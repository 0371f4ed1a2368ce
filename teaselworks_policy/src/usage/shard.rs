//! Division of use into values that the platform can hold.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::period::Period;

/// Values that a month's use is divided into.
///
/// The number bounds the fleet's writes, and the rows in one value: 18,000 workspaces make 141 a
/// value, far below the platform's limit of a megabyte. It can't change while values are held.
pub const SHARDS: u8 = 128;

/// One value: a month of the workspaces that share a shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Slot {
    /// Month.
    pub period: Period,
    /// Shard, below [`SHARDS`].
    pub shard: u8,
}

impl Slot {
    /// Returns the slot that a workspace's use in a month belongs to.
    ///
    /// ```
    /// use teaselworks_policy::usage::{Period, SHARDS, Slot};
    ///
    /// assert!(Slot::of(Period::at(0), "choir").shard < SHARDS);
    /// ```
    pub fn of(period: Period, workspace: &str) -> Self {
        let shard = xxh3_64(workspace.as_bytes()) % u64::from(SHARDS);
        Self { period, shard: shard as u8 }
    }

    /// Returns the name that the slot's owner is chosen by; the same in every month.
    pub fn owner_name(&self) -> String {
        format!("use/{:03}", self.shard)
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:03}", self.period, self.shard)
    }
}
