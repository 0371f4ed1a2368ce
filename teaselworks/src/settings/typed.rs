//! Turns JSON into a type and finds every fault of it, not the first alone.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::fault::{FAULTS_MAX, FieldPath, Finding, Step};

/// A typed value and what was wrong with the JSON that it was made from.
#[derive(Debug)]
pub(crate) struct Reading<T> {
    /// The value; where there are findings, with the fields at fault replaced by others.
    pub(crate) value: Option<T>,
    /// What was wrong.
    pub(crate) findings: Vec<Finding>,
}

/// Reads `json` as a `T`.
///
/// The typed reader stops at its first error. To find the others, the field at fault is replaced
/// by that of `template`, or removed where the template has none, and the value is read again.
pub(crate) fn read<T: DeserializeOwned>(mut json: Value, template: &Value) -> Reading<T> {
    let mut findings: Vec<Finding> = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, T>(&json) {
            Ok(value) => return Reading { value: Some(value), findings },
            Err(error) => error,
        };
        let message = error.inner().to_string();
        let mut path = path_of(error.path());
        let missing = quoted(&message, "missing field `");
        if let Some(name) = missing {
            path = path.key(name);
        }
        let is_known = findings.iter().any(|finding| finding.path == path);
        let problem = if missing.is_some() { "is missing".into() } else { message };
        if !is_known {
            findings.push(Finding::new(path.clone(), problem));
        }
        if is_known || findings.len() == FAULTS_MAX || !replace(&mut json, &path, template) {
            return Reading { value: None, findings };
        }
    }
}

fn quoted<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    message.strip_prefix(start)?.split('`').next()
}

fn path_of(path: &serde_path_to_error::Path) -> FieldPath {
    let mut steps = Vec::new();
    for segment in path.iter() {
        match segment {
            Segment::Seq { index } => steps.push(Step::Index(*index)),
            Segment::Map { key } => steps.push(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => break,
        }
    }
    FieldPath { steps }
}

fn replace(json: &mut Value, path: &FieldPath, template: &Value) -> bool {
    let Some((last, parents)) = path.steps.split_last() else { return false };
    let mut parent = json;
    let mut parent_template = Some(template);
    for step in parents {
        parent_template = parent_template.and_then(|value| template_of(value, step));
        let child = match step {
            Step::Key(key) => parent.get_mut(key),
            Step::Index(index) => parent.get_mut(*index),
        };
        let Some(child) = child else { return false };
        parent = child;
    }
    let replacement = parent_template.and_then(|value| template_of(value, last)).cloned();
    match (last, parent, replacement) {
        (Step::Key(key), Value::Object(members), Some(value)) => {
            members.insert(key.clone(), value);
        }
        (Step::Key(key), Value::Object(members), None) => {
            members.remove(key);
        }
        (Step::Index(index), Value::Array(elements), Some(value)) => elements[*index] = value,
        _ => return false,
    }
    true
}

fn template_of<'a>(template: &'a Value, step: &Step) -> Option<&'a Value> {
    match step {
        Step::Key(key) => template.get(key),
        Step::Index(_) => template.get(0),
    }
}
