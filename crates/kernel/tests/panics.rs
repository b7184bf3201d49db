//! Panics of a process, in its metrics and in its log.

use std::sync::Arc;

use ferry_kernel::{metrics, panics};
use parking_lot::Mutex;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

/// Log lines of the test.
#[derive(Clone, Default)]
struct LogText(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for LogText {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log_to(text: &LogText) {
    let sink = WriteSink::builder()
        .target(text.clone())
        .formatter(JsonFormatter::new())
        .build_arc()
        .unwrap();
    let logger = Logger::builder()
        .sink(sink)
        .flush_level_filter(LevelFilter::All)
        .build()
        .unwrap();
    spdlog::set_default_logger(Arc::new(logger));
}

async fn ferry_task() {
    panic!("a planned panic");
}

/// Guards against a task that ends by a panic which no log line and no metric shows.
#[tokio::test]
async fn a_panic_of_a_task_is_logged_with_its_place_and_counted() {
    let text = LogText::default();
    log_to(&text);
    metrics::install();
    panics::report();
    assert!(metrics::render().contains("ferry_panics_total 0"));
    let ended = tokio::spawn(ferry_task()).await;
    assert!(ended.unwrap_err().is_panic());
    assert!(metrics::render().contains("ferry_panics_total 1"));
    let text = String::from_utf8(text.0.lock().clone()).unwrap();
    assert!(text.contains("a planned panic"), "{text}");
    assert!(text.contains("crates/kernel/tests/panics.rs:"), "{text}");
    assert!(text.contains("ferry_task"), "{text}");
}
