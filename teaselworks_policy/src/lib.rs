//! Routing decisions as state machines: events, a clock reading and seeded random numbers go in,
//! decisions come out; no sockets, threads or system clock.

#![warn(clippy::disallowed_methods)]

pub mod admission;
pub mod attempt;
pub mod budget;
pub mod clock;
pub mod load;
pub mod membership;
pub mod name;
pub mod once;
pub mod orders;
pub mod placement;
pub mod platform;
pub mod retry;
pub mod store;
pub mod usage;
pub mod verdict;
