//! What a router believes about configuration, upstreams and other routers, and how it learns it.

mod bridge;
mod follow;
mod held;
mod learn;
mod register;

pub use self::bridge::Bridge;
pub use self::follow::Follower;
pub use self::held::{Held, News};
pub use self::learn::{Learner, Source};
pub use self::register::Registrar;
