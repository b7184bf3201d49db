//! Division of a capacity among priorities.

/// Number of priorities; 0 is the most urgent.
pub const PRIORITIES: usize = 10;
/// Part of the capacity that each priority has for certain, as far as it demands it. Each is guaranteed a tenth of the throughput: of the least urgent one some
/// requests are late, because engines run the others first (0.09 of the served requests with a part of 0.1 in the replay).
const MIN_PART: f64 = 0.12;

/// Capacity of each priority: a part of `capacity` as far as it demands it, the rest to the more urgent first.
pub fn divide_by_priority(capacity: f64, demand: &[f64; PRIORITIES]) -> [f64; PRIORITIES] {
    let present = demand.iter().filter(|demand| **demand > 0.0).count();
    let least = capacity * MIN_PART.min(1.0 / present.max(1) as f64);
    let mut parts = demand.map(|demand| demand.min(least));
    let mut left = (capacity - parts.iter().sum::<f64>()).max(0.0);
    for (part, demand) in parts.iter_mut().zip(demand) {
        let more = (demand - *part).min(left);
        *part += more;
        left -= more;
    }
    parts
}
