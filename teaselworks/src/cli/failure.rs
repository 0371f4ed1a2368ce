//! Errors of the commands and their exit codes.

use std::fmt;
use std::io;

use super::ExitCode;
use crate::daemon::StartError;
#[cfg(feature = "experiment")]
use crate::experiment::ExperimentError;
use crate::settings::Faults;

/// Error of a command.
#[derive(Debug)]
pub(super) enum CommandError {
    /// Standard output could not be written.
    Output(io::Error),
    /// The settings file is invalid.
    Settings(Faults),
    /// The router could not start.
    Start(StartError),
    /// The experiment failed.
    #[cfg(feature = "experiment")]
    Experiment(ExperimentError),
    /// No manual page has this name.
    UnknownPage(String),
}

impl CommandError {
    /// Returns the exit code for this error.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Settings(_) => ExitCode::InvalidSettings,
            CommandError::UnknownPage(_) => ExitCode::Usage,
            CommandError::Output(_) | CommandError::Start(_) => ExitCode::Failure,
            #[cfg(feature = "experiment")]
            CommandError::Experiment(_) => ExitCode::Failure,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Output(error) => write!(f, "cannot write to standard output: {error}"),
            CommandError::Settings(faults) => write!(f, "{faults}"),
            CommandError::Start(error) => write!(f, "{error}"),
            #[cfg(feature = "experiment")]
            CommandError::Experiment(error) => write!(f, "{error}"),
            CommandError::UnknownPage(page) => write!(f, "there is no manual page `{page}`"),
        }
    }
}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> Self {
        CommandError::Output(error)
    }
}

impl From<Faults> for CommandError {
    fn from(faults: Faults) -> Self {
        CommandError::Settings(faults)
    }
}

#[cfg(feature = "experiment")]
impl From<ExperimentError> for CommandError {
    fn from(error: ExperimentError) -> Self {
        CommandError::Experiment(error)
    }
}

impl From<StartError> for CommandError {
    fn from(error: StartError) -> Self {
        CommandError::Start(error)
    }
}
