//! Errors of calls to the platform's store, and of decoding the values that it stores.

use std::fmt;

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// No connection could be opened.
    Connect(std::io::ErrorKind),
    /// The connection failed, or the store sent something other than an HTTP response.
    Broken,
    /// No response, or no further part of one, arrived before the timeout.
    Timeout,
    /// The body of a response is larger than any that the store sends.
    TooLarge,
    /// The store responded with this HTTP status, which the call does not expect.
    Status(u16),
    /// The request could not be built or the response could not be decoded.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Connect(kind) => write!(f, "cannot connect to the store: {kind}"),
            StoreError::Broken => f.write_str("store connection failed or response is not HTTP"),
            StoreError::Timeout => f.write_str("no complete response from the store in time"),
            StoreError::TooLarge => f.write_str("response from the store exceeds the size limit"),
            StoreError::Status(status) => write!(f, "store sent unexpected HTTP status {status}"),
            StoreError::Malformed(problem) => write!(f, "malformed request or response: {problem}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Why a value in the store could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Path of the invalid field, where known.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// Maximum length of [`DecodeError::problem`], which may quote a value that another program wrote.
const MAX_PROBLEM_CHARS: usize = 160;

impl DecodeError {
    /// Creates an error for `field`; a long `problem` is truncated.
    ///
    /// ```
    /// use teaselworks::platform::DecodeError;
    ///
    /// let error = DecodeError::new("slots", "is not a number");
    /// assert_eq!(error.to_string(), "slots: is not a number");
    /// ```
    pub fn new(field: impl Into<String>, problem: impl fmt::Display) -> Self {
        let problem = problem.to_string().chars().take(MAX_PROBLEM_CHARS).collect();
        Self { field: field.into(), problem }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for DecodeError {}
