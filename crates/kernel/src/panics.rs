//! Reports each panic of the process in its log and metrics.

use std::backtrace::Backtrace;
use std::future::Future;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};

use futures::FutureExt;
use tokio::task;

/// Metric: panics since the start of the process.
const PANICS_METRIC: &str = "ferry_panics_total";
/// Text in place of a message that is no text.
const NO_MESSAGE: &str = "(no message)";
/// Part of the names of this project's functions in a backtrace.
const OWN_FUNCTION: &str = "ferry_";
/// Maximum number of own functions that a line names, the innermost first.
const MAX_FUNCTIONS: usize = 8;

/// Makes each panic write a line to the log and count in the metrics, besides what the hook in place does.
///
/// To be called once, after the log and the metrics were installed.
pub fn report() {
    metrics::counter!(PANICS_METRIC).absolute(0);
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        previous(info);
        metrics::counter!(PANICS_METRIC).increment(1);
        log_panic(info);
    }));
}

/// Runs `work`; `None` if it panicked, which is reported like any panic.
pub async fn caught<T>(work: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(work).catch_unwind().await.ok()
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string);
    spdlog::error!("panic: {}", info.payload_as_str().unwrap_or(NO_MESSAGE), kv: {
        place = place.unwrap_or_default(),
        // The place of a panic in the standard library doesn't tell who called it.
        functions = own_functions(&Backtrace::force_capture().to_string()),
        task = task::try_id().map(|id| id.to_string()).unwrap_or_default(),
    });
}

/// Names of this project's functions in `backtrace`, but for those of this module.
fn own_functions(backtrace: &str) -> String {
    let names = backtrace.lines().filter_map(|line| line.split_once(": "));
    let own = names
        .map(|(_, name)| name)
        .filter(|name| name.contains(OWN_FUNCTION) && !name.contains(module_path!()));
    own.take(MAX_FUNCTIONS).collect::<Vec<_>>().join(", ")
}
