//! Membership: views, the protocol under faults, and its cost.

mod fleet;
mod list;
mod ownership;
mod protocol;
mod scale;
mod view;
