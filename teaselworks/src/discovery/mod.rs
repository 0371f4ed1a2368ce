//! What a router believes about configuration, upstreams and other routers, and how it learns it.

mod cache;
mod fallback;
mod registrar;
mod updater;
mod watcher;

pub use self::cache::{StoreCache, StoreUpdate};
pub use self::fallback::PeerFallback;
pub use self::registrar::Registrar;
pub use self::updater::{Source, StateUpdater};
pub use self::watcher::StoreWatcher;
