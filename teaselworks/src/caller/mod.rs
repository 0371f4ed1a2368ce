//! Callers' HTTP requests: chats, model lists and calls to plain services.

mod body;
mod call;
mod chat;
mod error;
mod header;
mod model;
mod server;
mod source;

pub use error::{error_body, half_closed_response, refusal_response};
pub use server::{Admitted, CallerSettings, Callers, health};
pub use source::BodySource;
