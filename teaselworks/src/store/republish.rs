//! Publishes the configuration in force again when the platform holds an older or another one.

use serde::{Deserialize, Serialize};
use serde_json::json;
use teaselworks_policy::store::version::{Relation, Version, relation};

use super::Store;
use super::commit::{Commit, encode, put};
use super::load::{LoadError, SeenHead};
use super::record::{StoredPatch, SubmissionRecord, patch_key, submission_key};
use super::refusal::{PatchError, invalid};
use super::request::{PatchRequest, submission_digest};
use super::submit::Turn;

/// Newest patches put back with their records; a transaction of the platform holds 128 steps.
const PATCHES_PUT_BACK: usize = 48;
const BEHIND: &str = "behind";
const DIVERGED: &str = "diverged";

/// An operator's order to publish what is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepublishRequest {
    /// Identifier chosen by the submitter, the same in each resubmission.
    pub id: String,
    /// Number in force at the router that the submitter looked at.
    pub expect: u64,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// What publishing again would do, for an operator to look at first.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RepublishPlan {
    /// Number in force at this router, which would be published.
    pub in_force: u64,
    /// Number that the platform holds.
    pub platform: u64,
    /// How the platform stands to this router: `same`, `newer`, `behind` or `diverged`; publishing
    /// is possible where it is behind or diverged.
    pub platform_is: String,
    /// Number under which it would be published.
    pub becomes: u64,
    /// Patches that the platform lost and that would be put back into its history.
    pub patches_put_back: usize,
}

impl RepublishPlan {
    /// Tells whether the router would publish.
    ///
    /// ```
    /// use teaselworks::store::RepublishPlan;
    ///
    /// let plan = RepublishPlan {
    ///     in_force: 10,
    ///     platform: 8,
    ///     platform_is: "behind".into(),
    ///     becomes: 11,
    ///     patches_put_back: 2,
    /// };
    /// assert!(plan.is_possible());
    /// ```
    pub fn is_possible(&self) -> bool {
        [BEHIND, DIVERGED].contains(&self.platform_is.as_str())
    }
}

impl Store {
    /// Reads the platform and returns what publishing again would do; fails when it does not
    /// answer.
    pub async fn republish_plan(&self) -> Result<RepublishPlan, LoadError> {
        let seen = self.read_head().await?;
        let held = self.held.version();
        let platform_is = match relation(&held, &seen.head.version()) {
            Relation::Same => "same",
            Relation::Newer => "newer",
            Relation::Older => BEHIND,
            Relation::Diverged => DIVERGED,
        };
        let lost = self.held.kept_after(seen.head.version).len();
        Ok(RepublishPlan {
            in_force: held.number,
            platform: seen.head.version,
            platform_is: platform_is.into(),
            becomes: held.number + 1,
            patches_put_back: lost.min(PATCHES_PUT_BACK),
        })
    }

    /// Publishes the configuration in force here under the next number; returns that number.
    ///
    /// After a backup was restored the platform holds an older number than the fleet, and every
    /// patch is refused. The fleet's configuration was accepted later, so it is the one to keep: it
    /// becomes a version of its own, as a patch that changes nothing, together with a snapshot and
    /// those patches that the platform lost and this router still has.
    pub async fn republish(&self, request: &RepublishRequest) -> Result<u64, PatchError> {
        let request = PatchRequest {
            id: request.id.clone(),
            expect: request.expect,
            author: request.author.clone(),
            reason: request.reason.clone(),
            patch: json!({}).into(),
        };
        self.submit_as(&request, Turn::Republish).await
    }

    /// Prepares the transaction that publishes what is in force.
    pub(super) async fn republication(
        &self,
        request: &PatchRequest,
        held: &Version,
        seen: &SeenHead,
    ) -> Result<Commit, PatchError> {
        if !matches!(relation(held, &seen.head.version()), Relation::Older | Relation::Diverged) {
            return Err(invalid("id", "is not needed: the platform is not behind"));
        }
        let (version, numbered) = self.held.both();
        let snapshot = self.write_chunks(&version, &numbered).await;
        let snapshot =
            snapshot.map_err(|error| PatchError::PlatformUnavailable(error.to_string()))?;
        let mut seen = seen.clone();
        seen.head.snapshot = Some(snapshot);
        let mut commit = self.commit(request, &version, &seen);
        let lost = self.held.kept_after(seen.head.version);
        for raw in lost.iter().rev().take(PATCHES_PUT_BACK) {
            let Ok(stored) = serde_json::from_slice::<StoredPatch>(raw) else { continue };
            let record = stored.record;
            let submission =
                SubmissionRecord { version: record.version, digest: submission_digest(&record) };
            let steps = &mut commit.transaction.success;
            steps.push(put(patch_key(record.version), raw.to_vec()));
            steps.push(put(submission_key(&record.id), encode(&submission)));
        }
        Ok(commit)
    }
}
