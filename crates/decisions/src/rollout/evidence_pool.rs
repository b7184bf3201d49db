//! Pooled answer counts of all routers, and the sequential tests over them.

use std::collections::{BTreeMap, HashMap};

use super::evidence_row::is_pace_class;
use super::{ClassCounts, EvidenceRow};
use crate::config::{RolloutSpec, TripPolicy};
use crate::guard::SequentialTest;
use crate::time::MonotonicTime;

/// Tolerated share of bad answers in excess of the old versions' share.
const TOLERATED_EXCESS: f64 = 0.06;
/// Share of bad answers, in excess of the tolerated share, at which a roll-out must stop.
const STOPPING_EXCESS: f64 = 0.25;
/// Upper bound of the tolerated share of bad answers.
const MAX_TOLERATED: f64 = 0.35;
/// Answers of the old versions in a class from which their share of bad answers is used for that class.
const MIN_BASE_ANSWERS: u64 = 30;
/// Accepted probability of stopping a version whose share of bad answers is the tolerated one.
const FALSE_STOP_PROBABILITY: f64 = 0.002;

/// Answers of the new version in a class from which they count for its proof.
const MIN_CLASS_ANSWERS: u64 = 8;
/// Natural logarithm of the likelihood ratio from which a new version is proven: 3 to 1.
const PROVEN_LN_RATIO: f64 = 1.1;
/// Name of the test over all classes.
const ALL_CLASSES: &str = "";
/// Name of the test over the pace of all streams.
const ALL_PACE_CLASSES: &str = "all pace";

/// Evidence of one roll-out, pooled over all routers.
#[derive(Debug, Default)]
pub struct EvidencePool {
    rows: HashMap<String, ReceivedRow>,
    /// Fleet-wide counts by class, as last reported by a router that has all rows.
    reported: BTreeMap<String, ClassCounts>,
    /// Tests by class, with those over several classes.
    tests: HashMap<String, SequentialTest>,
}

#[derive(Debug)]
struct ReceivedRow {
    row: EvidenceRow,
    received_at: MonotonicTime,
}

impl EvidencePool {
    /// Merges a row received at `now`. Order and repetition do not change the counts.
    pub fn merge(&mut self, row: EvidenceRow, now: MonotonicTime) {
        let Some(held) = self.rows.get_mut(&row.router) else {
            self.rows.insert(
                row.router.clone(),
                ReceivedRow {
                    row,
                    received_at: now,
                },
            );
            return;
        };
        for (class, counts) in &row.classes {
            let joined = held.row.classes.entry(class.clone()).or_default();
            *joined = joined.join(*counts);
        }
        if row.elapsed_ms >= held.row.elapsed_ms {
            held.row.elapsed_ms = row.elapsed_ms;
            held.row.target_sends = row.target_sends;
            held.row.base_sends = row.base_sends;
            held.row.old_in_flight = row.old_in_flight;
            held.row.phase = row.phase;
            held.received_at = now;
        }
    }

    /// Replaces the fleet-wide counts reported by a router that has all rows.
    pub fn set_reported_totals(&mut self, classes: BTreeMap<String, ClassCounts>) {
        self.reported = classes;
    }

    /// Fleet-wide counts by class.
    pub fn class_totals(&self) -> BTreeMap<String, ClassCounts> {
        let sums = self.by_class().into_iter();
        sums.map(|(class, counts)| (class.to_owned(), counts))
            .collect()
    }

    /// Fleet-wide counts over all classes.
    pub fn totals(&self) -> ClassCounts {
        self.by_class()
            .values()
            .fold(ClassCounts::default(), |sum, counts| sum.plus(*counts))
    }

