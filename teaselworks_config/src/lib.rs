//! Settings of one router and the numbered configuration of the fleet.

#![warn(clippy::disallowed_methods)]

pub mod configuration;
pub mod document;
pub mod fault;
mod name;
pub mod settings;
mod typed;
mod url;
