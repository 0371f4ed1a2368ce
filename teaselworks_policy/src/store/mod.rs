//! Which configuration may follow another, and how a new one reaches every router.

pub mod fanout;
pub mod version;
