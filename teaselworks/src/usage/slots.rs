//! The platform's values of use: one key for each month and shard.

use std::fmt;
use std::sync::Arc;

use teaselworks_policy::usage::{Period, Reading, Slot, SlotWrite, Tally, UseRow, WriteOutcome};
use teaselworks_wire::codec;

use super::parts::Later;
use crate::event;
use crate::platform::{
    CallPurpose, Compare, Entry, Operation, Platform, PlatformError, Transaction,
    TransactionOutcome,
};

/// Prefix of the keys.
const PREFIX: &str = "use/";

/// Values read with one call: up to a megabyte and a half at the largest expected size.
const VALUES_PER_CALL: u32 = 16;

/// Reads a slot's value; `None` when that failed.
pub type ReadSlot = Arc<dyn Fn(Slot) -> Later<Option<Reading>> + Send + Sync>;

/// Writes a slot's value where its revision is the expected one.
pub type WriteSlot = Arc<dyn Fn(Slot, SlotWrite) -> Later<WriteOutcome> + Send + Sync>;

/// Reads all use of a month.
pub type ReadMonth = Arc<dyn Fn(Period) -> Later<Result<Vec<UseRow>, PlatformError>> + Send + Sync>;

/// Access to the platform's values of use.
#[derive(Clone)]
pub struct Slots {
    /// Reads one.
    pub read: ReadSlot,
    /// Writes one.
    pub write: WriteSlot,
    /// Reads all of a month.
    pub month: ReadMonth,
}

impl fmt::Debug for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slots").finish_non_exhaustive()
    }
}

impl Slots {
    /// Makes the access through the platform's client.
    pub fn on(platform: Arc<Platform>) -> Self {
        let (reader, writer, lister) = (platform.clone(), platform.clone(), platform);
        Self {
            read: Arc::new(move |slot| Box::pin(read(reader.clone(), slot))),
            write: Arc::new(move |slot, write| Box::pin(put(writer.clone(), slot, write))),
            month: Arc::new(move |period| Box::pin(month(lister.clone(), period))),
        }
    }
}

fn key(slot: Slot) -> String {
    format!("{PREFIX}{slot}")
}

async fn read(platform: Arc<Platform>, slot: Slot) -> Option<Reading> {
    match platform.get(CallPurpose::Usage, &key(slot)).await {
        Ok(entry) => decode(slot, entry.as_ref()),
        Err(_) => None,
    }
}

async fn put(platform: Arc<Platform>, slot: Slot, write: SlotWrite) -> WriteOutcome {
    let value = match codec::encode(&write.tally) {
        Ok(value) => value.to_vec(),
        Err(error) => {
            event::USE_WRITE_REFUSED.log(format_args!("slot={slot} {error}"));
            return WriteOutcome::NotWritten;
        }
    };
    let revision = i64::try_from(write.expected_revision).unwrap_or(i64::MAX);
    let transaction = Transaction {
        compare: vec![Compare::ModRevision { key: key(slot), revision }],
        success: vec![Operation::Put { key: key(slot), value, lease: 0 }],
        failure: vec![Operation::Get { key: key(slot) }],
    };
    match platform.transact(CallPurpose::Usage, &transaction).await {
        Ok(outcome) => written(slot, &outcome),
        Err(error) if error.may_have_taken_effect() => WriteOutcome::Unknown,
        Err(error) => {
            if matches!(error, PlatformError::Refused { .. }) {
                event::USE_WRITE_REFUSED.log(format_args!("slot={slot} {error}"));
            }
            WriteOutcome::NotWritten
        }
    }
}

fn written(slot: Slot, outcome: &TransactionOutcome) -> WriteOutcome {
    if outcome.succeeded {
        return WriteOutcome::Written(revision_of(outcome.revision));
    }
    match decode(slot, outcome.entry(0)) {
        Some(reading) => WriteOutcome::Conflict(reading),
        None => WriteOutcome::Unknown,
    }
}

/// Reads a value; `None` when it is not one of use, which is then left alone.
fn decode(slot: Slot, entry: Option<&Entry>) -> Option<Reading> {
    let Some(entry) = entry else {
        return Some(Reading::default());
    };
    match codec::decode::<Tally>(&entry.value) {
        Ok(tally) => Some(Reading { tally, revision: revision_of(entry.mod_revision) }),
        Err(error) => {
            event::USE_VALUE_UNREADABLE.log(format_args!("slot={slot} {error}"));
            None
        }
    }
}

async fn month(platform: Arc<Platform>, period: Period) -> Result<Vec<UseRow>, PlatformError> {
    let mut start = format!("{PREFIX}{period}/");
    // The character after the slash ends the month's keys.
    let end = format!("{PREFIX}{period}0");
    let mut rows = Vec::new();
    loop {
        let result = platform.range(CallPurpose::Usage, &start, &end, VALUES_PER_CALL).await?;
        for entry in &result.entries {
            let Ok(tally) = codec::decode::<Tally>(&entry.value) else {
                event::USE_VALUE_UNREADABLE.log(format_args!("key={}", entry.key));
                continue;
            };
            let row = |(key, sum)| UseRow { period, key, sum };
            rows.extend(tally.rows.into_iter().map(row));
        }
        match result.entries.last() {
            Some(last) if result.more => start = format!("{}\0", last.key),
            _ => break,
        }
    }
    rows.sort_by(|a: &UseRow, b: &UseRow| a.key.cmp(&b.key));
    Ok(rows)
}

fn revision_of(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or_default()
}
