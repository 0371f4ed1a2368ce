//! The lease that removes old records, shared by all records of a while.

use std::time::Duration;

use teaselworks_policy::once::window::RecordWindow;

use super::Once;
use crate::platform::{CallPurpose, PlatformError};

/// A granted lease and until when it takes records.
#[derive(Clone, Copy, Debug)]
pub(super) struct BoundLease {
    pub id: i64,
    pub window: RecordWindow,
}

impl Once {
    /// Returns a lease that keeps a new record for at least `retention`.
    ///
    /// One lease serves all records of an eighth of the retention, so that a booking costs two
    /// platform calls and not three.
    pub(super) async fn lease(&self, retention: Duration) -> Result<BoundLease, PlatformError> {
        let mut current = self.lease.lock().await;
        if let Some(lease) = *current
            && lease.window.retention == retention
            && lease.window.takes_records(&self.reading())
        {
            return Ok(lease);
        }
        let window = RecordWindow { asked_at: self.reading(), retention };
        let granted = self.platform.grant_lease(CallPurpose::Once, window.ttl()).await?;
        // The platform may shorten a lease; records bound to it would go before their time.
        if granted.ttl < Duration::from_secs(window.ttl().as_secs()) {
            return Err(PlatformError::Refused {
                status: 200,
                message: format!("a lease of {} s is too short", granted.ttl.as_secs()),
            });
        }
        let lease = BoundLease { id: granted.id, window };
        *current = Some(lease);
        Ok(lease)
    }

    /// Forgets a lease that the platform no longer knows.
    pub(super) async fn forget_lease(&self, id: i64) {
        let mut current = self.lease.lock().await;
        if current.is_some_and(|lease| lease.id == id) {
            *current = None;
        }
    }
}
