//! Open-loop Poisson arrivals, identical for all policies under one seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{OverloadExperiment, PhaseLoad};

/// One generated request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ArrivalEntry {
    /// Time of arrival.
    pub(super) at: Duration,
    /// Index of the phase in which it arrives.
    pub(super) phase: usize,
    /// Index of the router at which it arrives.
    pub(super) router: usize,
    /// Index of the workspace of the caller.
    pub(super) workspace: usize,
    /// Index of the class of the request.
    pub(super) class: usize,
    /// Engine steps needed to complete its answer, prefill included.
    pub(super) steps: u32,
}

/// Generates all arrivals of `experiment` under `seed`, in order of time.
pub(super) fn generate(experiment: &OverloadExperiment, seed: u64) -> Vec<ArrivalEntry> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries = Vec::new();
    let mut start = 0.0;
    for (index, phase) in experiment.phases.iter().enumerate() {
        let end = start + phase.seconds as f64;
        let rate = (phase.load + phase.burst) * experiment.capacity();
        let mut time = start + gap(&mut rng, rate);
        while time < end {
            entries.push(draw_entry(experiment, &mut rng, index, phase, time));
            time += gap(&mut rng, rate);
        }
        start = end;
    }
    entries
}

fn draw_entry(
    experiment: &OverloadExperiment,
    rng: &mut StdRng,
    index: usize,
    phase: &PhaseLoad,
    time: f64,
) -> ArrivalEntry {
    let in_burst = rng.random::<f64>() * (phase.load + phase.burst) < phase.burst;
    let drawn = weighted_index(rng, &experiment.workspaces);
    let parts: Vec<f64> = experiment.classes.iter().map(|c| c.part).collect();
    let class = weighted_index(rng, &parts);
    let load = &experiment.classes[class];
    let tokens = (exponential(rng) * load.mean_tokens).ceil() as u32;
    let mut routers = vec![1.0; experiment.routers.count];
    routers[0] = experiment.routers.skew;
    ArrivalEntry {
        at: Duration::from_secs_f64(time),
        phase: index,
        router: weighted_index(rng, &routers),
        workspace: if in_burst { 0 } else { drawn },
        class,
        steps: tokens.clamp(1, load.most_tokens) + experiment.engines.prefill_steps,
    }
}

fn gap(rng: &mut StdRng, rate: f64) -> f64 {
    exponential(rng) / rate
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn weighted_index(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut rest = rng.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        rest -= weight;
        rest < 0.0
    });
    found.unwrap_or(weights.len() - 1)
}
