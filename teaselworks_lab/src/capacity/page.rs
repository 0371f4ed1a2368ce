//! Fills the page's template.

use std::fmt;

use super::figures::{Figure, figures};
use super::inputs::Inputs;
use super::node::Node;
use super::tables;
use crate::slopes::{Recording, RecordingError, Subject};

const OPEN: &str = "{{";
const CLOSE: &str = "}}";

/// Why the page could not be written.
#[derive(Debug)]
pub enum PageError {
    /// A slope is missing.
    Recording(RecordingError),
    /// The template names a figure that does not exist.
    Unknown(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::Recording(error) => error.fmt(f),
            PageError::Unknown(name) => write!(f, "no figure is named {name}"),
        }
    }
}

impl std::error::Error for PageError {}

impl From<RecordingError> for PageError {
    fn from(error: RecordingError) -> Self {
        PageError::Recording(error)
    }
}

/// Returns the page: the template with every `{{name}}` replaced by its figure or table.
///
/// Fails when a slope was not measured or a name is unknown.
pub fn page(recording: &Recording, template: &str) -> Result<String, PageError> {
    let inputs = Inputs::TWO_YEARS;
    let mut all = figures(recording, inputs)?;
    let tables = [
        ("table.budgets", tables::budgets(&Node::at(recording, inputs)?)),
        ("table.doubled", tables::doubled(recording, inputs)?),
        ("table.processes", tables::slopes(recording, Subject::Processes)),
        ("table.decisions", tables::slopes(recording, Subject::Decisions)),
    ];
    for (name, text) in tables {
        all.push(Figure { name: name.into(), text: text.trim_end().into() });
    }
    fill(template, &all)
}

fn fill(template: &str, figures: &[Figure]) -> Result<String, PageError> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once(OPEN) {
        let (name, after) = after.split_once(CLOSE).unwrap_or((after, ""));
        let figure = figures.iter().find(|figure| figure.name == name);
        let figure = figure.ok_or_else(|| PageError::Unknown(name.into()))?;
        text.push_str(before);
        text.push_str(&figure.text);
        rest = after;
    }
    text.push_str(rest);
    Ok(text)
}
