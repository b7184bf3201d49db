//! Demand and throughput of one router.

use std::collections::HashMap;
use std::time::Duration;

use super::demand_row::{DemandKey, DemandRow};
use crate::time::MonotonicTime;

/// Time constant of the rates. A router has about seven requests a second: a shorter one gives too few for a rate, a longer one would notice a surge too late.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Time constant of the demand that is used while no other router is heard: the few requests of one router give too noisy a rate over a shorter time.
const STEADY_DECAY_TIME: Duration = Duration::from_secs(30);
/// Time from the start of a router in which its throughput says too little: requests that arrived take up to 15 s to be answered.
const WARM_UP: Duration = Duration::from_secs(10);
/// Shortest time over which a rate is computed.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// Rates below this, in milliseconds of work per second, are not reported.
const MIN_RATE: f64 = 1.0;
/// Sums below this, in milliseconds of work, are forgotten.
const MIN_SUM: f64 = 1.0;
/// Highest number of keys; requests of further ones are not counted.
const MAX_KEYS: usize = 1_024;
/// Longest work of one request.
pub const MAX_WORK: Duration = Duration::from_secs(600);

/// Decayed sums of the work of requests, by service, workspace and priority.
#[derive(Debug, Default)]
pub struct DemandMeter {
    began_at: Option<MonotonicTime>,
    sums: HashMap<DemandKey, WorkSums>,
}

/// Decayed sums of work, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct WorkSums {
    demand: f64,
    /// The same with the time constant [`STEADY_DECAY_TIME`].
    steady_demand: f64,
    completed: f64,
    decayed_to: MonotonicTime,
}

impl DemandMeter {
    /// Counts a request with the expected work `work` that arrived.
    pub fn record_demand(&mut self, key: DemandKey, work: Duration, now: MonotonicTime) {
        if let Some(sums) = self.sums(key, now) {
            sums.demand += millis(work);
            sums.steady_demand += millis(work);
        }
    }

    /// Counts a request with the expected work `work` that was answered whole.
    pub fn record_completed(&mut self, key: DemandKey, work: Duration, now: MonotonicTime) {
        if let Some(sums) = self.sums(key, now) {
            sums.completed += millis(work);
        }
    }

    /// Present rates. In the first seconds the throughput is at least the demand, because requests that arrived have not yet ended.
    pub fn rows(&mut self, now: MonotonicTime) -> Vec<DemandRow> {
        let seconds = self.seconds(DECAY_TIME, now);
        self.rows_by(now, |sums| sums.demand / seconds)
    }

    /// The same with the demand of a longer time, for a router that hears no other one.
    pub fn steady_rows(&mut self, now: MonotonicTime) -> Vec<DemandRow> {
        let seconds = self.seconds(STEADY_DECAY_TIME, now);
        self.rows_by(now, |sums| sums.steady_demand / seconds)
    }

    fn rows_by(
        &mut self,
        now: MonotonicTime,
        demand_of: impl Fn(&WorkSums) -> f64,
    ) -> Vec<DemandRow> {
        let seconds = self.seconds(DECAY_TIME, now);
        let is_new = self.began_at.is_none_or(|at| now.since(at) < WARM_UP);
        let mut rows = Vec::with_capacity(self.sums.len());
        self.sums.retain(|key, sums| {
            sums.decay(now);
            let demand = demand_of(sums);
            let completed = sums.completed / seconds;
            if demand.max(completed) >= MIN_RATE {
                rows.push(DemandRow {
                    key: *key,
                    demand: demand as u32,
                    completed: if is_new {
                        demand.max(completed)
                    } else {
                        completed
                    } as u32,
                    age_ms: 0,
                });
            }
            sums.steady_demand.max(sums.completed) >= MIN_SUM
        });
        rows
    }

    /// Time over which a sum with the time constant `decay_time` is taken at `now`.
    fn seconds(&self, decay_time: Duration, now: MonotonicTime) -> f64 {
        let span = self
            .began_at
            .map_or(MIN_SPAN, |at| now.since(at).max(MIN_SPAN));
        let decay_time = decay_time.as_secs_f64();
        decay_time * (1.0 - (-span.as_secs_f64() / decay_time).exp())
    }

    fn sums(&mut self, key: DemandKey, now: MonotonicTime) -> Option<&mut WorkSums> {
        self.began_at.get_or_insert(now);
        if self.sums.len() >= MAX_KEYS && !self.sums.contains_key(&key) {
            return None;
        }
        let sums = self.sums.entry(key).or_default();
        sums.decay(now);
        Some(sums)
    }
}

impl WorkSums {
    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.decayed_to).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.demand *= factor;
        self.steady_demand *= (-elapsed / STEADY_DECAY_TIME.as_secs_f64()).exp();
        self.completed *= factor;
        self.decayed_to = now;
    }
}

fn millis(work: Duration) -> f64 {
    work.min(MAX_WORK).as_secs_f64() * 1_000.0
}
