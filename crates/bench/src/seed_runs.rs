//! Runs many seeds on several threads and summarizes their results.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of threads that run seeds concurrently.
const THREADS: usize = 4;

/// Runs `simulate` on the seeds `1..=runs` and returns the outcomes in order of the seeds.
pub fn run_seeds<T: Send>(runs: u64, simulate: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(1);
    let worker = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > runs {
                return outcomes;
            }
            outcomes.push((seed, simulate(seed)));
        }
    };
    let mut outcomes: Vec<(u64, T)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(worker)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("no run panics"))
            .collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Mean of `values`; zero when there are none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Quantile `share` of `values`, from 0 to 1 (nearest rank); zero when there are none.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted
        .get(index.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}
