//! The router as a process: start, reload and planned stop.

mod error;
mod page;
mod reload;
mod serve;
mod services;
mod stop;

pub use self::error::StartError;
pub use self::reload::HangUps;
pub use self::serve::serve;
