//! Exit codes of the command line.

use std::process;

/// How a command ended, for scripts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// Done.
    Ok = 0,
    /// Failed for a reason without a code of its own.
    Failure = 1,
    /// The command line could not be understood.
    Usage = 2,
    /// Settings, configuration or patch were refused; nothing was changed.
    Refused = 3,
    /// The patch was made for another version than the one in force; nothing was changed.
    Stale = 4,
    /// Whether the patch was accepted is unknown; it may be resubmitted under its id.
    UnknownOutcome = 5,
    /// The operators' port could not be reached; nothing was changed.
    Unreachable = 6,
}

impl ExitCode {
    /// Every exit code, in the order of numbers.
    pub const ALL: [ExitCode; 7] = [
        ExitCode::Ok,
        ExitCode::Failure,
        ExitCode::Usage,
        ExitCode::Refused,
        ExitCode::Stale,
        ExitCode::UnknownOutcome,
        ExitCode::Unreachable,
    ];

    /// Returns the code's meaning for the manual.
    ///
    /// ```
    /// use teaselworks::cli::ExitCode;
    ///
    /// assert_eq!(ExitCode::Ok.meaning(), "done");
    /// ```
    pub fn meaning(self) -> &'static str {
        match self {
            ExitCode::Ok => "done",
            ExitCode::Failure => "failed for a reason without a code of its own",
            ExitCode::Usage => "the command line could not be understood",
            ExitCode::Refused => "settings, configuration or patch refused; nothing was changed",
            ExitCode::Stale => "the patch was made for another version; nothing was changed",
            ExitCode::UnknownOutcome => {
                "whether the patch was accepted is unknown; resubmit it under its id"
            }
            ExitCode::Unreachable => {
                "the operators' port could not be reached; nothing was changed"
            }
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(code as u8)
    }
}
