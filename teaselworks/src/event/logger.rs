//! Starts the log: text or JSON lines on standard error.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use teaselworks_config::settings::{LogFormat, LogLevel, LogSettings};

/// Starts the log of the process; a second start in one process is ignored.
pub fn init(settings: &LogSettings) {
    let format = settings.format;
    let append = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(append)).try_apply();
    if started.is_ok() {
        log::set_max_level(level_filter(settings.level));
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
