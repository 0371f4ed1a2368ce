//! Starts the log: JSON or text lines on standard output.

use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use log::LevelFilter;
use logforth::layout::{JsonLayout, TextLayout};

use super::appender::QueueAppender;
use crate::settings::{LogFormat, LogLevel, LogSettings};

static DROPPED: LazyLock<Arc<AtomicU64>> = LazyLock::new(Arc::default);

/// Starts the log of the process; a second start in one process is ignored.
pub fn init(settings: &LogSettings) {
    let appender = match settings.format {
        LogFormat::Text => QueueAppender::start(TextLayout::default().no_color(), DROPPED.clone()),
        LogFormat::Json => QueueAppender::start(JsonLayout::default(), DROPPED.clone()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(appender)).try_apply();
    if started.is_ok() {
        log::set_max_level(level_filter(settings.level));
    }
}

/// Writes out what waits, for a process that ends.
pub fn flush() {
    log::logger().flush();
}

/// Returns the number of lines that were dropped because their reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
