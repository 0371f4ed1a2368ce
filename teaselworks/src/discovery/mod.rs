//! Keeps the router's view of the configuration, the upstreams and the other routers up to date
//! with the platform's store, registers this router there, and writes which parts of prompts are blocked,
//! under which requests replicas ended, and where streams can have begun.

mod blocked_parts;
mod cache;
mod ended_requests;
mod fallback;
mod recorded_origins;
mod registrar;
mod updater;
mod watcher;

pub use self::blocked_parts::BlockedPartWriter;
pub use self::cache::{StoreCache, StoreUpdate};
pub use self::ended_requests::EndedRequestWriter;
pub use self::fallback::PeerFallback;
pub use self::recorded_origins::OriginRecordWriter;
pub use self::registrar::Registrar;
pub use self::updater::{Source, StateUpdater};
pub use self::watcher::StoreWatcher;
