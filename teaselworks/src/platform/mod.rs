//! The platform's key-value service, reached through its published etcd v3 JSON gateway.

mod client;
mod error;
mod limiter;
mod message;
mod transaction;
mod transport;
mod watch;

pub use client::{Lease, Platform};
pub use error::{NotSent, PlatformError};
pub use teaselworks_policy::platform::budget::CallPurpose;
pub use transaction::{
    Compare, Entry, Operation, OperationResult, Transaction, TransactionOutcome,
};
pub use watch::{Change, Watch, WatchBatch, WatchEnd};

use crate::kernel::ServiceName;

/// Name of the platform client among the services.
pub const PLATFORM: ServiceName<Platform> = ServiceName::new("platform");
