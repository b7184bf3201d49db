//! What one roll-out gave.

use crate::seed_runs::{mean, quantile};

/// Counts of one roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunOutcome {
    /// Requests meant for the candidate.
    pub(super) offered: u64,
    /// Requests handed to the candidate.
    pub(super) served: u64,
    /// Bad answers among them.
    pub(super) bad: u64,
    /// Most answers unrated at once over the fleet, those given up excluded.
    pub(super) most_unrated: u64,
    /// When the last router stopped, in milliseconds; `None` when some never did.
    pub(super) stopped_ms: Option<u64>,
    /// Whether any router tripped.
    pub(super) tripped: bool,
}

impl RunOutcome {
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

    /// One value per column over all `outcomes`.
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
