//! Structured logs: one JSON object per line.

mod line_queue;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{Level, LevelFilter, Logger};

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// All events, details for debugging included.
    Debug,
    /// Events of normal operation.
    #[default]
    Info,
    /// Events that need attention.
    Warn,
    /// Failures only.
    Error,
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(match self {
            Self::Debug => Level::Debug,
            Self::Info => Level::Info,
            Self::Warn => Level::Warn,
            Self::Error => Level::Error,
        })
    }
}

/// Makes JSON lines on standard error the default log of the process.
///
/// # Errors
///
/// Fails when standard error cannot be used.
pub fn install(level: LogLevel) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    set_default(sink, level)
}

/// Makes JSON lines on standard output the default log of the process.
///
/// Lines pass through a bounded queue: when standard output is not read, they are dropped and
/// counted in `ferry_log_lines_dropped_total`, so that no logging thread ever blocks.
///
/// # Errors
///
/// Fails when the thread that writes the lines cannot be started.
pub fn install_queued(level: LogLevel) -> Result<(), spdlog::Error> {
    let queue = line_queue::LineQueue::start().map_err(spdlog::Error::WriteRecord)?;
    let sink = WriteSink::builder()
        .target(queue)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    set_default(sink, level)
}

fn set_default(sink: Arc<dyn Sink>, level: LogLevel) -> Result<(), spdlog::Error> {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level.filter())
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
