//! A fleet of routers that forwards the chat requests of many workspaces to shared upstreams.
//!
//! Each router watches the configuration and the list of upstreams in the platform's store, and
//! forwards each request to the upstream that `teaselworks_policy` selects. The later requests of a
//! chat share parts of their prompts with the earlier ones.
#![warn(clippy::disallowed_methods)]

pub mod cli;
pub mod daemon;
pub mod datagram;
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
