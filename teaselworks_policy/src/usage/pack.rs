//! Compact forms in which use is sent and kept: names once, then numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{AttemptKey, Batch, Charge};
use super::names::Dictionary;
use super::period::Period;
use super::record::{KeyHash, UseKey, UseSum};
use crate::name::Name;

/// A charge and its month.
pub(super) type PackedCharge = (Period, AttemptKey, PackedKey, PackedSum);

/// Bytes of an attempt's hash in a batch.
const ATTEMPT_SIZE_BYTES: usize = 5;

/// Bytes of a key's hash in a portion.
const KEY_HASH_SIZE_BYTES: usize = 6;

/// Numbers that a sum consists of.
const SUM_NUMBERS: usize = 4;

/// Numbers that a row of a batch or a portion consists of.
const ROW_NUMBERS: usize = 7;

/// Numbers names in the order in which a message first uses them.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    pub(super) list: Vec<Name>,
    numbers: BTreeMap<Name, u32>,
}

impl Names {
    pub(super) fn number(&mut self, name: &Name) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.list.len() as u32;
        self.list.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }

    pub(super) fn pack(&mut self, key: &UseKey) -> PackedKey {
        let adapter = key.adapter.as_ref().map(|adapter| self.number(adapter));
        PackedKey(self.number(&key.workspace), self.number(&key.model), adapter)
    }

    /// Packs charges of which others may exist.
    pub(super) fn pack_charges(&mut self, charges: Vec<(Period, Charge)>) -> Vec<PackedCharge> {
        let mut packed = Vec::new();
        for (period, charge) in charges {
            packed.push((period, charge.attempt, self.pack(&charge.key), charge.sum.into()));
        }
        packed
    }
}

/// Unpacks charges of which others may exist.
pub(super) fn unpack_charges(names: &[Name], packed: Vec<PackedCharge>) -> Vec<(Period, Charge)> {
    let mut charges = Vec::new();
    for (period, attempt, key, sum) in packed {
        let (key, sum) = (key.unpack(names), sum.into());
        charges.push((period, Charge { attempt, key, sum, contested: true }));
    }
    charges
}

/// Numbers of variable length one after the other, without a header for each.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Numbers(Bytes);

impl Numbers {
    pub(super) fn pack(numbers: &[u64]) -> Self {
        let mut bytes = Vec::new();
        for number in numbers {
            // Writing to memory does not fail.
            let _ = leb128::write::unsigned(&mut bytes, *number);
        }
        Self(bytes.into())
    }

    /// Returns the numbers, those before the first that is none.
    pub(super) fn unpack(&self) -> Vec<u64> {
        let mut bytes = self.0.as_ref();
        let mut numbers = Vec::new();
        while let Ok(number) = leb128::read::unsigned(&mut bytes) {
            numbers.push(number);
        }
        numbers
    }
}

/// A batch as it is sent: its number, its month, the attempts' hashes one after the other, a row
/// for each charge, and the positions of the charges that are contested.
///
/// Columns spare a header for each charge and for each of its parts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PackedBatch(u64, u32, Bytes, Numbers, Vec<u32>);

impl PackedBatch {
    pub(super) fn pack<'a>(
        number: u64,
        period: Period,
        charges: impl IntoIterator<Item = &'a Charge>,
        names: &mut Dictionary,
    ) -> Self {
        let (mut attempts, mut rows, mut contested) = (Vec::new(), Vec::new(), Vec::new());
        for (position, charge) in charges.into_iter().enumerate() {
            push_hash::<ATTEMPT_SIZE_BYTES>(&mut attempts, charge.attempt.0);
            rows.extend(pack_row(&names.pack(&charge.key), charge.sum));
            if charge.contested {
                contested.push(position as u32);
            }
        }
        Self(number, period.months(), attempts.into(), Numbers::pack(&rows), contested)
    }

    /// Returns the batch's number.
    pub(super) fn number(&self) -> u64 {
        self.0
    }

    /// Returns the batch, which arrives at `since`; its numbers stand for `names`.
    pub(super) fn unpack(&self, names: &[Name], since: Duration) -> Batch {
        let attempts = self.2.chunks_exact(ATTEMPT_SIZE_BYTES);
        let mut charges = Vec::new();
        for (attempt, (key, sum)) in attempts.zip(unpack_rows(&self.3.unpack(), names)) {
            let attempt = AttemptKey(hash_of(attempt));
            charges.push(Charge { attempt, key, sum, contested: false });
        }
        for position in &self.4 {
            if let Some(charge) = charges.get_mut(*position as usize) {
                charge.contested = true;
            }
        }
        Batch { number: self.0, period: Period::from_months(self.1), charges, since }
    }
}

