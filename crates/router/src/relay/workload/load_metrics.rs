//! Metrics of the shared load and of the expected time of runs.

use std::time::Duration;

/// Counts the bytes of rows that this router sends.
pub fn count_rows(kind: &'static str, bytes: usize) {
    metrics::counter!("ferry_load_bytes_total", "kind" => kind).increment(bytes as u64);
}

/// Counts the end of a query.
pub fn count_query(outcome: &'static str) {
    metrics::counter!("ferry_load_queries_total", "outcome" => outcome).increment(1);
}

/// Counts rows that this router reports.
pub fn count_reported(rows: usize) {
    metrics::counter!("ferry_load_rows_total").increment(rows as u64);
}

/// Records the mean age of the figures of other routers.
pub fn record_age(age: Duration) {
    metrics::histogram!("ferry_load_age_seconds").record(age.as_secs_f64());
}

/// Records the time of a run of `rule` as a multiple of the expected one.
pub fn record_run(rule: &str, took: Duration, expected: Duration) {
    if !expected.is_zero() {
        metrics::histogram!("ferry_run_time_ratio", "rule" => rule.to_owned())
            .record(took.as_secs_f64() / expected.as_secs_f64());
    }
}
