//! What the command line and the operators' port say to each other about the configuration.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselworks_config::configuration::history::PatchRecord;
use teaselworks_config::fault::Fault;

/// Body of `POST /v1/configuration/patches`.
#[derive(Debug, Serialize)]
pub(super) struct PatchSubmission {
    /// Identifier, the same in each resubmission.
    pub(super) id: String,
    /// Version that the patch was made for.
    pub(super) expect: u64,
    /// Who submits it.
    pub(super) author: String,
    /// Why.
    pub(super) reason: String,
    /// JSON merge patch.
    pub(super) patch: Value,
}

/// Body of `POST /v1/configuration/republish`.
#[derive(Debug, Serialize)]
pub(super) struct Republication {
    /// Identifier, the same in each resubmission.
    pub(super) id: String,
    /// Version in force at the router.
    pub(super) expect: u64,
    /// Who submits it.
    pub(super) author: String,
    /// Why.
    pub(super) reason: String,
}

/// Version of a router in the answer of `GET /v1/configuration/status`.
#[derive(Debug, Deserialize)]
pub(super) struct RouterVersion {
    /// Name of the router.
    pub(super) name: String,
    /// Number in force there; `None`: no answer.
    pub(super) version: Option<u64>,
}

/// Answer of `GET /v1/configuration/status`.
#[derive(Debug, Deserialize)]
pub(super) struct FleetVersions {
    /// Every live router.
    pub(super) routers: Vec<RouterVersion>,
}

/// Answer to an accepted patch.
#[derive(Debug, Deserialize)]
pub(super) struct PatchAccepted {
    /// Number of the configuration that the patch made.
    pub(super) version: u64,
}

/// Body of every error answer.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorAnswer {
    /// What went wrong.
    pub(super) error: ErrorBody,
}

/// What went wrong.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorBody {
    /// Reason as one word.
    pub(super) reason: String,
    /// Sentence for a reader.
    #[serde(default, alias = "message")]
    pub(super) detail: Option<String>,
    /// Version in force, where the patch is stale.
    #[serde(default)]
    pub(super) current: Option<u64>,
    /// Patches accepted since the expected version, newest first, where the patch is stale.
    #[serde(default)]
    pub(super) changed: Vec<PatchRecord>,
    /// Faults of an invalid patch.
    #[serde(default)]
    pub(super) faults: Vec<Fault>,
}
