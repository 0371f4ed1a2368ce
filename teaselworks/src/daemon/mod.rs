//! Process of a router: start, reload of the settings, and planned stop.

mod error;
mod overload;
mod page;
mod reload;
mod serve;
mod services;
mod stop;

pub use self::error::StartError;
pub use self::reload::ReloadSignal;
pub use self::serve::serve;
