//! Whether a call that may not be repeated may be sent.

pub mod claim;
pub mod window;
