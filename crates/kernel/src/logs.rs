//! Structured logs: one JSON object a line on standard error.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;
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

/// Makes JSON lines the process's default log.
///
/// # Errors
///
/// Fails when standard error cannot be used.
pub fn install(level: LogLevel) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level.filter())
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
