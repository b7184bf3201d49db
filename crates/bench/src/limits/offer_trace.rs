//! Generated requests of the workspace, identical for all variants under one seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::LimitsExperiment;

/// One request: its time of arrival, and the point from 0 to 1 that selects its router.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferEntry {
    pub(super) at: Duration,
    pub(super) point: f64,
}

/// Generates Poisson arrivals; in phases with a load up to 1, requests above the limit are omitted.
pub(super) fn generate(experiment: &LimitsExperiment, seed: u64) -> Vec<OfferEntry> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries = Vec::new();
    let mut start = 0.0;
    for phase in &experiment.phases {
        let end = start + phase.seconds as f64;
        let rate = phase.load * experiment.limit.rate;
        let mut tokens = experiment.limit.burst;
        let mut time = start;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            time += gap;
            if time >= end {
                break;
            }
            tokens = (tokens + gap * experiment.limit.rate).min(experiment.limit.burst);
            if phase.load <= 1.0 && tokens < 1.0 {
                continue;
            }
            tokens -= 1.0;
            entries.push(OfferEntry {
                at: Duration::from_secs_f64(time),
                point: rng.random(),
            });
        }
        start = end;
    }
    entries
}
