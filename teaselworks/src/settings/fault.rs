//! Faults of settings: where each stands and what is wrong.

use std::fmt;

use serde::Serialize;

/// Faults after which a search ends: more are not read at once.
pub const FAULTS_MAX: usize = 64;

/// One step from a JSON value to a value inside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Member of an object.
    Key(String),
    /// Element of an array, from 0.
    Index(usize),
}

/// Way from the root of a JSON document to a value in it; may lead to a member that is absent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FieldPath {
    /// Steps from the root on.
    pub steps: Vec<Step>,
}

impl FieldPath {
    /// Makes a path of object members.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// assert_eq!(FieldPath::of(&["listen", "callers"]).to_string(), "listen.callers");
    /// ```
    pub fn of(keys: &[&str]) -> Self {
        Self { steps: keys.iter().map(|key| Step::Key((*key).into())).collect() }
    }

    /// Returns the path with a member appended.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// assert_eq!(FieldPath::default().key("log").key("level").to_string(), "log.level");
    /// ```
    pub fn key(&self, key: &str) -> Self {
        let mut steps = self.steps.clone();
        steps.push(Step::Key(key.into()));
        Self { steps }
    }

    /// Returns the path with an array element appended.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// assert_eq!(FieldPath::of(&["seeds"]).index(2).to_string(), "seeds[2]");
    /// ```
    pub fn index(&self, index: usize) -> Self {
        let mut steps = self.steps.clone();
        steps.push(Step::Index(index));
        Self { steps }
    }

    /// Tells whether `self` is `other` or leads through it.
    ///
    /// ```
    /// use teaselworks::settings::FieldPath;
    ///
    /// let secret = FieldPath::of(&["listen", "callers"]);
    /// assert!(secret.is_within(&FieldPath::of(&["listen"])));
    /// ```
    pub fn is_within(&self, other: &FieldPath) -> bool {
        self.steps.starts_with(&other.steps)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.steps.iter().enumerate() {
            match step {
                Step::Key(key) if position == 0 => f.write_str(key)?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// A fault known by the path of its field, not yet by its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Field at fault.
    pub path: FieldPath,
    /// Other fields that the fault rests on.
    pub others: Vec<FieldPath>,
    /// What is wrong, as the rest of a sentence about the field.
    pub problem: String,
}

impl Finding {
    /// Makes a finding about one field.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, Finding};
    ///
    /// let finding = Finding::new(FieldPath::of(&["seeds"]), "is empty");
    /// assert!(finding.others.is_empty());
    /// ```
    pub fn new(path: FieldPath, problem: impl Into<String>) -> Self {
        Self { path, others: Vec::new(), problem: problem.into() }
    }

    /// Returns the finding with one more field that it rests on.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, Finding};
    ///
    /// let finding = Finding::new(FieldPath::of(&["a"]), "is above b");
    /// assert_eq!(finding.with(FieldPath::of(&["b"])).others.len(), 1);
    /// ```
    pub fn with(mut self, other: FieldPath) -> Self {
        self.others.push(other);
        self
    }

    /// Tells whether the finding rests on a value at or below one of `paths`.
    ///
    /// ```
    /// use teaselworks::settings::{FieldPath, Finding};
    ///
    /// let finding = Finding::new(FieldPath::of(&["a", "b"]), "is zero");
    /// assert!(finding.rests_on(&[FieldPath::of(&["a"])]));
    /// ```
    pub fn rests_on(&self, paths: &[FieldPath]) -> bool {
        paths.iter().any(|path| {
            self.path.is_within(path) || self.others.iter().any(|other| other.is_within(path))
        })
    }
}

/// What is wrong with one field of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// File name; empty where the document came from no file.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub file: String,
    /// Line from 1; 0 where the document came from no file.
    #[serde(skip_serializing_if = "is_zero")]
    pub line: usize,
    /// Column in characters from 1; 0 where the document came from no file.
    #[serde(skip_serializing_if = "is_zero")]
    pub column: usize,
    /// Field, as in `seeds[0]`; empty for the whole document.
    pub field: String,
    /// What is wrong, as the rest of a sentence about the field.
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

/// All faults found in a document, in the order of its lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            if position > 0 {
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
