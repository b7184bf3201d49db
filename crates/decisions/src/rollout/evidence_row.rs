//! Answer counts of one router.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{RolloutPhase, TimeSpread};

closed_set! {
    /// Version that gave an answer.
    pub enum VersionSide {
        /// The new version of the roll-out.
        Target,
        /// Any other version.
        Base,
    }

    /// What an answer is rated by.
    pub enum AnswerAspect {
        /// Whether it failed.
        Failure,
        /// Time to its head.
        Head,
        /// Pace of its stream.
        Pace,
    }

    /// Whether an aspect of an answer counts for or against its version.
    pub enum AnswerQuality {
        /// Not failed, or at about the usual speed.
        Good,
        /// Failed, or several times slower than usual, also if it has not come yet.
        Bad,
    }
}

/// Short identifier of a conversation with this fixed, uniform `point` in `0.0..1.0`.
pub fn conversation_mark(point: f64) -> u32 {
    (point * f64::from(u32::MAX)) as u32
}

/// Ending of the classes that count failures.
const FAILURE_ENDING: &str = " failures";
/// Ending of the classes that count the pace of streams.
const PACE_ENDING: &str = " pace";

/// Name under which an aspect of the answers of `class` is counted.
fn counted_class(class: &str, aspect: AnswerAspect) -> String {
    match aspect {
        AnswerAspect::Failure => format!("{class}{FAILURE_ENDING}"),
        AnswerAspect::Head => class.to_owned(),
        AnswerAspect::Pace => format!("{class}{PACE_ENDING}"),
    }
}

/// Aspect that is counted under `class`.
pub(super) fn counted_aspect(class: &str) -> AnswerAspect {
    if class.ends_with(FAILURE_ENDING) {
        AnswerAspect::Failure
    } else if class.ends_with(PACE_ENDING) {
        AnswerAspect::Pace
    } else {
        AnswerAspect::Head
    }
}

/// Answer counts of one request class; no count ever decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Good answers of the new version.
    pub target_good: u64,
    /// Bad answers of the new version.
    pub target_bad: u64,
    /// Good answers of all other versions.
    pub base_good: u64,
    /// Bad answers of all other versions.
    pub base_bad: u64,
}

value_type! {
    /// Counts of one incarnation of a router.
    #[derive(Default)]
    pub struct EvidenceRow {
        /// Router and its incarnation.
        pub router: String,
        /// Counts by request class.
        pub classes: BTreeMap<String, ClassCounts>,
        /// Times of answers, by request class.
        #[serde(default)]
        pub times: BTreeMap<String, TimeSpread>,
        /// Ongoing conversations on the old versions that the canary share would move, as [`conversation_mark`]s; none is
        /// ever removed.
        #[serde(default)]
        pub ongoing: BTreeSet<u32>,
        /// Requests sent to the new version.
        #[serde(default)]
        pub target_sends: u64,
        /// Requests sent to all other versions.
        #[serde(default)]
        pub base_sends: u64,
        /// Requests in flight on the old versions.
        pub old_in_flight: u32,
        /// Phase in force at the router; absent until it knows one.
        pub phase: Option<RolloutPhase>,
        /// Time since the roll-out order as known to the router, in milliseconds.
        pub elapsed_ms: u64,
    }
}

impl EvidenceRow {
    /// Counts one aspect of an answer to a request of `class`.
    pub fn record(
        &mut self,
        class: &str,
        side: VersionSide,
        aspect: AnswerAspect,
        quality: AnswerQuality,
    ) {
        let counts = self
            .classes
            .entry(counted_class(class, aspect))
            .or_default();
        counts.add(side, quality);
    }
}

impl EvidenceRow {
    /// Counts the time of an answer to a request of `class`, which took `ratio` times the expected time, and whether that is slow.
    pub fn record_time(
        &mut self,
        class: &str,
        side: VersionSide,
        aspect: AnswerAspect,
        ratio: f64,
        quality: AnswerQuality,
    ) {
        self.record(class, side, aspect, quality);
        let spread = self.times.entry(counted_class(class, aspect)).or_default();
        spread.add(side, ratio);
    }
}

impl ClassCounts {
    /// Adds one answer to the counts.
    pub fn add(&mut self, side: VersionSide, quality: AnswerQuality) {
        let count = match (side, quality) {
            (VersionSide::Target, AnswerQuality::Good) => &mut self.target_good,
            (VersionSide::Target, AnswerQuality::Bad) => &mut self.target_bad,
            (VersionSide::Base, AnswerQuality::Good) => &mut self.base_good,
            (VersionSide::Base, AnswerQuality::Bad) => &mut self.base_bad,
        };
        *count += 1;
    }

    /// Sum with the counts of another router or class.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            target_good: self.target_good + other.target_good,
            target_bad: self.target_bad + other.target_bad,
            base_good: self.base_good + other.base_good,
            base_bad: self.base_bad + other.base_bad,
        }
    }

    /// Maximum of each count, which merges two rows of the same router.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            target_good: self.target_good.max(other.target_good),
            target_bad: self.target_bad.max(other.target_bad),
            base_good: self.base_good.max(other.base_good),
            base_bad: self.base_bad.max(other.base_bad),
        }
    }

    /// This sum after one of its counts has grown from `before` to `after`.
    #[must_use]
    pub(super) fn with_growth(self, before: Self, after: Self) -> Self {
        Self {
            target_good: self.target_good + after.target_good - before.target_good,
            target_bad: self.target_bad + after.target_bad - before.target_bad,
            base_good: self.base_good + after.base_good - before.base_good,
            base_bad: self.base_bad + after.base_bad - before.base_bad,
        }
    }

    /// Answers of the new version, good and bad.
    pub fn target_answers(&self) -> u64 {
        self.target_good + self.target_bad
    }

    /// Answers of the old versions, good and bad.
    pub fn base_answers(&self) -> u64 {
        self.base_good + self.base_bad
    }

    /// Share of bad answers among those of the old versions; 0 while they have none.
    pub fn base_bad_share(&self) -> f64 {
        self.base_bad as f64 / self.base_answers().max(1) as f64
    }
}
