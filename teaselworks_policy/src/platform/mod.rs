//! How often, and when again, a router may call the platform's key-value service.

pub mod backoff;
pub mod budget;
pub mod circuit;
pub mod share;
