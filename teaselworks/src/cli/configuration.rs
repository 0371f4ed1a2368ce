//! `config get` and `config history`.

use std::io::Write;

use clap::ArgMatches;
use serde_json::json;

use super::arguments::Client;
use super::failure::Failure;
use super::operator::Operator;
use super::print;

/// Prints the configuration in force.
pub(super) fn get(
    operator: &Operator,
    client: &Client,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let answer = operator.get("/v1/configuration")?;
    if client.json {
        return print::json(&answer, out);
    }
    // A comment, so that the output is a valid configuration file.
    writeln!(out, "// Version {}", answer["version"])?;
    print::json(&answer["configuration"], out)
}

/// Prints accepted patches, latest first.
pub(super) fn history(
    operator: &Operator,
    client: &Client,
    matches: &ArgMatches,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let limit = matches.get_one::<u32>("limit").expect("an argument with a default");
    let answer = operator.get(&format!("/v1/configuration/history?limit={limit}"))?;
    if client.json {
        return print::json(&answer, out);
    }
    let mut rows = Vec::new();
    for record in print::rows(&answer)? {
        rows.push(json!({
            "version": record["version"],
            "at": record["at_ms"].as_u64().map(print::time),
            "author": record["author"],
            "reason": record["reason"],
            "id": record["id"],
        }));
    }
    print::table(&rows, print::HISTORY_COLUMNS, out)
}
