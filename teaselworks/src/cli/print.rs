//! Tables for people and JSON for scripts.

use std::io::Write;

use serde::Serialize;
use serde_json::Value;

use super::failure::Failure;

/// Columns of `upstreams`, in order; a table shows those that the rows have.
pub(super) const UPSTREAM_COLUMNS: &[&str] = &[
    "name",
    "kind",
    "serves",
    "role",
    "role_in_force",
    "zone",
    "owner",
    "load_tokens",
    "skew",
    "state",
    "leaving",
];
/// Columns of `workspaces`.
pub(super) const WORKSPACE_COLUMNS: &[&str] =
    &["workspace", "used_tokens", "reserved_tokens", "budget_tokens", "period_ms"];
/// Columns of `workspaces use`.
pub(super) const USE_COLUMNS: &[&str] = &["period", "workspace", "model", "adapter"];
/// Columns of `config status`.
pub(super) const STATUS_COLUMNS: &[&str] = &["name", "zone", "version", "state"];
/// Columns of `config history`.
pub(super) const HISTORY_COLUMNS: &[&str] = &["version", "at", "author", "reason", "id"];
/// Columns of `events`.
pub(super) const EVENT_COLUMNS: &[&str] = &["event", "level", "name", "meaning"];

/// Space between two columns.
const GAP: &str = "  ";

/// Prints `value` as indented JSON.
pub(super) fn json<T: Serialize>(value: &T, out: &mut dyn Write) -> Result<(), Failure> {
    serde_json::to_writer_pretty(&mut *out, value).map_err(std::io::Error::from)?;
    Ok(writeln!(out)?)
}

/// Returns the rows of an answer: the array itself, or the array that is its only member.
pub(super) fn rows(answer: &Value) -> Result<&[Value], Failure> {
    let array = match answer {
        Value::Object(members) if members.len() == 1 => members.values().next(),
        _ => Some(answer),
    };
    match array {
        Some(Value::Array(rows)) => Ok(rows),
        _ => Err(Failure::Answer { problem: "The answer is not a list.".into() }),
    }
}

/// Prints objects as a table: `columns` first, then what else the rows have.
pub(super) fn table(rows: &[Value], columns: &[&str], out: &mut dyn Write) -> Result<(), Failure> {
    let columns = present_columns(rows, columns);
    let mut lines = vec![columns.iter().map(|column| column.to_uppercase()).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|column| cell(&row[column.as_str()])).collect());
    }
    let mut widths = vec![0; columns.len()];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = (*width).max(cell.chars().count());
        }
    }
    for line in lines {
        let mut text = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            text.push_str(&format!("{cell:width$}{GAP}"));
        }
        writeln!(out, "{}", text.trim_end())?;
    }
    Ok(())
}

fn present_columns(rows: &[Value], preferred: &[&str]) -> Vec<String> {
    if rows.is_empty() {
        return preferred.iter().map(ToString::to_string).collect();
    }
    let has = |column: &str| rows.iter().any(|row| row.get(column).is_some());
    let mut columns: Vec<String> =
        preferred.iter().filter(|column| has(column)).map(ToString::to_string).collect();
    for row in rows {
        let Value::Object(members) = row else { continue };
        for name in members.keys() {
            if !columns.contains(name) {
                columns.push(name.clone());
            }
        }
    }
    columns
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

/// Returns a time in milliseconds since 1970 as text in UTC.
pub(super) fn time(at_ms: u64) -> String {
    let at_ms = i64::try_from(at_ms).unwrap_or(i64::MAX);
    jiff::Timestamp::from_millisecond(at_ms).unwrap_or(jiff::Timestamp::MAX).to_string()
}
