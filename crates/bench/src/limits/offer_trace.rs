//! Requests of the workspace, the same for every way to keep the limit.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::LimitsExperiment;

/// One request: when it comes, and the point that decides its router.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferEntry {
    pub(super) at: Duration,
    pub(super) point: f64,
}

/// Poisson arrivals; in phases up to the limit, those that would break it are left out.
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
