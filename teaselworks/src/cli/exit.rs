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
    /// Settings were refused; nothing was started.
    Refused = 3,
}

impl ExitCode {
    /// Every exit code, in the order of numbers.
    pub const ALL: [ExitCode; 4] =
        [ExitCode::Ok, ExitCode::Failure, ExitCode::Usage, ExitCode::Refused];

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
            ExitCode::Refused => "settings refused; nothing was started",
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(code as u8)
    }
}
