//! A router fleet that carries returning chats of many workspaces to shared upstreams.
//!
//! A router follows the configuration and the list of upstreams in the platform's store, and carries
//! each request to the upstream that `teaselworks_policy` chooses.
#![warn(clippy::disallowed_methods)]

pub mod cli;
pub mod daemon;
pub mod discovery;
pub mod event;
#[cfg(feature = "experiment")]
pub mod experiment;
pub mod kernel;
pub mod metrics;
pub mod net;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod settings;
