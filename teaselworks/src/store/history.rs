//! Reads the history of accepted patches from the platform.

use teaselworks_config::configuration::history::PatchRecord;

use super::Store;
use super::load::LoadError;
use super::record::{StoredPatch, patch_key};
use crate::platform::CallPurpose;

impl Store {
    /// Returns the `limit` newest accepted patches up to number `last`, newest first.
    pub async fn history(&self, limit: u64, last: u64) -> Result<Vec<PatchRecord>, LoadError> {
        if limit == 0 || last == 0 {
            return Ok(Vec::new());
        }
        let first = last.saturating_sub(limit) + 1;
        let (start, end) = (patch_key(first), patch_key(last + 1));
        let range = self.platform.range(CallPurpose::Configuration, &start, &end, 0).await?;
        let mut records = Vec::with_capacity(range.entries.len());
        for entry in range.entries.iter().rev() {
            let stored: StoredPatch = serde_json::from_slice(&entry.value)
                .map_err(|error| LoadError::Unreadable(error.to_string()))?;
            records.push(stored.record);
        }
        Ok(records)
    }
}
