//! Faults in a settings document, with their position and field.

use std::fmt;

use serde::Serialize;

/// Maximum number of faults that deserialization reports: an operator does not read more of them at
/// once. The checks of deserialized values may add further ones.
pub const MAX_FAULTS: usize = 64;

/// One segment of a [`FieldPath`], leading from a JSON value to a direct child.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathSegment {
    /// Key of an object member.
    Key(String),
    /// Index of an array element, from 0.
    Index(usize),
}

/// Path from the root of a JSON document to a value in it, which may be absent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FieldPath {
    /// Segments of the path, from the root.
    pub segments: Vec<PathSegment>,
}

impl FieldPath {
    /// Creates a path of object keys.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// assert_eq!(FieldPath::from_keys(&["listen", "callers"]).to_string(), "listen.callers");
    /// ```
    pub fn from_keys(keys: &[&str]) -> Self {
        Self { segments: keys.iter().map(|key| PathSegment::Key((*key).into())).collect() }
    }

    /// Returns the path with an object key appended.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// let path = FieldPath::default().child_key("log").child_key("level");
    /// assert_eq!(path.to_string(), "log.level");
    /// ```
    pub fn child_key(&self, key: &str) -> Self {
        let mut segments = self.segments.clone();
        segments.push(PathSegment::Key(key.into()));
        Self { segments }
    }

    /// Returns the path with an array index appended.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// assert_eq!(FieldPath::from_keys(&["seeds"]).child_index(2).to_string(), "seeds[2]");
    /// ```
    pub fn child_index(&self, index: usize) -> Self {
        let mut segments = self.segments.clone();
        segments.push(PathSegment::Index(index));
        Self { segments }
    }

    /// Returns whether `self` equals `other` or is below it.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// let address = FieldPath::from_keys(&["listen", "callers"]);
    /// assert!(address.is_within(&FieldPath::from_keys(&["listen"])));
    /// ```
    pub fn is_within(&self, other: &FieldPath) -> bool {
        self.segments.starts_with(&other.segments)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (depth, segment) in self.segments.iter().enumerate() {
            match segment {
                PathSegment::Key(key) if depth == 0 => f.write_str(key)?,
                PathSegment::Key(key) => write!(f, ".{key}")?,
                PathSegment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// A fault in a field of a document whose line and column are not known yet.
///
/// [`Document::locate`](super::Document::locate) converts it to a [`Fault`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnlocatedFault {
    /// Faulty field.
    pub path: FieldPath,
    /// Other fields that the faulty value conflicts with.
    pub conflicts: Vec<FieldPath>,
    /// Description of the problem, phrased as a predicate of the field, for instance "is zero".
    pub problem: String,
}

impl UnlocatedFault {
    /// Creates a fault of one field.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, UnlocatedFault};
    ///
    /// let fault = UnlocatedFault::new(FieldPath::from_keys(&["seeds"]), "is empty");
    /// assert!(fault.conflicts.is_empty());
    /// ```
    pub fn new(path: FieldPath, problem: impl Into<String>) -> Self {
        Self { path, conflicts: Vec::new(), problem: problem.into() }
    }

    /// Returns the fault with one more conflicting field.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, UnlocatedFault};
    ///
    /// let fault = UnlocatedFault::new(FieldPath::from_keys(&["a"]), "is above b");
    /// assert_eq!(fault.with_conflict(FieldPath::from_keys(&["b"])).conflicts.len(), 1);
    /// ```
    pub fn with_conflict(mut self, other: FieldPath) -> Self {
        self.conflicts.push(other);
        self
    }

    /// Returns whether the faulty field or a conflicting one is at or below one of `paths`.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, UnlocatedFault};
    ///
    /// let fault = UnlocatedFault::new(FieldPath::from_keys(&["a", "b"]), "is zero");
    /// assert!(fault.involves_any(&[FieldPath::from_keys(&["a"])]));
    /// ```
    pub fn involves_any(&self, paths: &[FieldPath]) -> bool {
        paths.iter().any(|path| {
            self.path.is_within(path)
                || self.conflicts.iter().any(|conflict| conflict.is_within(path))
        })
    }
}

/// A fault in a field of a document, with its line and column.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// File name; empty if the document was not read from a file.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub file: String,
    /// Line, from 1; 0 if unknown, as for a file that cannot be read.
    #[serde(skip_serializing_if = "is_zero")]
    pub line: usize,
    /// Column in characters, from 1; 0 if unknown, as for a file that cannot be read.
    #[serde(skip_serializing_if = "is_zero")]
    pub column: usize,
    /// Path of the field, for instance `seeds[0]`; empty for the whole document.
    pub field: String,
    /// Description of the problem, phrased as a predicate of the field, for instance "is zero".
    pub problem: String,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if self.line > 0 {
            write!(f, "{}:{}:", self.line, self.column)?;
        }
        if !self.file.is_empty() {
            f.write_str(" ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.problem)
    }
}

/// All faults found in a document, sorted by line and column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}
