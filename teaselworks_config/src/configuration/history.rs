//! What is kept about each accepted patch.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Largest encoded patch; its record has to fit into one value of the platform.
pub const PATCH_SIZE_MAX_BYTES: usize = 512 << 10;

/// An accepted patch: the step from version `version - 1` to `version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchRecord {
    /// Number of the configuration that the patch made.
    pub version: u64,
    /// Identifier chosen by the submitter, the same in each resubmission.
    pub id: String,
    /// Who submitted the patch.
    pub author: String,
    /// Why, in the submitter's words.
    pub reason: String,
    /// When it was accepted, in milliseconds since 1970.
    pub at_ms: u64,
    /// JSON merge patch (RFC 7396); shared, as it may take several times its encoded size.
    pub patch: Arc<Value>,
}
