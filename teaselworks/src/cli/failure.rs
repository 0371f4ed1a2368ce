//! Why a command failed.

use std::{fmt, io};

use serde_json::{Value, json};
use teaselworks_config::configuration::history::PatchRecord;
use teaselworks_config::fault::Faults;

use super::exit::ExitCode;
use super::print::time;

/// Why a command failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// Settings, a configuration or a patch have faults.
    Faults(Faults),
    /// The router refused a submission, or the operator did not confirm it; nothing was changed.
    Refused {
        /// Reason that the router gave, as one word.
        reason: String,
        /// Sentence about it; may be empty.
        detail: String,
    },
    /// The patch was made for another version.
    Stale {
        /// Version the patch was made for.
        expected: u64,
        /// Version in force.
        current: u64,
        /// Patches accepted between the two, newest first, as far as the router told.
        changed: Vec<PatchRecord>,
    },
    /// It is not known whether the patch was accepted.
    UnknownOutcome {
        /// What happened to the submission.
        cause: String,
        /// Command that settles it.
        resubmit: String,
    },
    /// The operators' port could not be reached.
    Unreachable {
        /// URL of the operators' port.
        url: String,
        /// What happened.
        cause: String,
    },
    /// The router answered with an error, or not as it should.
    Answer {
        /// What is wrong.
        problem: String,
    },
    /// The router could not start.
    Start(String),
    /// A file could not be read.
    Input {
        /// Name of the file.
        file: String,
        /// What happened.
        error: io::Error,
    },
    /// Output could not be written, or the process has too few resources.
    Output(io::Error),
}

impl Failure {
    /// Returns the exit code of the process.
    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            Failure::Faults(_) | Failure::Refused { .. } => ExitCode::Refused,
            Failure::Stale { .. } => ExitCode::Stale,
            Failure::UnknownOutcome { .. } => ExitCode::UnknownOutcome,
            Failure::Unreachable { .. } => ExitCode::Unreachable,
            Failure::Answer { .. }
            | Failure::Input { .. }
            | Failure::Start(_)
            | Failure::Output(_) => ExitCode::Failure,
        }
    }
}

impl Failure {
    /// Returns the failure for scripts, in the shape of the operators' port.
    pub(super) fn to_json(&self) -> Value {
        let text = self.to_string();
        let error = match self {
            Failure::Faults(faults) => json!({ "reason": "invalid", "faults": faults.0 }),
            Failure::Refused { reason, detail } => json!({ "reason": reason, "detail": detail }),
            Failure::Stale { current, changed, .. } => {
                json!({ "reason": "stale", "current": current, "changed": changed })
            }
            Failure::UnknownOutcome { resubmit, .. } => {
                json!({ "reason": "unknown_outcome", "detail": text, "resubmit": resubmit })
            }
            Failure::Unreachable { .. } => json!({ "reason": "unreachable", "detail": text }),
            Failure::Answer { .. }
            | Failure::Input { .. }
            | Failure::Start(_)
            | Failure::Output(_) => {
                json!({ "reason": "failure", "detail": text })
            }
        };
        json!({ "error": error })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Faults(faults) => faults.fmt(f),
            Failure::Refused { reason, detail } => {
                write!(f, "The submission was refused: {reason}. Nothing was changed. {detail}")
            }
            Failure::Stale { expected, current, changed } => {
                write!(
                    f,
                    "The submission was made for version {expected}, but {current} is in force."
                )?;
                f.write_str(" Nothing was changed.")?;
                if !changed.is_empty() {
                    write!(f, "\nAccepted since version {expected}, latest first:")?;
                }
                for record in changed {
                    let PatchRecord { version, author, reason, patch, .. } = record;
                    write!(
                        f,
                        "\n{version} by {author} at {}: {reason}\n  {patch}",
                        time(record.at_ms)
                    )?;
                }
                Ok(())
            }
            Failure::UnknownOutcome { cause, resubmit } => {
                writeln!(f, "Whether the submission was accepted is unknown: {cause}.")?;
                write!(f, "This settles it, and never applies it twice:\n  {resubmit}")
            }
            Failure::Unreachable { url, cause } => {
                write!(f, "{url} could not be reached: {cause}.")
            }
            Failure::Answer { problem } => f.write_str(problem),
            Failure::Input { file, error } => write!(f, "{file}: cannot be read: {error}"),
            Failure::Start(cause) => write!(f, "The router could not start: {cause}."),
            Failure::Output(error) => error.fmt(f),
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
        Failure::Faults(faults)
    }
}