/// Appends the last bytes of a hash.
fn push_hash<const SIZE_BYTES: usize>(bytes: &mut Vec<u8>, hash: u64) {
    let hash = hash.to_be_bytes();
    bytes.extend_from_slice(&hash[hash.len() - SIZE_BYTES..]);
}

fn hash_of(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Returns hashes of keys, and the sums under them as plain numbers.
pub(super) fn pack_hashed(rows: &[(KeyHash, UseSum)]) -> (Bytes, Numbers) {
    let (mut hashes, mut numbers) = (Vec::new(), Vec::new());
    for (KeyHash(hash), sum) in rows {
        push_hash::<KEY_HASH_SIZE_BYTES>(&mut hashes, *hash);
        let UseSum { attempts, prompt_tokens, cached_tokens, output_tokens } = *sum;
        numbers.extend([attempts, prompt_tokens, cached_tokens, output_tokens]);
    }
    (hashes.into(), Numbers::pack(&numbers))
}

/// Returns the hashes of keys and the sums of plain numbers.
pub(super) fn unpack_hashed(hashes: &[u8], numbers: &[u64]) -> Vec<(KeyHash, UseSum)> {
    let hashes = hashes.chunks_exact(KEY_HASH_SIZE_BYTES);
    let sums = numbers.chunks_exact(SUM_NUMBERS);
    let sum = |it: &[u64]| UseSum::from(PackedSum(it[0], it[1], it[2], it[3]));
    hashes.zip(sums).map(|(hash, numbers)| (KeyHash(hash_of(hash)), sum(numbers))).collect()
}

/// Returns a key and a sum as plain numbers; no adapter is 0.
pub(super) fn pack_row(key: &PackedKey, sum: UseSum) -> [u64; ROW_NUMBERS] {
    let adapter = key.2.map_or(0, |adapter| u64::from(adapter) + 1);
    let UseSum { attempts, prompt_tokens, cached_tokens, output_tokens } = sum;
    [key.0.into(), key.1.into(), adapter, attempts, prompt_tokens, cached_tokens, output_tokens]
}

/// Returns the keys and sums of plain numbers.
pub(super) fn unpack_rows(rows: &[u64], names: &[Name]) -> impl Iterator<Item = (UseKey, UseSum)> {
    let number = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    rows.chunks_exact(ROW_NUMBERS).map(move |row| {
        let adapter = row[2].checked_sub(1).map(number);
        let key = PackedKey(number(row[0]), number(row[1]), adapter);
        let sum = PackedSum(row[3], row[4], row[5], row[6]);
        (key.unpack(names), sum.into())
    })
}

/// Workspace, model and adapter by number.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PackedKey(u32, u32, Option<u32>);

impl PackedKey {
    /// Returns the key; numbers that the message does not name become empty names.
    pub(super) fn unpack(&self, names: &[Name]) -> UseKey {
        let name = |number: u32| names.get(number as usize).cloned().unwrap_or_default();
        UseKey { workspace: name(self.0), model: name(self.1), adapter: self.2.map(name) }
    }
}

/// Attempts, prompt tokens, cached tokens, output tokens.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PackedSum(u64, u64, u64, u64);

impl From<UseSum> for PackedSum {
    fn from(sum: UseSum) -> Self {
        Self(sum.attempts, sum.prompt_tokens, sum.cached_tokens, sum.output_tokens)
    }
}

impl From<PackedSum> for UseSum {
    fn from(packed: PackedSum) -> Self {
        Self {
            attempts: packed.0,
            prompt_tokens: packed.1,
            cached_tokens: packed.2,
            output_tokens: packed.3,
        }
    }
}
