//! What can go wrong with the platform's store and what it holds.

use std::fmt;

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// No connection could be opened.
    Connect(std::io::ErrorKind),
    /// The connection broke, or what arrived was no answer.
    Broken,
    /// No answer came in time.
    Timeout,
    /// The store answered with this status, which is none of those that the call expects.
    Status(u16),
    /// The answer was not understood.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Connect(kind) => write!(f, "cannot connect: {kind}"),
            StoreError::Broken => f.write_str("the connection broke"),
            StoreError::Timeout => f.write_str("no answer in time"),
            StoreError::Status(status) => write!(f, "status {status}"),
            StoreError::Malformed(problem) => write!(f, "answer not understood: {problem}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Why a value in the store could not be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Field at fault, where known.
    pub field: String,
    /// What is wrong.
    pub problem: String,
}

/// Longest description of a problem: it may quote what somebody else wrote.
const PROBLEM_CHARS_MAX: usize = 160;

impl DecodeError {
    /// Makes an error; a long description is cut.
    ///
    /// ```
    /// use teaselworks::platform::DecodeError;
    ///
    /// let error = DecodeError::new("slots", "is no number");
    /// assert_eq!(error.to_string(), "slots: is no number");
    /// ```
    pub fn new(field: impl Into<String>, problem: impl fmt::Display) -> Self {
        let problem = problem.to_string().chars().take(PROBLEM_CHARS_MAX).collect();
        Self { field: field.into(), problem }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for DecodeError {}
