//! Prints the catalogue of log events.

use std::io::Write;

use clap::ArgMatches;
use serde_json::json;

use super::failure::Failure;
use crate::event;

/// Prints every event.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    if matches.get_flag("json") {
        let rows: Vec<_> = event::ALL.iter().map(row).collect();
        return Ok(writeln!(out, "{:#}", json!(rows))?);
    }
    for event in event::ALL {
        let level = event.level.as_str().to_lowercase();
        writeln!(out, "TW{:04}  {level:<5}  {}: {}", event.number, event.name, event.meaning)?;
    }
    Ok(())
}

fn row(event: &event::Event) -> serde_json::Value {
    json!({
        "event": event.number,
        "level": event.level.as_str().to_lowercase(),
        "name": event.name,
        "meaning": event.meaning,
    })
}