    /// Runs the tests and describes the harm if one of them trips.
    pub fn detect_harm(&mut self) -> Option<String> {
        let by_class = self.by_class();
        let all = self.totals();
        let paces = by_class.iter().filter(|(class, _)| is_pace_class(class));
        let all_paces = paces.fold(ClassCounts::default(), |sum, (_, counts)| sum.plus(*counts));
        let sums = [(ALL_CLASSES, all), (ALL_PACE_CLASSES, all_paces)];
        let level = FALSE_STOP_PROBABILITY / (by_class.len() + sums.len()) as f64;
        let named = by_class.iter().map(|(class, counts)| (*class, *counts));
        let cells: Vec<(String, ClassCounts)> = named
            .chain(sums)
            .map(|(class, counts)| (class.to_owned(), counts))
            .collect();
        cells.into_iter().find_map(|(class, counts)| {
            let test = self.tests.entry(class.clone()).or_default();
            let bounds = class_bounds(&counts, &all);
            test.observe(counts.target_good, counts.target_bad, &bounds, true);
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

    /// Whether the answers of the new version are likelier from a good version than from a bad one: clearly over all classes,
    /// and in each class that has some.
    pub fn is_proven(&self) -> bool {
        let by_class = self.by_class();
        let all = self.totals();
        let classes = by_class.values();
        let mut known = classes.filter(|counts| counts.target_answers() >= MIN_CLASS_ANSWERS);
        known.all(|counts| likelihood_ratio(counts, &all) >= 0.0)
            && likelihood_ratio(&all, &all) >= PROVEN_LN_RATIO
    }

    /// Requests sent to the new version and to the service, over all routers.
    pub fn sends(&self) -> (u64, u64) {
        let rows = self.rows.values();
        rows.fold((0, 0), |(exposed, all), received| {
            let EvidenceRow {
                target_sends,
                base_sends,
                ..
            } = received.row;
            (exposed + target_sends, all + target_sends + base_sends)
        })
    }

    /// Requests in flight on the old versions, over the routers whose latest row arrived at or
    /// after `since`.
    pub fn old_in_flight(&self, since: MonotonicTime) -> u32 {
        self.rows
            .values()
            .filter(|received| received.received_at >= since)
            .map(|received| received.row.old_in_flight)
            .sum()
    }

    fn by_class(&self) -> BTreeMap<&str, ClassCounts> {
        let mut sums: BTreeMap<&str, ClassCounts> = BTreeMap::new();
        for received in self.rows.values() {
            for (class, counts) in &received.row.classes {
                let sum = sums.entry(class).or_default();
                *sum = sum.plus(*counts);
            }
        }
        for (class, counts) in &self.reported {
            let sum = sums.entry(class).or_default();
            *sum = sum.join(*counts);
        }
        sums
    }
}

/// Bounds of the tests of a class, by the old versions' answers in the class if there are enough, else in all classes.
fn class_bounds(counts: &ClassCounts, all: &ClassCounts) -> RolloutSpec {
    bounds(match counts.base_answers() {
        MIN_BASE_ANSWERS.. => counts.base_bad_share(),
        _ => all.base_bad_share(),
    })
}

/// Natural logarithm of how much likelier the answers are with the tolerated share of bad ones than with the stopping one.
fn likelihood_ratio(counts: &ClassCounts, all: &ClassCounts) -> f64 {
    let RolloutSpec {
        tolerated_bad,
        stopping_bad,
        ..
    } = class_bounds(counts, all);
    let good = ((1.0 - tolerated_bad) / (1.0 - stopping_bad)).ln();
    let bad = (tolerated_bad / stopping_bad).ln();
    counts.target_good as f64 * good + counts.target_bad as f64 * bad
}

/// Bounds of the tests for the old versions' share of bad answers, `base`.
fn bounds(base: f64) -> RolloutSpec {
    let tolerated_bad = (base + TOLERATED_EXCESS).min(MAX_TOLERATED);
    RolloutSpec {
        epoch: 0,
        unrated_limit: 0,
        tolerated_bad,
        stopping_bad: tolerated_bad + STOPPING_EXCESS,
        on_trip: TripPolicy::default(),
    }
}
