//! Tables of offered load: merging by workspace and rank, and fitting into a datagram.

use crate::shares::{OfferedRow, RankLoad, WorkspaceKey};

/// Largest size of an encoded table. The rest of a datagram of 1,400 bytes is for the other fields
/// of a message, which take at most 100 bytes.
const MAX_TABLE_BYTES: usize = 1_280;
/// Largest number of ranks in a row of a message; less urgent ranks are added to the last of them.
const MAX_RANKS: usize = 8;
/// Largest size of an encoded row: list heads, key, average load and ranks.
const MAX_ROW_BYTES: usize = 12 + MAX_RANKS * 13;
/// Steps in which messages state load, in a slot.
const STEPS_PER_SLOT: f64 = 1e3;

/// Adds up rows by workspace and rank; returns them in the order of the keys.
pub(super) fn merge<'a>(rows: impl Iterator<Item = &'a OfferedRow>) -> Vec<OfferedRow> {
    let mut rows: Vec<&OfferedRow> = rows.collect();
    rows.sort_by_key(|row| row.workspace);
    let mut merged: Vec<OfferedRow> = Vec::new();
    for row in rows {
        match merged.last_mut() {
            Some(last) if last.workspace == row.workspace => add(last, row),
            _ => {
                let empty = OfferedRow { workspace: row.workspace, usual: 0.0, ranks: Vec::new() };
                merged.push(empty);
                add(merged.last_mut().expect("a row was just added"), row);
            }
        }
    }
    merged
}

/// Returns the rows as a message carries them: without those below a thousandth of a slot, and with
/// the least loaded workspaces added to the row of the rest if the table would be too large.
pub(super) fn fit(rows: &[OfferedRow]) -> Vec<OfferedRow> {
    let rows = merge(rows.iter()).into_iter().filter(|row| !is_negligible(row));
    let mut rows: Vec<OfferedRow> = rows.map(limit_ranks).collect();
    if rows.iter().map(encoded_len).sum::<usize>() <= MAX_TABLE_BYTES {
        return rows;
    }
    rows.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
    let mut rest = OfferedRow { workspace: WorkspaceKey::REST, usual: 0.0, ranks: Vec::new() };
    let mut fitted = Vec::new();
    let mut room = MAX_TABLE_BYTES - MAX_ROW_BYTES;
    for row in rows {
        let length = encoded_len(&row);
        if row.workspace == WorkspaceKey::REST || length > room {
            // The rows after one that does not fit have less load, and fit no better.
            room = if row.workspace == WorkspaceKey::REST { room } else { 0 };
            add(&mut rest, &row);
        } else {
            room -= length;
            fitted.push(row);
        }
    }
    fitted.push(limit_ranks(rest));
    fitted.sort_by_key(|row| row.workspace);
    fitted
}

fn add(sum: &mut OfferedRow, row: &OfferedRow) {
    sum.usual += row.usual;
    for load in &row.ranks {
        let index = sum.ranks.partition_point(|other| other.rank < load.rank);
        match sum.ranks.get_mut(index) {
            Some(other) if other.rank == load.rank => {
                other.new += load.new;
                other.returning += load.returning;
            }
            _ => sum.ranks.insert(index, *load),
        }
    }
}

fn limit_ranks(mut row: OfferedRow) -> OfferedRow {
    if row.ranks.len() > MAX_RANKS {
        for load in row.ranks.split_off(MAX_RANKS) {
            let last = &mut row.ranks[MAX_RANKS - 1];
            last.new += load.new;
            last.returning += load.returning;
        }
    }
    row
}

/// Returns the offered load of a row; of workspaces that offer the same, more average load counts.
fn weight(row: &OfferedRow) -> f64 {
    let offered: f64 = row.ranks.iter().map(|load| load.new + load.returning).sum();
    offered + row.usual * 1e-3
}

fn is_negligible(row: &OfferedRow) -> bool {
    let offered: f64 = row.ranks.iter().map(|load| load.new + load.returning).sum();
    offered.max(row.usual) < 1.0 / STEPS_PER_SLOT
}

/// Returns the number of bytes that a row takes as CBOR: two lists with heads of one byte each, and
/// the numbers.
fn encoded_len(row: &OfferedRow) -> usize {
    let ranks = row.ranks.iter().map(|RankLoad { rank, new, returning }| {
        1 + integer_len((*rank).into()) + integer_len(steps(*new)) + integer_len(steps(*returning))
    });
    2 + integer_len(row.workspace.0.into()) + integer_len(steps(row.usual)) + ranks.sum::<usize>()
}

fn steps(slots: f64) -> u64 {
    // A negative number or NaN becomes 0.
    (slots * STEPS_PER_SLOT).round() as u64
}

/// Returns the number of bytes of an integer in CBOR.
fn integer_len(number: u64) -> usize {
    match number {
        0..=23 => 1,
        24..=0xff => 2,
        0x100..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
