//! Numbered log events; docs/EVENTS.md is their catalogue.

mod appender;
mod catalogue;
mod logger;

use std::fmt::Display;

use log::kv::Value;
use log::{Level, Record};

pub use catalogue::*;
pub use logger::{dropped_lines, flush, init};

/// One kind of log line, known by its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, never given to another event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Name.
    pub name: &'static str,
    /// What happened and what to do about it, for the catalogue.
    pub meaning: &'static str,
}

/// A named value of a log line.
pub type Field<'a> = (&'static str, Value<'a>);

/// Makes a field from anything that can be shown.
pub fn text<'a>(name: &'static str, value: &'a dyn Display) -> Field<'a> {
    (name, Value::from_dyn_display(value))
}

/// Makes a field from a number.
pub fn number(name: &'static str, value: u64) -> Field<'static> {
    (name, Value::from(value))
}

impl Event {
    /// Logs the event with its fields.
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
