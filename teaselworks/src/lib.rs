//! The router daemon and its command line.

#![warn(clippy::disallowed_methods)]

pub mod caller;
pub mod cli;
pub mod connection;
pub mod daemon;
pub mod dispatch;
pub mod event;
pub mod exchange;
pub mod kernel;
pub mod limits;
pub mod link;
pub mod membership;
pub mod metrics;
pub mod once;
pub mod operator;
pub mod orders;
pub mod owner;
pub mod platform;
pub mod store;
pub mod upstream;
pub mod usage;
