//! Initialization of the log, which writes JSON or text lines to standard output.

use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use log::LevelFilter;
use logforth::layout::{JsonLayout, TextLayout};

use super::appender::QueueAppender;
use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Number of log lines dropped since the process started.
static DROPPED: LazyLock<Arc<AtomicU64>> = LazyLock::new(Arc::default);

/// Initializes the log of the process; later calls in the same process are ignored.
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

/// Writes the queued log lines before the process exits. If the reader of standard output has
/// stalled, gives up after a short time, and the lines are lost.
pub fn flush() {
    log::logger().flush();
}

/// Returns the number of log lines dropped because the reader of standard output was too slow.
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
