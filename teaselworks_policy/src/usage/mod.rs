//! Counting of use: every attempt that ran is charged once to its workspace.

mod batch;
mod copies;
mod course;
mod cut;
mod fleet;
mod journal;
mod ledger;
mod merge;
mod message;
mod names;
mod open;
mod pace;
mod pack;
mod period;
mod progress;
mod record;
mod shard;
mod tally;
mod witness;

pub use batch::{AttemptKey, Batch, Charge, Portion, Source};
pub use copies::{Copies, LOST_SILENCE, Takeover};
pub use fleet::Fleet;
pub use journal::{BATCH_RETENTION, Journal};
pub use ledger::Ledger;
pub use merge::{MarkAnswer, Merge, Reading, SlotStep, SlotWrite, WriteOutcome};
pub use message::{
    Answer, Call, ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, OfferAnswer, OfferRequest,
    Request,
};
pub use names::NewNames;
pub use pace::{PROGRESS_INTERVAL, contact_interval, write_interval};
pub use pack::PackedBatch;
pub use period::Period;
pub use record::{KeyHash, UsageRecord, UseKey, UseOutcome, UseRow, UseSum};
pub use shard::{SHARDS, Slot};
pub use tally::{Mark, Tally};
pub use witness::{Sighting, Witness};
