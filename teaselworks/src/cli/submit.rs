//! `config patch`: shows the difference, submits the patch, and tells how it ended.

use std::fs;
use std::io::{self, Read, Write};

use clap::ArgMatches;
use serde_json::json;
use teaselworks_config::configuration::NumberedConfiguration;
use teaselworks_config::configuration::patch::{self, Change};
use teaselworks_config::document::Document;

use super::arguments::{Client, Resubmission, author, id, text};
use super::failure::Failure;
use super::message::PatchSubmission;
use super::operator::{Operator, Submitted};
use super::print;

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Runs `config patch`.
pub(super) fn run(
    operator: &Operator,
    client: &Client,
    matches: &ArgMatches,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let file = text(matches, "patch").expect("a required argument");
    let content = read(&file)?;
    let document = Document::parse(&file, &content)?;
    let submission = PatchSubmission {
        id: id(matches),
        expect: *matches.get_one::<u64>("expect").expect("a required argument"),
        author: author(matches),
        reason: text(matches, "reason").expect("an argument with a default"),
        patch: document.value(),
    };
    let changes = show_difference(operator, client, &submission, &document, out)?;
    if matches.get_flag("dry-run") {
        return match client.json {
            true => print::json(&json!({ "changes": changes }), out),
            false => Ok(()),
        };
    }
    let version = match operator.submit(&submission) {
        Submitted::Accepted(version) => version,
        Submitted::Refused(failure) => return Err(failure),
        Submitted::Unknown(cause) => {
            let resubmit = resubmission(client, &submission, &file);
            return Err(Failure::UnknownOutcome { cause, resubmit });
        }
    };
    if client.json {
        let id = &submission.id;
        return print::json(&json!({ "version": version, "id": id, "changes": changes }), out);
    }
    Ok(writeln!(out, "Accepted as version {version}.")?)
}

/// Prints and returns what the patch changes; `None` where another version is in force, whose
/// difference would mislead: the router then decides by the id whether the patch is stale or was
/// accepted before.
fn show_difference(
    operator: &Operator,
    client: &Client,
    submission: &PatchSubmission,
    document: &Document<'_>,
    out: &mut dyn Write,
) -> Result<Option<Vec<Change>>, Failure> {
    let current = current(operator)?;
    if current.version != submission.expect {
        return Ok(None);
    }
    let patched = patch::apply_document(&current.configuration, document)?;
    if !client.json {
        for change in &patched.changes {
            writeln!(out, "{change}")?;
        }
        if patched.changes.is_empty() {
            writeln!(out, "The patch changes nothing.")?;
        }
    }
    Ok(Some(patched.changes))
}

fn current(operator: &Operator) -> Result<NumberedConfiguration, Failure> {
    let answer = operator.get("/v1/configuration")?;
    serde_json::from_value(answer).map_err(|error| Failure::Answer {
        problem: format!("The router's configuration cannot be understood: {error}"),
    })
}

fn read(file: &str) -> Result<String, Failure> {
    let content = if file == STANDARD_INPUT {
        let mut content = String::new();
        io::stdin().read_to_string(&mut content).map(|_| content)
    } else {
        fs::read_to_string(file)
    };
    content.map_err(|error| Failure::Input { file: file.into(), error })
}

/// Returns the command that submits the same patch again under its id.
fn resubmission(client: &Client, submission: &PatchSubmission, file: &str) -> String {
    let resubmission = Resubmission {
        command: "patch",
        expect: submission.expect,
        id: &submission.id,
        author: &submission.author,
        reason: &submission.reason,
        last: file,
    };
    resubmission.line(client)
}
