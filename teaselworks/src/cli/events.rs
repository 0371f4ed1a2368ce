//! The `events` command, which prints the catalogue of log events.

use std::io::Write;

use clap::ArgMatches;
use serde_json::json;

use super::failure::CommandError;
use crate::event;

/// Prints every event, as text or as JSON.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), CommandError> {
    if matches.get_flag("json") {
        let events: Vec<_> = event::ALL.iter().map(event_json).collect();
        return Ok(writeln!(out, "{:#}", json!(events))?);
    }
    for event in event::ALL {
        let level = event.level.as_str().to_lowercase();
        writeln!(out, "TW{:04}  {level:<5}  {}: {}", event.number, event.name, event.meaning)?;
    }
    Ok(())
}

/// Returns the JSON object of one event.
fn event_json(event: &event::Event) -> serde_json::Value {
    json!({
        "event": event.number,
        "level": event.level.as_str().to_lowercase(),
        "name": event.name,
        "meaning": event.meaning,
    })
}
