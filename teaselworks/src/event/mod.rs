//! Numbered log events, which docs/EVENTS.md lists with their meanings.

mod appender;
mod catalogue;
mod logger;

use std::fmt::Display;

use log::kv::Value;
use log::{Level, Record};

pub use catalogue::*;
pub use logger::{dropped_lines, flush, init};

/// A kind of log event, identified by its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Unique number, which is never reused for another event.
    pub number: u16,
    /// Severity of the event.
    pub level: Level,
    /// Name of the event in the log.
    pub name: &'static str,
    /// Meaning of the event and what the router or the operator does about it, for the catalogue.
    pub meaning: &'static str,
}

/// A named value of a log event.
pub type Field<'a> = (&'static str, Value<'a>);

/// Creates a text field from any value that implements [`Display`].
pub fn text<'a>(name: &'static str, value: &'a dyn Display) -> Field<'a> {
    (name, Value::from_dyn_display(value))
}

/// Creates a numeric field.
pub fn number(name: &'static str, value: u64) -> Field<'static> {
    (name, Value::from(value))
}

impl Event {
    /// Logs the event with the given fields, unless its severity is below the configured level.
    ///
    /// ```
    /// use teaselworks::event;
    ///
    /// event::ROUTER_STARTED.log(&[event::text("router", &"dvorana-a-1")]);
    /// ```
    pub fn log(&self, fields: &[Field<'_>]) {
        if self.level > log::max_level() {
            return;
        }
        log::logger().log(
            &Record::builder()
                .target("teaselworks")
                .level(self.level)
                .args(format_args!("TW{:04} {}", self.number, self.name))
                .key_values(&fields)
                .build(),
        );
    }
}
