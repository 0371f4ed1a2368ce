//! Reads settings from JSON with comments.

use std::path::Path;

use serde_json::{Value, json};

use super::{Document, Fault, Faults, Settings, check, typed};

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// Fails with every fault found, each with file, line and field.
    ///
    /// ```
    /// use std::path::Path;
    /// use teaselworks::settings::Settings;
    ///
    /// let faults = Settings::load(Path::new("no-such-file.jsonc")).unwrap_err();
    /// assert_eq!(faults.0[0].file, "no-such-file.jsonc");
    /// ```
    pub fn load(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Fault {
            file: file.clone(),
            line: 0,
            column: 0,
            field: String::new(),
            problem: format!("cannot be read: {error}"),
        })?;
        Self::parse(&file, &text)
    }

    /// Reads and checks settings from `text`; `file` is the name in faults.
    ///
    /// Fails with every fault found: unknown and missing fields, wrong types, and values that
    /// cannot work.
    ///
    /// ```
    /// use teaselworks::settings::Settings;
    ///
    /// let faults = Settings::parse("a.jsonc", "{\n  \"rooter\": {}\n}").unwrap_err();
    /// let unknown = faults.0.iter().find(|fault| fault.field == "rooter").unwrap();
    /// assert_eq!(unknown.line, 2);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        if let Some(fault) = unfilled(file, text) {
            return Err(fault.into());
        }
        let document = Document::parse(file, text)?;
        let reading = typed::read::<Settings>(document.value(), &template());
        let mut findings = reading.findings;
        let Some(settings) = reading.value else {
            return Err(document.place_all(findings));
        };
        let replaced: Vec<_> = findings.iter().map(|finding| finding.path.clone()).collect();
        for finding in check::findings(&settings) {
            // A replaced field is already reported; what contradicts its replacement is no fault.
            if finding.rests_on(&replaced) {
                continue;
            }
            findings.push(finding);
        }
        if findings.is_empty() { Ok(settings) } else { Err(document.place_all(findings)) }
    }
}

/// Returns the fault of a template whose placeholders nobody has filled in.
fn unfilled(file: &str, text: &str) -> Option<Fault> {
    let start = text.find("{{")?;
    let placeholder = &text[start..start + text[start..].find("}}")? + 2];
    let before = &text[..start];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    Some(Fault {
        file: file.to_owned(),
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        field: String::new(),
        problem: format!(
            "the file is a template that was not filled in: placeholder `{placeholder}`"
        ),
    })
}

/// Returns valid values of every required field, to put in place of those at fault.
fn template() -> Value {
    json!({
        "router": { "name": "name", "zone": "zone" },
        "listen": {
            "callers": "127.0.0.1:1",
            "health": "127.0.0.1:2",
            "metrics": "127.0.0.1:3",
        },
        "platform": { "address": "127.0.0.1:4" },
    })
}
