//! What one router counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RolloutPhase;

closed_set! {
    /// Which version an answer came from.
    pub enum VersionSide {
        /// The version that is brought in.
        Target,
        /// Any other version.
        Base,
    }

    /// How an answer was.
    pub enum AnswerQuality {
        /// Whole and about as fast as usual.
        Good,
        /// A failure, or several times slower than usual.
        Bad,
    }
}

/// Answers of one class of requests; no count ever decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Good answers of the new version.
    pub target_good: u64,
    /// Bad answers of the new version.
    pub target_bad: u64,
    /// Good answers of the others.
    pub base_good: u64,
    /// Bad answers of the others.
    pub base_bad: u64,
}

value_type! {
    /// Counts of one life of one router.
    #[derive(Default)]
    pub struct EvidenceRow {
        /// Router and life.
        pub router: String,
        /// Counts by class.
        pub classes: BTreeMap<String, ClassCounts>,
        /// Requests in flight on the old versions.
        pub old_in_flight: u32,
        /// Phase that the router acts on; absent while it knows none.
        pub phase: Option<RolloutPhase>,
        /// Time since the order as the router knows it, in milliseconds.
        pub elapsed_ms: u64,
    }
}

impl ClassCounts {
    /// Counts an answer.
    pub fn add(&mut self, side: VersionSide, quality: AnswerQuality) {
        let count = match (side, quality) {
            (VersionSide::Target, AnswerQuality::Good) => &mut self.target_good,
            (VersionSide::Target, AnswerQuality::Bad) => &mut self.target_bad,
            (VersionSide::Base, AnswerQuality::Good) => &mut self.base_good,
            (VersionSide::Base, AnswerQuality::Bad) => &mut self.base_bad,
        };
        *count += 1;
    }

    /// Sum with `other`.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            target_good: self.target_good + other.target_good,
            target_bad: self.target_bad + other.target_bad,
            base_good: self.base_good + other.base_good,
            base_bad: self.base_bad + other.base_bad,
        }
    }

    /// Counts that a newer row of the same router holds.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            target_good: self.target_good.max(other.target_good),
            target_bad: self.target_bad.max(other.target_bad),
            base_good: self.base_good.max(other.base_good),
            base_bad: self.base_bad.max(other.base_bad),
        }
    }

    /// Answers of the new version.
    pub fn target_answers(&self) -> u64 {
        self.target_good + self.target_bad
    }

    /// Share of bad answers of the old versions; 0 while there are none.
    pub fn base_share(&self) -> f64 {
        let answers = self.base_good + self.base_bad;
        self.base_bad as f64 / answers.max(1) as f64
    }
}
