//! Deserializes JSON into a type and reports all of its faults instead of only the first one.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::fault::{FieldPath, MAX_FAULTS, PathSegment, UnlocatedFault};

/// Result of a deserialization that continues after faults.
#[derive(Debug)]
pub(crate) struct Deserialized<T> {
    /// Deserialized value; `None` if deserialization could not continue. If there are faults, every
    /// faulty field contains its substitute, or is absent if it has none.
    pub(crate) value: Option<T>,
    /// Faults in the JSON value.
    pub(crate) faults: Vec<UnlocatedFault>,
}

/// Deserializes `json` as a `T`.
///
/// Serde stops at the first fault. To find the others, the faulty field is replaced by the value at
/// the same path in `substitutes`, or removed if there is none, and `json` is deserialized again. A
/// missing field is inserted in the same way. Gives up after [`MAX_FAULTS`] faults, or when a field
/// fails again after its replacement.
pub(crate) fn from_json<T: DeserializeOwned>(
    mut json: Value,
    substitutes: &Value,
) -> Deserialized<T> {
    let mut faults: Vec<UnlocatedFault> = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, T>(&json) {
            Ok(value) => return Deserialized { value: Some(value), faults },
            Err(error) => error,
        };
        let message = error.inner().to_string();
        let mut path = field_path(error.path());
        let missing = backquoted_after(&message, "missing field `");
        if let Some(name) = missing {
            path = path.child_key(name);
        }
        let is_reported = faults.iter().any(|fault| fault.path == path);
        let problem = if missing.is_some() { "is missing".into() } else { message };
        if !is_reported {
            faults.push(UnlocatedFault::new(path.clone(), problem));
        }
        if is_reported || faults.len() == MAX_FAULTS || !substitute(&mut json, &path, substitutes) {
            return Deserialized { value: None, faults };
        }
    }
}

/// Returns the name that follows `prefix` in `message`, up to the next backquote.
fn backquoted_after<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    message.strip_prefix(prefix)?.split('`').next()
}

/// Converts a Serde path to a [`FieldPath`]; stops at a segment that is neither key nor index.
fn field_path(path: &serde_path_to_error::Path) -> FieldPath {
    let mut segments = Vec::new();
    for segment in path.iter() {
        match segment {
            Segment::Seq { index } => segments.push(PathSegment::Index(*index)),
            Segment::Map { key } => segments.push(PathSegment::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => break,
        }
    }
    FieldPath { segments }
}

/// Sets the field at `path` to its substitute, or removes it from its object if there is none.
///
/// Returns whether `json` was changed.
fn substitute(json: &mut Value, path: &FieldPath, substitutes: &Value) -> bool {
    let Some((last, parents)) = path.segments.split_last() else { return false };
    let mut parent = json;
    let mut parent_substitutes = Some(substitutes);
    for segment in parents {
        parent_substitutes = parent_substitutes.and_then(|value| substitute_at(value, segment));
        let child = match segment {
            PathSegment::Key(key) => parent.get_mut(key),
            PathSegment::Index(index) => parent.get_mut(*index),
        };
        let Some(child) = child else { return false };
        parent = child;
    }
    let replacement = parent_substitutes.and_then(|value| substitute_at(value, last)).cloned();
    match (last, parent, replacement) {
        (PathSegment::Key(key), Value::Object(members), Some(value)) => {
            members.insert(key.clone(), value);
        }
        (PathSegment::Key(key), Value::Object(members), None) => {
            members.remove(key);
        }
        (PathSegment::Index(index), Value::Array(items), Some(value)) => items[*index] = value,
        _ => return false,
    }
    true
}

/// Returns the substitute for a child; every index of an array maps to the first element.
fn substitute_at<'a>(substitutes: &'a Value, segment: &PathSegment) -> Option<&'a Value> {
    match segment {
        PathSegment::Key(key) => substitutes.get(key),
        PathSegment::Index(_) => substitutes.get(0),
    }
}
