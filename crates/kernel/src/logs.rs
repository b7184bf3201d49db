//! Structured logs: one JSON object a line.

mod line_queue;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{Level, LevelFilter, Logger};

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Events that an operator may want to see.
    #[default]
    Info,
    /// Events that need attention.
    Warn,
    /// Failures.
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

/// Makes JSON lines on standard error the process's default log.
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

/// Makes JSON lines on standard output the process's default log.
///
/// Lines pass through a bounded queue: when standard output is not read, they are dropped and
/// counted in `ferry_log_lines_dropped_total`, and no thread that logs ever waits.
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
