//! The platform's values of budgets: one key for each shard.

use std::fmt;
use std::sync::Arc;

use teaselworks_policy::budget::{BudgetOutcome, BudgetReading, BudgetValue, BudgetWrite};
use teaselworks_wire::codec;

use super::parts::Later;
use crate::event;
use crate::platform::{
    CallPurpose, Compare, Entry, Operation, Platform, PlatformError, Transaction,
};

/// Prefix of the keys.
const PREFIX: &str = "budget/";

/// First key after all of them.
const END: &str = "budget0";

/// Values read with one call.
const VALUES_PER_CALL: u32 = 64;

/// Reads a shard's value; `None` when that failed.
pub type ReadBudget = Arc<dyn Fn(u8) -> Later<Option<BudgetReading>> + Send + Sync>;

/// Writes a shard's value where its revision is the expected one.
pub type WriteBudget = Arc<dyn Fn(u8, BudgetWrite) -> Later<BudgetOutcome> + Send + Sync>;

/// Reads all values.
pub type ReadBudgets =
    Arc<dyn Fn() -> Later<Result<Vec<BudgetValue>, PlatformError>> + Send + Sync>;

/// Access to the platform's values of budgets.
#[derive(Clone)]
pub struct BudgetStore {
    /// Reads one.
    pub read: ReadBudget,
    /// Writes one.
    pub write: WriteBudget,
    /// Reads all.
    pub all: ReadBudgets,
}

impl fmt::Debug for BudgetStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BudgetStore").finish_non_exhaustive()
    }
}

impl BudgetStore {
    /// Makes the access through the platform's client.
    pub fn on(platform: Arc<Platform>) -> Self {
        let (reader, writer, lister) = (platform.clone(), platform.clone(), platform);
        Self {
            read: Arc::new(move |shard| Box::pin(read(reader.clone(), shard))),
            write: Arc::new(move |shard, write| Box::pin(put(writer.clone(), shard, write))),
            all: Arc::new(move || Box::pin(all(lister.clone()))),
        }
    }
}

fn key(shard: u8) -> String {
    format!("{PREFIX}{shard:03}")
}

async fn read(platform: Arc<Platform>, shard: u8) -> Option<BudgetReading> {
    let entry = platform.get(CallPurpose::Usage, &key(shard)).await.ok()?;
    decode(shard, entry.as_ref())
}

async fn put(platform: Arc<Platform>, shard: u8, write: BudgetWrite) -> BudgetOutcome {
    let Ok(value) = codec::encode(&write.value) else {
        return BudgetOutcome::NotWritten;
    };
    let revision = i64::try_from(write.expected_revision).unwrap_or(i64::MAX);
    let transaction = Transaction {
        compare: vec![Compare::ModRevision { key: key(shard), revision }],
        success: vec![Operation::Put { key: key(shard), value: value.to_vec(), lease: 0 }],
        failure: vec![Operation::Get { key: key(shard) }],
    };
    match platform.transact(CallPurpose::Usage, &transaction).await {
        Ok(outcome) if outcome.succeeded => BudgetOutcome::Written(revision_of(outcome.revision)),
        Ok(outcome) => match decode(shard, outcome.entry(0)) {
            Some(reading) => BudgetOutcome::Conflict(reading),
            None => BudgetOutcome::NotWritten,
        },
        Err(error) if error.may_have_taken_effect() => BudgetOutcome::Unknown,
        Err(_) => BudgetOutcome::NotWritten,
    }
}

/// Reads a value; `None` when it is not one of budgets, which is then left alone.
fn decode(shard: u8, entry: Option<&Entry>) -> Option<BudgetReading> {
    let Some(entry) = entry else {
        return Some(BudgetReading::default());
    };
    match codec::decode::<BudgetValue>(&entry.value) {
        Ok(value) => Some(BudgetReading { value, revision: revision_of(entry.mod_revision) }),
        Err(error) => {
            event::BUDGET_VALUE_UNREADABLE.log(format_args!("shard={shard} {error}"));
            None
        }
    }
}

async fn all(platform: Arc<Platform>) -> Result<Vec<BudgetValue>, PlatformError> {
    let mut start = PREFIX.to_owned();
    let mut values = Vec::new();
    loop {
        let result = platform.range(CallPurpose::Usage, &start, END, VALUES_PER_CALL).await?;
        let decoded = result.entries.iter().map(|entry| codec::decode(&entry.value));
        values.extend(decoded.flatten());
        match result.entries.last() {
            Some(last) if result.more => start = format!("{}\0", last.key),
            _ => return Ok(values),
        }
    }
}

fn revision_of(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or_default()
}
