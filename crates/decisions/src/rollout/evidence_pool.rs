//! Pooled answer counts of all routers, and the sequential tests over them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::evidence_cell::{CellScope, EvidenceCell};
use super::evidence_row::counted_aspect;
use super::{AnswerAspect, ClassCounts, EvidenceRow, TimeSpread, time_spread};
use crate::guard::SequentialTest;
use crate::time::MonotonicTime;

/// Accepted probability of stopping a version whose share of bad answers is the tolerated one.
const FALSE_STOP_PROBABILITY: f64 = 0.002;

/// Answers of the new version in a class from which they count for its proof.
const MIN_CLASS_ANSWERS: u64 = 8;
/// Natural logarithm of the likelihood ratio from which a new version is proven: 5 to 1.
const PROVEN_LN_RATIO: f64 = 1.6;
/// Natural logarithm of the likelihood ratio of all times from which a roll-out must stop: a thousandth, for each of the alternatives.
const HARMFUL_TIMES_LN_RATIO: f64 = -9.4;
/// Answers within which a version that turns bad has most likely done so: those of a canary.
const CHANGE_ANSWERS: f64 = 150.0;
/// Natural logarithm of the likelihood ratio at which the latest answers speak against a version by their times: 1 to 90.
const DOUBTED_BY_TIMES: f64 = -4.5;
/// The same by their failures: 1 to 5, which a single failure reaches only where the old versions have hardly any.
const DOUBTED_BY_FAILURES: f64 = -1.6;
/// Aspects of answers, each of which has tests of its own: what one rarely is, another may often be.
const ASPECTS: [AnswerAspect; 3] = [
    AnswerAspect::Failure,
    AnswerAspect::Head,
    AnswerAspect::Pace,
];

/// Evidence of one roll-out, pooled over all routers.
#[derive(Debug, Default)]
pub struct EvidencePool {
    rows: HashMap<String, ReceivedRow>,
    /// Sums of the counts in `rows`, by class.
    class_sums: BTreeMap<String, ClassCounts>,
    /// Sums of the times in `rows`, by class.
    time_sums: BTreeMap<String, TimeSpread>,
    /// Answers of the new version, by all aspects, at the last test.
    tested_answers: u64,
    /// Ongoing conversations of all routers.
    ongoing: BTreeSet<u32>,
    /// Fleet-wide counts by class, as last reported by a router that has all rows.
    reported: BTreeMap<String, ClassCounts>,
    /// Fleet-wide times by class, from the same report.
    reported_times: BTreeMap<String, TimeSpread>,
    /// Tests by class, with those over all classes of an aspect.
    tests: HashMap<String, SequentialTest>,
    /// What the latest answers say, by aspect.
    trends: BTreeMap<AnswerAspect, AnswerTrend>,
}

/// Likelihood ratio of the latest answers, from where they speak most against the version.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerTrend {
    /// Counts that are included.
    counted: ClassCounts,
    /// Natural logarithm of the ratio; never above 0.
    ln_ratio: f64,
}

#[derive(Debug)]
struct ReceivedRow {
    row: EvidenceRow,
    received_at: MonotonicTime,
}

impl ReceivedRow {
    /// A row of `router` without counts.
    fn new(router: &str, now: MonotonicTime) -> Self {
        Self {
            row: EvidenceRow {
                router: router.to_owned(),
                ..EvidenceRow::default()
            },
            received_at: now,
        }
    }
}

