//! `check`: settings, configuration and patch without a router.

use std::fs;
use std::io::Write;
use std::path::Path;

use clap::ArgMatches;
use serde_json::json;
use teaselworks_config::configuration::Configuration;
use teaselworks_config::configuration::patch::{self, Change};
use teaselworks_config::document::Document;
use teaselworks_config::fault::Faults;
use teaselworks_config::settings::Settings;

use super::failure::Failure;
use super::print;

/// Runs `check`; fails with the faults of all files together.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Failure> {
    let file = |name| matches.get_one::<String>(name).map(String::as_str);
    let mut faults = Vec::new();
    if let Some(file) = file("settings")
        && let Err(found) = Settings::load(Path::new(file))
    {
        faults.extend(found.0);
    }
    let mut base = Some(Configuration::default());
    if let Some(file) = file("configuration") {
        base = collect(&mut faults, Configuration::parse(file, &read(file)?));
    }
    let mut changes = None;
    // Without a valid base every name of the patch would be reported as dangling.
    if let (Some(file), Some(base)) = (file("patch"), base) {
        changes = collect(&mut faults, difference(file, &read(file)?, &base));
    }
    if !faults.is_empty() {
        return Err(Failure::Faults(Faults(faults)));
    }
    if matches.get_flag("json") {
        return print::json(&json!({ "changes": changes.unwrap_or_default() }), out);
    }
    for change in changes.unwrap_or_default() {
        writeln!(out, "{change}")?;
    }
    Ok(writeln!(out, "No fault was found.")?)
}

fn difference(file: &str, text: &str, base: &Configuration) -> Result<Vec<Change>, Faults> {
    let document = Document::parse(file, text)?;
    Ok(patch::apply_document(base, &document)?.changes)
}

fn collect<T>(
    faults: &mut Vec<teaselworks_config::fault::Fault>,
    result: Result<T, Faults>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(found) => {
            faults.extend(found.0);
            None
        }
    }
}

fn read(file: &str) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|error| Failure::Input { file: file.into(), error })
}
