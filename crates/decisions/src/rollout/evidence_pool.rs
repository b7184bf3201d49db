//! Counts of all routers, and the tests over them.

use std::collections::{BTreeMap, HashMap};

use super::{ClassCounts, EvidenceRow};
use crate::config::{RolloutSpec, TripPolicy};
use crate::guard::HarmTest;
use crate::time::MonotonicTime;

/// Share of bad answers that is tolerated beyond that of the old versions.
const TOLERATED_MORE: f64 = 0.06;
/// Share of bad answers beyond the tolerated one at which a roll-out must stop.
const STOPPING_MORE: f64 = 0.25;
/// Highest tolerated share.
const TOLERATED_MOST: f64 = 0.35;
/// Accepted probability of stopping a version that is as good as the tolerated share.
const FALSE_STOP: f64 = 0.002;

/// Pooled evidence of one roll-out.
#[derive(Debug, Default)]
pub struct EvidencePool {
    rows: HashMap<String, HeardRow>,
    /// Counts of the fleet by class, as a router that has all rows told them.
    told: BTreeMap<String, ClassCounts>,
    /// Tests by class; the empty class is that of all requests.
    tests: HashMap<String, HarmTest>,
}

#[derive(Debug)]
struct HeardRow {
    row: EvidenceRow,
    heard: MonotonicTime,
}

impl EvidencePool {
    /// Joins a row heard at `now`; any order and repetition gives the same counts.
    pub fn merge(&mut self, row: EvidenceRow, now: MonotonicTime) {
        let Some(held) = self.rows.get_mut(&row.router) else {
            self.rows
                .insert(row.router.clone(), HeardRow { row, heard: now });
            return;
        };
        for (class, counts) in &row.classes {
            let joined = held.row.classes.entry(class.clone()).or_default();
            *joined = joined.join(*counts);
        }
        if row.elapsed_ms >= held.row.elapsed_ms {
            held.row.elapsed_ms = row.elapsed_ms;
            held.row.old_in_flight = row.old_in_flight;
            held.row.phase = row.phase;
            held.heard = now;
        }
    }

    /// Takes in the fleet's counts from a router that has all rows.
    pub fn take_totals(&mut self, classes: BTreeMap<String, ClassCounts>) {
        self.told = classes;
    }

    /// Counts of the fleet by class.
    pub fn class_totals(&self) -> BTreeMap<String, ClassCounts> {
        let sums = self.by_class().into_iter();
        sums.map(|(class, counts)| (class.to_owned(), counts))
            .collect()
    }

    /// Counts of all routers over all classes.
    pub fn totals(&self) -> ClassCounts {
        self.by_class()
            .values()
            .fold(ClassCounts::default(), |sum, counts| sum.plus(*counts))
    }

    /// Runs the tests and describes the harm if one finds it.
    pub fn harm(&mut self) -> Option<String> {
        let by_class = self.by_class();
        let all = self.totals();
        let level = FALSE_STOP / (by_class.len() + 1) as f64;
        let named = by_class.iter().map(|(class, counts)| (*class, *counts));
        let cells: Vec<(String, ClassCounts)> = named
            .chain([("", all)])
            .map(|(class, counts)| (class.to_owned(), counts))
            .collect();
        let base = all.base_share();
        cells.into_iter().find_map(|(class, counts)| {
            let test = self.tests.entry(class.clone()).or_default();
            test.observe(counts.target_good, counts.target_bad, &bounds(base), true);
            test.trips(level).then(|| {
                let ClassCounts {
                    target_good,
                    target_bad,
                    ..
                } = counts;
                format!("{target_bad} bad and {target_good} good answers of class {class:?}")
            })
        })
    }

    /// Requests in flight on the old versions, over the routers heard since `since`.
    pub fn old_in_flight(&self, since: MonotonicTime) -> u32 {
        self.rows
            .values()
            .filter(|heard| heard.heard >= since)
            .map(|heard| heard.row.old_in_flight)
            .sum()
    }

    fn by_class(&self) -> BTreeMap<&str, ClassCounts> {
        let mut sums: BTreeMap<&str, ClassCounts> = BTreeMap::new();
        for heard in self.rows.values() {
            for (class, counts) in &heard.row.classes {
                let sum = sums.entry(class).or_default();
                *sum = sum.plus(*counts);
            }
        }
        for (class, counts) in &self.told {
            let sum = sums.entry(class).or_default();
            *sum = sum.join(*counts);
        }
        sums
    }
}

/// Bounds of the tests when the old versions' answers are bad at the rate `base`.
fn bounds(base: f64) -> RolloutSpec {
    let tolerated_bad = (base + TOLERATED_MORE).min(TOLERATED_MOST);
    RolloutSpec {
        epoch: 0,
        unrated_limit: 0,
        tolerated_bad,
        stopping_bad: tolerated_bad + STOPPING_MORE,
        on_trip: TripPolicy::default(),
    }
}