impl EvidencePool {
    /// Merges a row received at `now`. Order and repetition do not change the counts.
    pub fn merge(&mut self, row: &EvidenceRow, now: MonotonicTime) {
        self.ongoing.extend(&row.ongoing);
        let held = self.rows.entry(row.router.clone());
        let held = held.or_insert_with(|| ReceivedRow::new(&row.router, now));
        for (class, counts) in &row.classes {
            let known = held.row.classes.entry(class.clone()).or_default();
            let joined = known.join(*counts);
            let sum = self.class_sums.entry(class.clone()).or_default();
            *sum = sum.with_growth(*known, joined);
            *known = joined;
        }
        for (class, spread) in &row.times {
            let known = held.row.times.entry(class.clone()).or_default();
            let joined = known.join(*spread);
            let sum = self.time_sums.entry(class.clone()).or_default();
            *sum = sum.with_growth(*known, joined);
            *known = joined;
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

    /// Adds ongoing conversations reported by another router.
    pub fn add_ongoing(&mut self, marks: BTreeSet<u32>) {
        self.ongoing.extend(marks);
    }

    /// Marks of the conversations that a router reported as ongoing on the old versions.
    pub fn ongoing(&self) -> &BTreeSet<u32> {
        &self.ongoing
    }

    /// Joins the fleet-wide counts that another router reports with those reported before; they only grow.
    pub fn join_reported_totals(
        &mut self,
        classes: BTreeMap<String, ClassCounts>,
        times: BTreeMap<String, TimeSpread>,
    ) {
        for (class, counts) in classes {
            let known = self.reported.entry(class).or_default();
            *known = known.join(counts);
        }
        for (class, spread) in times {
            let known = self.reported_times.entry(class).or_default();
            *known = known.join(spread);
        }
    }

    /// Fleet-wide counts by class.
    pub fn class_totals(&self) -> BTreeMap<String, ClassCounts> {
        let sums = self.by_class().into_iter();
        sums.map(|(class, counts)| (class.to_owned(), counts))
            .collect()
    }

    /// Fleet-wide times by class.
    pub fn time_totals(&self) -> BTreeMap<String, TimeSpread> {
        let mut sums = self.time_sums.clone();
        for (class, spread) in &self.reported_times {
            let sum = sums.entry(class.clone()).or_default();
            *sum = sum.join(*spread);
        }
        sums
    }

    /// Fleet-wide counts over all classes.
    pub fn totals(&self) -> ClassCounts {
        let by_class = self.by_class();
        let counts = by_class.values();
        counts.fold(ClassCounts::default(), |sum, counts| sum.plus(*counts))
    }

    /// Answers of the new version, failures included.
    pub fn target_answers(&self) -> u64 {
        aspect_sum(&self.by_class(), AnswerAspect::Failure).target_answers()
    }

    /// Runs the tests if the new version has answers that are not tested yet, and describes the harm if one of them trips.
    pub fn detect_harm(&mut self) -> Option<String> {
        let answers = self.totals().target_answers();
        if answers == self.tested_answers {
            return None;
        }
        self.tested_answers = answers;
        let cells = self.cells();
        for cell in cells
            .iter()
            .filter(|cell| cell.scope == CellScope::AllClasses)
        {
            self.trends.entry(cell.aspect).or_default().update(cell);
        }
        let class_count = cells.len() - ASPECTS.len();
        let by_counts = cells.iter().find_map(|cell| {
            // Half of the accepted false stops goes to the sums, half to the classes.
            let tests_of_scope = match cell.scope {
                CellScope::Class => class_count,
                CellScope::AllClasses => ASPECTS.len(),
            };
            let level = FALSE_STOP_PROBABILITY / 2.0 / tests_of_scope as f64;
            let test = self.tests.entry(cell.name.clone());
            let test = test.or_insert_with(|| SequentialTest::over_answers(CHANGE_ANSWERS));
            let ClassCounts {
                target_good,
                target_bad,
                ..
            } = cell.counts;
            test.observe(target_good, target_bad, &cell.bounds(), true);
            test.trips(level).then(|| {
                format!(
                    "{target_bad} bad and {target_good} good answers of class {:?}",
                    cell.name
                )
            })
        });
        by_counts.or_else(|| self.harmful_times())
    }

    /// Describes the times of the new version's answers if they are far likelier from a slow version than from a good one.
    fn harmful_times(&self) -> Option<String> {
        let times: Vec<TimeSpread> = self.time_totals().into_values().collect();
        let ratio = time_spread::ln_ratio(&times)?;
        let count: u64 = times.iter().map(TimeSpread::target_times).sum();
        (ratio <= HARMFUL_TIMES_LN_RATIO)
            .then(|| format!("{count} times of answers with a log likelihood ratio of {ratio:.1}"))
    }

    /// Whether the answers of the new version are likelier from a good version than from a bad one: clearly by their times, by
    /// their failures, in each class that has some, and not only by the earlier ones.
    pub fn is_proven(&self) -> bool {
        let cells = self.cells();
        let mut known = cells.iter().filter(|cell| {
            cell.scope == CellScope::AllClasses || cell.counts.target_answers() >= MIN_CLASS_ANSWERS
        });
        known.all(|cell| cell.ln_ratio() >= 0.0)
            && self.has_good_times(&cells)
            && !self.is_doubted()
    }

    /// Whether the times of the new version's answers speak for it: clearly over all classes, and not against it in one.
    ///
    /// Without times of the old versions to compare with, the numbers of slow answers decide.
    fn has_good_times(&self, cells: &[EvidenceCell]) -> bool {
        let times: Vec<TimeSpread> = self.time_totals().into_values().collect();
        let Some(over_all) = time_spread::ln_ratio(&times) else {
            return slow_ln_ratio(cells) >= PROVEN_LN_RATIO;
        };
        let mut known = times
            .iter()
            .filter(|spread| spread.target_times() >= MIN_CLASS_ANSWERS);
        let speaks_for = |spread: &TimeSpread| {
            time_spread::ln_ratio(&[*spread]).is_none_or(|ratio| ratio >= 0.0)
        };
        over_all >= PROVEN_LN_RATIO && known.all(speaks_for)
    }

    /// Counts of each class, and of each aspect over all classes.
    fn cells(&self) -> Vec<EvidenceCell> {
        let by_class = self.by_class();
        let sums = ASPECTS.map(|aspect| (aspect, aspect_sum(&by_class, aspect)));
        let sum_of = |class| {
            let aspect = counted_aspect(class);
            let found = sums.iter().find(|(summed, _)| *summed == aspect);
            found.map(|(_, sum)| *sum).unwrap_or_default()
        };
        let classes = by_class.iter();
        classes
            .map(|(class, counts)| EvidenceCell::of_class(class, *counts, &sum_of(class)))
            .chain(sums.map(|(aspect, sum)| EvidenceCell::of_all(aspect, sum)))
            .collect()
    }

    /// Whether the latest answers speak against the new version, whatever the earlier ones say.
    fn is_doubted(&self) -> bool {
        self.trends.iter().any(|(aspect, trend)| match aspect {
            AnswerAspect::Failure => trend.ln_ratio <= DOUBTED_BY_FAILURES,
            AnswerAspect::Head | AnswerAspect::Pace => trend.ln_ratio <= DOUBTED_BY_TIMES,
        })
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
        let own = self.class_sums.iter();
        let mut sums: BTreeMap<&str, ClassCounts> =
            own.map(|(class, sum)| (class.as_str(), *sum)).collect();
        for (class, counts) in &self.reported {
            let sum = sums.entry(class).or_default();
            *sum = sum.join(*counts);
        }
        sums
    }
}

impl AnswerTrend {
    /// Includes the answers up to those of `cell`, which covers all classes.
    fn update(&mut self, cell: &EvidenceCell) {
        let ClassCounts {
            target_good,
            target_bad,
            ..
        } = cell.counts;
        let latest_good = target_good.saturating_sub(self.counted.target_good);
        let latest_bad = target_bad.saturating_sub(self.counted.target_bad);
        let latest = cell.ln_ratio_of(latest_good, latest_bad);
        self.ln_ratio = (self.ln_ratio + latest).min(0.0);
        self.counted = self.counted.join(cell.counts);
    }
}

/// Natural logarithm of how much likelier the numbers of slow answers are from a good version than from a bad one.
fn slow_ln_ratio(cells: &[EvidenceCell]) -> f64 {
    let sums = cells
        .iter()
        .filter(|cell| cell.scope == CellScope::AllClasses);
    let by_time = sums.filter(|cell| cell.aspect != AnswerAspect::Failure);
    by_time.map(EvidenceCell::ln_ratio).sum()
}

/// Counts of `aspect` over all classes.
fn aspect_sum(by_class: &BTreeMap<&str, ClassCounts>, aspect: AnswerAspect) -> ClassCounts {
    let classes = by_class.iter();
    let counted = classes.filter(|(class, _)| counted_aspect(class) == aspect);
    counted.fold(ClassCounts::default(), |sum, (_, counts)| sum.plus(*counts))
}
