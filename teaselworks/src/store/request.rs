//! What an operator submits, and the digest that tells it from another submission.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselworks_config::configuration::history::{PATCH_SIZE_MAX_BYTES, PatchRecord};

use super::record::digest;
use super::refusal::{PatchError, invalid};

/// Longest identifier of a patch, in characters.
const LONGEST_ID: usize = 64;

/// A patch that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchRequest {
    /// Identifier chosen by the submitter, the same in each resubmission: 1 to 64 letters, digits,
    /// dots, dashes and underscores.
    pub id: String,
    /// Number that the patch was made against.
    pub expect: u64,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// JSON merge patch (RFC 7396), shared with the record that is made of it.
    pub patch: Arc<Value>,
}

/// Returns the digest of the submission that led to a record.
pub(super) fn submission_digest(record: &PatchRecord) -> String {
    let PatchRecord { version, id, author, reason, patch, .. } = record;
    parts_digest(id, version.saturating_sub(1), author, reason, patch)
}

fn parts_digest(id: &str, expect: u64, author: &str, reason: &str, patch: &Value) -> String {
    let (expect, patch) = (expect.to_le_bytes(), patch.to_string());
    digest(&[id.as_bytes(), &expect, author.as_bytes(), reason.as_bytes(), patch.as_bytes()])
}

impl PatchRequest {
    /// Digests everything that must be the same in a resubmission.
    pub(super) fn digest(&self) -> String {
        let Self { id, expect, author, reason, patch } = self;
        parts_digest(id, *expect, author, reason, patch)
    }

    /// Fails when it has an identifier or a size that no submission may have.
    pub(super) fn check(&self) -> Result<(), PatchError> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        if self.id.is_empty() || self.id.len() > LONGEST_ID || !self.id.bytes().all(allowed) {
            return Err(invalid("id", "is not 1 to 64 letters, digits, dots, dashes, underscores"));
        }
        let size_bytes = self.patch.to_string().len() + self.author.len() + self.reason.len();
        if size_bytes > PATCH_SIZE_MAX_BYTES {
            return Err(invalid("patch", "is larger than 512 KiB; split it"));
        }
        Ok(())
    }
}
