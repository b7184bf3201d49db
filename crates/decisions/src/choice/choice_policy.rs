//! Ways to choose an upstream, and their constants.

use serde::{Deserialize, Serialize};

closed_set! {
    /// How an upstream is chosen.
    #[derive(Default)]
    pub enum ChoicePolicy {
        /// In turn, whatever the load.
        RoundRobin,
        /// At random, whatever the load.
        Random,
        /// The least load in the last report, as it was reported.
        LeastReported,
        /// The better of two at random, by the load corrected for own work since the report.
        #[default]
        TwoChoices,
    }
}

/// Constants of the choice by two random candidates.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChoiceConfig {
    /// Factor on the cost of an upstream in another availability zone; at least 1.
    pub remote_zone_factor: f64,
    /// Affinity holds while the upstream's cost is at most this factor of the mean; at least 1.
    pub affinity_bound: f64,
    /// Requests beyond that which an upstream may have before its affinity is given up.
    pub affinity_slack: f64,
    /// Upstreams that one affinity key maps to, in order; at least 1.
    pub affinity_homes: usize,
}

impl Default for ChoiceConfig {
    fn default() -> Self {
        Self {
            remote_zone_factor: 1.05,
            affinity_bound: 1.25,
            affinity_slack: 0.0,
            affinity_homes: 1,
        }
    }
}
