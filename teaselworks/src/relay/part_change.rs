//! Changes of the blocked parts of prompts.

/// A change of the blocked parts that the store is to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// A part is blocked.
    Blocked(u64),
    /// A part is no longer blocked.
    Released(u64),
}
