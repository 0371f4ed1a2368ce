//! One request's attempts: what is known about each, and how their answers become one.

pub mod assembly;
pub mod event;
pub mod pace;
pub mod progress;

pub use assembly::Assembly;
pub use event::{Dropped, Event, Fault, NextAttempt, RequestTraits, Step};
pub use pace::Pace;
pub use progress::Progress;
