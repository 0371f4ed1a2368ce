//! Routing decisions without input or output: plain state that takes events and clock readings and
//! returns decisions.
//!
//! Only [`clock::SystemClock`] reads a clock, and nothing reads a socket or a file, so that tests
//! can replay every decision.
#![warn(clippy::disallowed_methods)]

pub mod clock;
pub mod configuration;
pub mod crash;
pub mod deadline;
pub mod demand;
pub mod durations;
pub mod fleet;
pub mod membership;
pub mod origin_memory;
pub mod placement;
pub mod retry;
pub mod shares;
pub mod stop;
pub mod stream_origin;
pub mod upstream;
pub mod verdict;
