//! Decisions of a router as plain state: events and a clock reading go in, decisions come out.
//!
//! Nothing here reads a clock, a socket or a file, so that every decision can be replayed in a test.
#![warn(clippy::disallowed_methods)]

pub mod clock;
pub mod configuration;
pub mod deadline;
pub mod fleet;
pub mod membership;
pub mod placement;
pub mod retry;
pub mod stop;
pub mod times;
pub mod upstream;
pub mod verdict;
