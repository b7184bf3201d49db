//! Memory of metrics that nobody reads, in a process of its own, since all of its memory is measured.

use std::time::Duration;

use ferry_kernel::metrics;

/// Values recorded between two looks at the memory.
const BATCH: usize = 50_000;
/// Number of batches; the memory of the second half is to be that of the first.
const BATCHES: usize = 40;
/// Time between two batches, longer than the period of the upkeep.
const BATCH_TIME: Duration = Duration::from_secs(6);
/// Memory by which the two may differ, in bytes: a fifth of what the values of half of the batches take.
const TOLERANCE: usize = BATCH * BATCHES / 2 * size_of::<f64>() / 5;
/// Unit in which the system states memory, in bytes.
const SYSTEM_UNIT: usize = 1_024;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let units = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    units.map_or(0, |units: usize| units * SYSTEM_UNIT)
}

/// Guards against a process that runs out of memory since nobody reads its metrics.
#[tokio::test(start_paused = true)]
async fn metrics_that_nobody_reads_take_no_more_memory() {
    metrics::install();
    tokio::spawn(metrics::keep_up());
    let mut middle = 0;
    for batch in 0..BATCHES {
        if batch == BATCHES / 2 {
            middle = resident_bytes();
        }
        for value in 0..BATCH {
            ::metrics::histogram!("ferry_test_seconds").record(value as f64 / 1_000.0);
        }
        tokio::time::sleep(BATCH_TIME).await;
    }
    let grown = resident_bytes().saturating_sub(middle);
    assert!(grown <= TOLERANCE, "{grown} bytes more");
}
