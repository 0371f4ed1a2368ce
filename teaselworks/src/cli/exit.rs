//! Exit codes of the command line.

use std::process;

/// Exit code of a command, for scripts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Ok = 0,
    /// The command failed for a reason that has no exit code of its own.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings file is invalid; nothing was started.
    InvalidSettings = 3,
}

impl ExitCode {
    /// All exit codes in numerical order.
    pub const ALL: [ExitCode; 4] =
        [ExitCode::Ok, ExitCode::Failure, ExitCode::Usage, ExitCode::InvalidSettings];

    /// Returns the meaning of the exit code, as shown in the help and the manual.
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
            ExitCode::InvalidSettings => "settings refused; nothing was started",
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(code as u8)
    }
}
