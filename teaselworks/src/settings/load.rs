//! Loads settings from JSON with comments.

use std::path::Path;

use serde_json::{Value, json};

use super::{Document, Fault, Faults, Settings, check, typed};

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// Fails with all faults found. Each names the file, the line and the field; if the file cannot
    /// be read, the single fault names only the file.
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

    /// Parses and validates settings from `text`; faults name the file as `file`.
    ///
    /// Fails with all faults found: unknown and missing fields, wrong types, and invalid values.
    /// An unfilled template placeholder, a syntax error or duplicate keys are reported before any
    /// other check runs.
    ///
    /// ```
    /// use teaselworks::settings::Settings;
    ///
    /// let faults = Settings::parse("a.jsonc", "{\n  \"rooter\": {}\n}").unwrap_err();
    /// let unknown = faults.0.iter().find(|fault| fault.field == "rooter").unwrap();
    /// assert_eq!(unknown.line, 2);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        if let Some(fault) = find_placeholder(file, text) {
            return Err(fault.into());
        }
        let document = Document::parse(file, text)?;
        let deserialized = typed::from_json::<Settings>(document.value(), &substitutes());
        let mut faults = deserialized.faults;
        let Some(settings) = deserialized.value else {
            return Err(document.locate_all(faults));
        };
        let substituted: Vec<_> = faults.iter().map(|fault| fault.path.clone()).collect();
        for fault in check::faults(&settings) {
            // The fault of a substituted field is already reported, and a conflict with the
            // substitute is not a fault of the file.
            if fault.involves_any(&substituted) {
                continue;
            }
            faults.push(fault);
        }
        if faults.is_empty() { Ok(settings) } else { Err(document.locate_all(faults)) }
    }
}

/// Returns a fault for the first `{{placeholder}}` in `text`, which marks a template that the
/// platform has not filled in.
fn find_placeholder(file: &str, text: &str) -> Option<Fault> {
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

/// Returns a valid value for every required field, to substitute for faulty ones.
fn substitutes() -> Value {
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
