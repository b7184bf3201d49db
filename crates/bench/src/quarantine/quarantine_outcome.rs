//! Results of one run.

use crate::seed_runs::{mean, quantile};

/// Counts of one run.
#[derive(Debug, Clone, Default)]
pub(super) struct QuarantineOutcome {
    /// Number of upstream crashes.
    pub(super) crashes: u64,
    /// Harmless idempotent requests that were not answered before their deadline.
    pub(super) unanswered: u64,
    /// Harmless requests that were lost in a crash and could not be retried, as they are not
    /// idempotent.
    pub(super) lost_not_idempotent: u64,
    /// Harmless requests that were quarantined.
    pub(super) wrongly_quarantined: u64,
    /// Sends of poison requests that ended in a refusal because the request was quarantined.
    pub(super) refused_poison: u64,
    /// Latencies of the harmless requests that were answered before their deadline after a crash and
    /// a retry, in milliseconds.
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

    /// Aggregates `outcomes` into one value per column.
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
            mean(&values(|o| o.lost_not_idempotent)),
            mean(&values(|o| o.wrongly_quarantined)),
            mean(&values(|o| o.refused_poison)),
            quantile(&retried, 0.99),
        ]
    }
}
