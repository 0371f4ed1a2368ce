//! A model of a fleet under load, without input or output: engines, callers and routers.
//!
//! Routers decide by the same calls as the relay makes, so that no decision is written twice. Equal
//! loads and seeds give equal results.
#![warn(clippy::disallowed_methods)]

mod caller;
mod engine;
mod load;
mod result;
mod router;
mod run;

pub use self::load::{Dark, Engines, Hot, Kind, Load, LoadError, Placing, Press};
pub use self::result::{Outcome, Totals, Window};
pub use self::run::run;
