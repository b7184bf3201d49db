//! What one run gave.

use crate::seed_runs::{mean, quantile};

/// Counts of one run.
#[derive(Debug, Clone, Default)]
pub(super) struct QuarantineOutcome {
    /// Crashes of upstreams.
    pub(super) crashes: u64,
    /// Innocent idempotent requests that were not answered in time.
    pub(super) unanswered: u64,
    /// Innocent requests that are not idempotent and were in flight at a crash.
    pub(super) unrepeatable: u64,
    /// Innocent requests that were quarantined.
    pub(super) wrongly_quarantined: u64,
    /// Sends of poison requests that were refused without a run.
    pub(super) refused_poison: u64,
    /// Latencies of the innocent requests that died once and were answered, in milliseconds.
    pub(super) retried_ms: Vec<f64>,
}

impl QuarantineOutcome {
    pub(super) const COLUMNS: [&'static str; 8] = [
        "lost per poison, mean",
        "lost per poison, max",
        "unanswered mean",
        "unanswered max",
        "not idempotent, lost mean",
        "quarantined innocents, mean",
        "poison sends refused, mean",
        "retried p99 ms",
    ];

    /// One value per column over all `outcomes`.
    pub(super) fn figures(outcomes: &[Self], poisons: u32) -> [f64; 8] {
        let values = |count: fn(&Self) -> u64| -> Vec<f64> {
            outcomes.iter().map(|o| count(o) as f64).collect()
        };
        let lost = values(|o| o.crashes);
        let unanswered = values(|o| o.unanswered);
        let poisons = f64::from(poisons);
        let retried: Vec<f64> = outcomes
            .iter()
            .flat_map(|o| &o.retried_ms)
            .copied()
            .collect();
        [
            mean(&lost) / poisons,
            quantile(&lost, 1.0) / poisons,
            mean(&unanswered),
            quantile(&unanswered, 1.0),
            mean(&values(|o| o.unrepeatable)),
            mean(&values(|o| o.wrongly_quarantined)),
            mean(&values(|o| o.refused_poison)),
            quantile(&retried, 0.99),
        ]
    }
}
