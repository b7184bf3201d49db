//! Pooled counts of one aspect of the answers, of one class or of all, with the bounds of their test.

use super::evidence_row::counted_aspect;
use super::{AnswerAspect, ClassCounts};
use crate::config::{RolloutSpec, TripPolicy};

/// Tolerated share of slow answers in excess of the old versions' share.
const TOLERATED_SLOW_EXCESS: f64 = 0.06;
/// Tolerated share of failures in excess of the old versions' share.
const TOLERATED_FAILURE_EXCESS: f64 = 0.04;
/// Share of bad answers, in excess of the tolerated share, at which a roll-out must stop.
const STOPPING_EXCESS: f64 = 0.25;
/// Upper bound of the tolerated share of bad answers.
const MAX_TOLERATED: f64 = 0.35;
/// Answers of the old versions in a class from which their share of bad answers is used for that class.
const MIN_BASE_ANSWERS: u64 = 30;

/// What the counts in a cell cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CellScope {
    /// One request class.
    Class,
    /// All of them.
    AllClasses,
}

/// Counts of one aspect.
#[derive(Debug, Clone)]
pub(super) struct EvidenceCell {
    /// Name in log lines, and key of the test.
    pub(super) name: String,
    pub(super) aspect: AnswerAspect,
    pub(super) scope: CellScope,
    pub(super) counts: ClassCounts,
    /// Share of bad answers of the old versions.
    base_bad_share: f64,
}

impl EvidenceCell {
    /// Cell of the answers counted under `class`; `all` is the sum of its aspect over all classes.
    pub(super) fn of_class(class: &str, counts: ClassCounts, all: &ClassCounts) -> Self {
        let base = match counts.base_answers() {
            MIN_BASE_ANSWERS.. => &counts,
            _ => all,
        };
        Self {
            name: class.to_owned(),
            aspect: counted_aspect(class),
            scope: CellScope::Class,
            base_bad_share: base.base_bad_share(),
            counts,
        }
    }

    /// Cell of an aspect over all classes.
    pub(super) fn of_all(aspect: AnswerAspect, counts: ClassCounts) -> Self {
        Self {
            name: format!("any, by {aspect:?}"),
            aspect,
            scope: CellScope::AllClasses,
            base_bad_share: counts.base_bad_share(),
            counts,
        }
    }

    /// Natural logarithm of how much likelier the answers are with the tolerated share of bad ones than with the stopping one.
    pub(super) fn ln_ratio(&self) -> f64 {
        self.ln_ratio_of(self.counts.target_good, self.counts.target_bad)
    }

    /// The same of some of the answers, with the cell's bounds.
    pub(super) fn ln_ratio_of(&self, good: u64, bad: u64) -> f64 {
        let RolloutSpec {
            tolerated_bad,
            stopping_bad,
            ..
        } = self.bounds();
        let of_good = ((1.0 - tolerated_bad) / (1.0 - stopping_bad)).ln();
        let of_bad = (tolerated_bad / stopping_bad).ln();
        good as f64 * of_good + bad as f64 * of_bad
    }

    /// Bounds of the test.
    pub(super) fn bounds(&self) -> RolloutSpec {
        let excess = match self.aspect {
            AnswerAspect::Failure => TOLERATED_FAILURE_EXCESS,
            AnswerAspect::Head | AnswerAspect::Pace => TOLERATED_SLOW_EXCESS,
        };
        let tolerated_bad = (self.base_bad_share + excess).min(MAX_TOLERATED);
        RolloutSpec {
            epoch: 0,
            unrated_limit: 0,
            tolerated_bad,
            stopping_bad: tolerated_bad + STOPPING_EXCESS,
            on_trip: TripPolicy::default(),
        }
    }
}
