//! Client of a router's operators' port.

use reqwest::{RequestBuilder, StatusCode};
use serde::Serialize;
use serde_json::Value;
use tokio::runtime::Runtime;

use super::arguments::Client;
use super::failure::Failure;
use super::message::{ErrorAnswer, ErrorBody, PatchAccepted, PatchSubmission, Republication};

/// Why a router's answer says that a patch was not accepted as it was.
const STALE: &str = "stale";
/// Reason of a patch whose outcome the router itself could not learn.
const UNKNOWN_OUTCOME: &str = "unknown_outcome";

/// A router's operators' port.
#[derive(Debug)]
pub(super) struct Operator {
    url: String,
    http: reqwest::Client,
    runtime: Runtime,
}

/// How the submission of a patch ended.
#[derive(Debug)]
pub(super) enum Submitted {
    /// Accepted as this version.
    Accepted(u64),
    /// Refused; nothing was changed.
    Refused(Failure),
    /// Accepted or not, nobody could tell.
    Unknown(String),
}

impl Operator {
    /// Makes a client; requests run on `runtime`.
    pub(super) fn new(client: &Client, runtime: Runtime) -> Result<Self, Failure> {
        // A proxy named in the environment cannot reach the operators' port of a VM.
        let http = reqwest::Client::builder().no_proxy().timeout(client.timeout).build();
        let http = http.map_err(|error| Failure::Answer { problem: error.to_string() })?;
        Ok(Self { url: client.url.clone(), http, runtime })
    }

    /// Gets a JSON document.
    ///
    /// Fails if the port cannot be reached or answers with an error.
    pub(super) fn get(&self, path: &str) -> Result<Value, Failure> {
        let (status, body) =
            self.exchange(self.http.get(format!("{}{path}", self.url))).map_err(|error| {
                Failure::Unreachable { url: self.url.clone(), cause: root_cause(&error) }
            })?;
        if status != StatusCode::OK {
            let reason = error_body(&body).map_or_else(String::new, |error| error.reason);
            let problem = format!("{}{path} answered {status} {reason}", self.url);
            return Err(Failure::Answer { problem: problem.trim_end().into() });
        }
        serde_json::from_slice(&body).map_err(|error| Failure::Answer {
            problem: format!("{}{path} answered with what is not JSON: {error}", self.url),
        })
    }

    /// Submits a patch.
    ///
    /// Once the request may have left, any broken exchange is an unknown outcome: the router may
    /// have committed the patch before its answer was lost. Called a failure, it would be
    /// submitted again under another id and applied twice.
    pub(super) fn submit(&self, submission: &PatchSubmission) -> Submitted {
        self.post("/v1/configuration/patches", submission, submission.expect)
    }

    /// Submits that the configuration in force be published again; outcomes as of `submit`.
    pub(super) fn republish(&self, submission: &Republication) -> Submitted {
        self.post("/v1/configuration/republish", submission, submission.expect)
    }

    fn post(&self, path: &str, submission: &impl Serialize, expect: u64) -> Submitted {
        let request = self.http.post(format!("{}{path}", self.url));
        let (status, body) = match self.exchange(request.json(submission)) {
            Ok(answer) => answer,
            Err(error) if error.is_connect() || error.is_builder() => {
                let cause = root_cause(&error);
                return Submitted::Refused(Failure::Unreachable { url: self.url.clone(), cause });
            }
            Err(error) => return Submitted::Unknown(root_cause(&error)),
        };
        if status == StatusCode::OK {
            return match serde_json::from_slice::<PatchAccepted>(&body) {
                Ok(accepted) => Submitted::Accepted(accepted.version),
                Err(error) => Submitted::Unknown(format!("the answer is malformed: {error}")),
            };
        }
        match error_body(&body) {
            Some(error) if error.reason == UNKNOWN_OUTCOME => {
                Submitted::Unknown("the router could not learn it from the platform".into())
            }
            Some(error) => Submitted::Refused(refusal(error, expect)),
            None if status.is_client_error() => Submitted::Refused(Failure::Answer {
                problem: format!("{} takes no patches: it answered {status}", self.url),
            }),
            None => Submitted::Unknown(format!("{} answered {status}", self.url)),
        }
    }

    fn exchange(&self, request: RequestBuilder) -> Result<(StatusCode, Vec<u8>), reqwest::Error> {
        self.runtime.block_on(async {
            let response = request.send().await?;
            let status = response.status();
            Ok((status, response.bytes().await?.to_vec()))
        })
    }
}

fn error_body(body: &[u8]) -> Option<ErrorBody> {
    serde_json::from_slice::<ErrorAnswer>(body).ok().map(|answer| answer.error)
}

fn refusal(error: ErrorBody, expected: u64) -> Failure {
    if error.reason == STALE {
        let current = error.current.unwrap_or_default();
        return Failure::Stale { expected, current, changed: error.changed };
    }
    if !error.faults.is_empty() {
        return Failure::Faults(teaselworks_config::fault::Faults(error.faults));
    }
    Failure::Refused { reason: error.reason, detail: error.detail.unwrap_or_default() }
}

/// Returns the innermost cause: the outer ones repeat the URL.
fn root_cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".into();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
