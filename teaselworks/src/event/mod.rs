//! Numbered log events; docs/EVENTS.md is their catalogue.

mod catalogue;
mod logger;

use std::fmt;

pub use catalogue::*;
pub use logger::init;

/// One kind of log line, known by its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, never given to another event.
    pub number: u16,
    /// Severity.
    pub level: log::Level,
    /// Name in the JSON form.
    pub name: &'static str,
    /// What happened and what to do about it, for the catalogue.
    pub meaning: &'static str,
}

impl Event {
    /// Logs the event with a detail, which names what it is about.
    ///
    /// ```
    /// teaselworks::event::ROUTER_STARTED.log(format_args!("router=dvorana-a-1"));
    /// ```
    pub fn log(&self, detail: fmt::Arguments<'_>) {
        log::log!(
            target: "teaselworks",
            self.level,
            event = self.number, name = self.name;
            "TW{:04} {}: {}", self.number, self.name, detail
        );
    }
}
