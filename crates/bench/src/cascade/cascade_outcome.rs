//! Results of one run.

use crate::seed_runs::{mean, quantile};

/// Measurements of one answered request.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnsweredRequest {
    pub(super) cost: f64,
    pub(super) latency_ms: u64,
    pub(super) good: bool,
    pub(super) in_time: bool,
    pub(super) stages: u32,
    pub(super) idempotent: bool,
}

/// All requests of one run.
#[derive(Debug, Clone, Default)]
pub(super) struct CascadeOutcome {
    pub(super) requests: Vec<AnsweredRequest>,
}

impl CascadeOutcome {
    pub(super) const COLUMNS: [&'static str; 8] = [
        "cost per answer",
        "cost per good in time",
        "good share",
        "in time share",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "not idempotent, run twice",
    ];

    /// Aggregates `outcomes` into one value per column.
    pub(super) fn figures(outcomes: &[Self]) -> [f64; 8] {
        let all: Vec<&AnsweredRequest> = outcomes.iter().flat_map(|o| &o.requests).collect();
        let share = |matches: fn(&AnsweredRequest) -> bool| {
            let found = all.iter().filter(|request| matches(request)).count();
            found as f64 / all.len().max(1) as f64
        };
        let costs: Vec<f64> = all.iter().map(|r| r.cost).collect();
        let latencies: Vec<f64> = all.iter().map(|r| r.latency_ms as f64).collect();
        let useful = share(|r| r.good && r.in_time);
        let twice = all.iter().filter(|r| !r.idempotent && r.stages > 1).count();
        [
            mean(&costs),
            mean(&costs) / useful,
            share(|r| r.good),
            share(|r| r.in_time),
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.95),
            quantile(&latencies, 0.99),
            twice as f64,
        ]
    }
}
