//! Grow-only counters of a router's requests to one candidate.

use serde::{Deserialize, Serialize};

/// Counters of one router for one candidate and workspace; no counter ever decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardCounts {
    /// Requests sent to the candidate.
    pub served: u64,
    /// Answers rated good.
    pub good: u64,
    /// Answers rated bad.
    pub bad: u64,
    /// Answers whose rating never arrived.
    pub given_up: u64,
    /// Requests that ended without an answer to rate.
    pub unanswered: u64,
}

impl GuardCounts {
    /// Merges `other` by the maximum of each counter; returns whether any counter grew.
    ///
    /// Commutative, associative and idempotent.
    pub fn join(&mut self, other: &Self) -> bool {
        let joined = Self {
            served: self.served.max(other.served),
            good: self.good.max(other.good),
            bad: self.bad.max(other.bad),
            given_up: self.given_up.max(other.given_up),
            unanswered: self.unanswered.max(other.unanswered),
        };
        let grew = joined != *self;
        *self = joined;
        grew
    }

    /// Adds the counters of another router or workspace.
    pub fn add(&mut self, other: &Self) {
        self.served = self.served.saturating_add(other.served);
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.given_up = self.given_up.saturating_add(other.given_up);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
    }

    /// Answers rated, good or bad.
    pub fn rated(&self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Requests served, without those whose answer was rated and those that ended unanswered.
    pub fn unrated(&self) -> u64 {
        self.served
            .saturating_sub(self.rated())
            .saturating_sub(self.unanswered)
    }
}
