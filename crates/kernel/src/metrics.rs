//! Metric registry of the process, rendered in the Prometheus text format.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::ticks;

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Period at which recorded values are moved into their histograms.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the registry; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)
            .expect("the bucket list is not empty")
            .install_recorder()
            .expect("the registry is installed once")
    });
}

/// Moves recorded values into their histograms, again and again, until the future is dropped: values wait in memory until then, and nobody may read
/// the metrics for days.
pub async fn keep_up() {
    let mut ticks = ticks::every(UPKEEP_PERIOD);
    loop {
        ticks.tick().await;
        if let Some(handle) = HANDLE.get() {
            handle.run_upkeep();
        }
    }
}

/// All metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
