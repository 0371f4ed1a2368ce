//! Why a command failed.

use std::fmt;
use std::io;

use super::ExitCode;
use crate::daemon::StartError;
#[cfg(feature = "experiment")]
use crate::experiment::ExperimentError;
use crate::settings::Faults;

/// Why a command failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// The output could not be written.
    Output(io::Error),
    /// The settings are faulty.
    Settings(Faults),
    /// The router could not start.
    Start(StartError),
    /// The experiment could not be made.
    #[cfg(feature = "experiment")]
    Experiment(ExperimentError),
    /// There is no manual page of this name.
    NoPage(String),
}

impl Failure {
    /// Returns the exit code.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            Failure::Settings(_) => ExitCode::Refused,
            Failure::NoPage(_) => ExitCode::Usage,
            Failure::Output(_) | Failure::Start(_) => ExitCode::Failure,
            #[cfg(feature = "experiment")]
            Failure::Experiment(_) => ExitCode::Failure,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Output(error) => write!(f, "cannot write: {error}"),
            Failure::Settings(faults) => write!(f, "{faults}"),
            Failure::Start(error) => write!(f, "{error}"),
            #[cfg(feature = "experiment")]
            Failure::Experiment(error) => write!(f, "{error}"),
            Failure::NoPage(page) => write!(f, "there is no page {page}"),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Output(error)
    }
}

impl From<Faults> for Failure {
    fn from(faults: Faults) -> Self {
        Failure::Settings(faults)
    }
}

#[cfg(feature = "experiment")]
impl From<ExperimentError> for Failure {
    fn from(error: ExperimentError) -> Self {
        Failure::Experiment(error)
    }
}

impl From<StartError> for Failure {
    fn from(error: StartError) -> Self {
        Failure::Start(error)
    }
}
