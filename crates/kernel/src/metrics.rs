//! Metric registry of the process, rendered in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

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

/// All metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
