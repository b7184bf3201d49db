//! A log that panics at a line, as any code of a task may.

use std::sync::{Arc, Once};

use parking_lot::Mutex;
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkPropAccess};
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, Record, Result};

/// Lines at which the log panics once, each with the request that it is of; any if that is empty.
static MARKS: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());
/// Installs the log.
static INSTALLED: Once = Once::new();

/// Lets the next line `payload` of the request `request_id` panic, in whichever task writes it. Tests of one process share the log, so that
/// each has lines of its own.
pub fn fail_once(payload: &str, request_id: &str) {
    INSTALLED.call_once(|| {
        let logger = Logger::builder()
            .sink(Arc::new(FailingSink))
            .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
            .build()
            .unwrap();
        spdlog::set_default_logger(Arc::new(logger));
    });
    MARKS
        .lock()
        .push((payload.to_owned(), request_id.to_owned()));
}

struct FailingSink;

impl Sink for FailingSink {
    fn log(&self, record: &Record) -> Result<()> {
        let mut values = record.key_values().into_iter();
        let id = values.find(|(key, _)| key.as_str() == "request_id");
        let id = id.map(|(_, id)| id.to_string()).unwrap_or_default();
        let is_marked = |mark: &mut (String, String)| {
            record.payload() == mark.0 && (mark.1.is_empty() || mark.1 == id)
        };
        let mark = MARKS.lock().extract_if(.., is_marked).next();
        assert_eq!(mark, None, "a planned panic");
        Ok(())
    }

    fn flush(&self) -> Result<()> {
        Ok(())
    }
}

impl SinkPropAccess for FailingSink {
    fn level_filter(&self) -> LevelFilter {
        LevelFilter::All
    }

    fn set_level_filter(&self, _: LevelFilter) {}

    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    fn set_error_handler(&self, _: ErrorHandler) {}
}
