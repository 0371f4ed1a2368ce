//! What a router believes about configuration, upstreams and other routers, and how it learns it.

mod cache;
mod fallback;
mod follow;
mod learn;
mod register;

pub use self::cache::{News, StoreCache};
pub use self::fallback::PeerFallback;
pub use self::follow::Follower;
pub use self::learn::{Learner, Source};
pub use self::register::Registrar;
