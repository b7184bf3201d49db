//! Results of one simulated roll-out.

use crate::seed_runs::{mean, quantile};

/// Counts of one roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GuardOutcome {
    /// Requests offered to the candidate.
    pub(super) offered: u64,
    /// Requests sent to the candidate.
    pub(super) served: u64,
    /// Bad answers among the served requests.
    pub(super) bad: u64,
    /// Maximum number of served requests without a rating at one time, over all routers; requests
    /// in progress count, and those whose rating timed out do not.
    pub(super) most_unrated: u64,
    /// Time at which the last router stopped, in milliseconds; `None` when some router never
    /// stopped.
    pub(super) stopped_ms: Option<u64>,
    /// Whether any router tripped.
    pub(super) tripped: bool,
}

impl GuardOutcome {
    pub(super) const COLUMNS: [&'static str; 8] = [
        "bad mean",
        "bad p95",
        "bad max",
        "tripped share",
        "stopped share",
        "stop s mean",
        "served of offered",
        "most unrated",
    ];

    /// Aggregates `outcomes` into one value per column.
    pub(super) fn figures(outcomes: &[Self]) -> [f64; 8] {
        let count = outcomes.len().max(1) as f64;
        let bad: Vec<f64> = outcomes.iter().map(|o| o.bad as f64).collect();
        let stops: Vec<f64> = outcomes
            .iter()
            .filter_map(|o| Some(o.stopped_ms? as f64 / 1_000.0))
            .collect();
        let tripped = outcomes.iter().filter(|o| o.tripped).count() as f64;
        let offered: u64 = outcomes.iter().map(|o| o.offered).sum();
        let served: u64 = outcomes.iter().map(|o| o.served).sum();
        let most_unrated = outcomes.iter().map(|o| o.most_unrated).max();
        [
            mean(&bad),
            quantile(&bad, 0.95),
            quantile(&bad, 1.0),
            tripped / count,
            stops.len() as f64 / count,
            mean(&stops),
            served as f64 / offered.max(1) as f64,
            most_unrated.unwrap_or_default() as f64,
        ]
    }
}
