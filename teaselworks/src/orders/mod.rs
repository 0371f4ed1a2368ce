//! Orders to engines: one router brings what engines hold, and their roles, to what the
//! configuration says.

mod goal;
mod holder;
mod meters;
mod round;
mod service;

pub use service::{ORDERS, OrdersParts, OrdersService, ReleaseCall};
