//! `config republish`: shows what will happen, asks, publishes, and tells how it ended.

use std::io::{self, Write};

use clap::ArgMatches;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::arguments::{Client, Resubmission, author, id, text};
use super::failure::Failure;
use super::message::{FleetVersions, Republication};
use super::operator::{Operator, Submitted};
use super::print;
use crate::store::RepublishPlan;

/// Answer by which an operator confirms.
const YES: &str = "yes";

/// Runs `config republish`.
pub(super) fn run(
    operator: &Operator,
    client: &Client,
    matches: &ArgMatches,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let submission = Republication {
        id: id(matches),
        expect: *matches.get_one::<u64>("expect").expect("a required argument"),
        author: author(matches),
        reason: text(matches, "reason").expect("an argument with a default"),
    };
    let plan: RepublishPlan = read(operator.get("/v1/configuration/republish")?)?;
    // Otherwise it is refused, or accepted under its id before: the router tells which.
    if plan.is_possible() && plan.in_force == submission.expect {
        let fleet: FleetVersions = read(operator.get("/v1/configuration/status")?)?;
        check_is_highest(&plan, &fleet)?;
        if !client.json {
            show(&plan, &fleet, out)?;
        }
    }
    if !matches.get_flag("yes") {
        confirm()?;
    }
    let version = match operator.republish(&submission) {
        Submitted::Accepted(version) => version,
        Submitted::Refused(failure) => return Err(failure),
        Submitted::Unknown(cause) => {
            let resubmit = resubmission(client, &submission);
            return Err(Failure::UnknownOutcome { cause, resubmit });
        }
    };
    if client.json {
        let id = &submission.id;
        return print::json(&json!({ "version": version, "id": id, "plan": plan }), out);
    }
    Ok(writeln!(out, "Accepted as version {version}.")?)
}

/// Fails when another router holds a higher version.
///
/// Published here, the next number would be one that the other router already has with other
/// content: it would log `configuration_diverged` and keep its own, and callers would meet either.
fn check_is_highest(plan: &RepublishPlan, fleet: &FleetVersions) -> Result<(), Failure> {
    let highest = fleet.routers.iter().filter_map(|router| router.version).max();
    match highest {
        Some(current) if current > plan.in_force => {
            Err(Failure::Stale { expected: plan.in_force, current, changed: Vec::new() })
        }
        _ => Ok(()),
    }
}

fn show(plan: &RepublishPlan, fleet: &FleetVersions, out: &mut dyn Write) -> Result<(), Failure> {
    let RepublishPlan { in_force, platform, platform_is, becomes, patches_put_back } = plan;
    writeln!(out, "The platform holds version {platform} and is {platform_is}.")?;
    let same = fleet.routers.iter().filter(|router| router.version == Some(*in_force)).count();
    let all = fleet.routers.len();
    writeln!(out, "Version {in_force} is in force at this router and {same} of {all} in all.")?;
    for router in &fleet.routers {
        match router.version {
            Some(version) if version == *in_force => {}
            Some(version) => writeln!(out, "  {} has version {version}.", router.name)?,
            None => writeln!(out, "  {} does not answer.", router.name)?,
        }
    }
    writeln!(out, "It will be published with the same content as version {becomes}.")?;
    writeln!(out, "Patches put back into the platform's history: {patches_put_back}.")?;
    Ok(writeln!(out, "What the platform holds now is replaced.")?)
}

/// Reads the operator's answer; fails when it is not `yes`.
fn confirm() -> Result<(), Failure> {
    // On standard error, so that the output of `--json` stays JSON.
    write!(io::stderr(), "Publish? Type `{YES}`: ")?;
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    if line.trim() == YES {
        return Ok(());
    }
    Err(Failure::Refused { reason: "not_confirmed".into(), detail: String::new() })
}

fn read<T: DeserializeOwned>(answer: Value) -> Result<T, Failure> {
    serde_json::from_value(answer).map_err(|error| Failure::Answer {
        problem: format!("The router's answer cannot be understood: {error}"),
    })
}

/// Returns the command that submits the same again under its id.
fn resubmission(client: &Client, submission: &Republication) -> String {
    let resubmission = Resubmission {
        command: "republish",
        expect: submission.expect,
        id: &submission.id,
        author: &submission.author,
        reason: &submission.reason,
        last: "--yes",
    };
    resubmission.line(client)
}
