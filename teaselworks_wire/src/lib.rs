//! Messages between routers and their encoding.

#![warn(clippy::disallowed_methods)]

pub mod codec;
mod compact;
pub mod frame;
pub mod handshake;
pub mod message;
